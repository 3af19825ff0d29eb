package command

import (
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// environmentOr returns a variable of the environment, or otherwise if it is not set.
func environmentOr(name, otherwise string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return otherwise
}

// requireFlag marks a flag as required. The flag must exist.
func requireFlag(cmd *cobra.Command, name string) {
	if err := cmd.MarkFlagRequired(name); err != nil {
		panic(err) // the flag is not defined: a mistake in this package
	}
}

// helpText returns a help text that is written between line breaks in a raw string.
func helpText(raw string) string { return strings.Trim(raw, "\n") }
