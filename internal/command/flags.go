package command

import (
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// jsonFlag adds the flag --json.
func jsonFlag(cmd *cobra.Command, on *bool) {
	cmd.Flags().BoolVar(on, "json", false, "print one JSON document")
}

// toFlag adds the flag that names the allocator to connect to.
func toFlag(cmd *cobra.Command, to *string) {
	cmd.Flags().StringVar(to, "to", defaultAllocator(),
		"address of the allocator; GREBEGLADE_ADDR in the environment sets it for all commands")
}

// defaultAllocator returns the address of the allocator to connect to if none is given.
func defaultAllocator() string { return environmentOr("GREBEGLADE_ADDR", "127.0.0.1:7070") }

// environmentOr returns a variable of the environment, or fallback if it is empty or not set.
func environmentOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// requireFlag marks a flag as required. The flag must exist.
func requireFlag(cmd *cobra.Command, name string) {
	if err := cmd.MarkFlagRequired(name); err != nil {
		panic(err) // the flag is not defined: a mistake in this package
	}
}

// helpText returns the help text in a raw string, whose first and last line breaks only set it apart in the source.
func helpText(raw string) string { return strings.Trim(raw, "\n") }
