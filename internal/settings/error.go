package settings

import "fmt"

// KeyError reports a setting that is missing or has an invalid value.
type KeyError struct {
	Key     string // path of the setting, such as "permissions.most_tries"
	Problem string // what is wrong, as a predicate such as "is missing"
	Fix     string // correction, as an imperative such as "add it to the settings"
}

func (e *KeyError) Error() string { return fmt.Sprintf("setting %s %s; %s", e.Key, e.Problem, e.Fix) }
