package settings

import "fmt"

// KeyError reports a setting that is missing or has an unusable value.
type KeyError struct {
	Key     string // path of the setting, such as "permissions.most_tries"
	Problem string // predicate that says what is wrong, such as "is missing"
	Fix     string // imperative that says how to correct it
}

func (e *KeyError) Error() string { return fmt.Sprintf("setting %s %s; %s", e.Key, e.Problem, e.Fix) }
