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

// toFlag adds the flag --to, the address of the allocator to connect to.
func toFlag(cmd *cobra.Command, to *string) {
	cmd.Flags().StringVar(to, "to", defaultAllocator(),
		"address of the allocator; the environment variable GREBEGLADE_ADDR sets the default of all commands")
}

// defaultAllocator returns the address of the allocator for commands that are run without one.
func defaultAllocator() string { return environmentOr("GREBEGLADE_ADDR", "127.0.0.1:7070") }

// environmentOr returns an environment variable, or fallback if it is empty or not set.
func environmentOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// requireFlag marks a flag as required. The flag must exist.
func requireFlag(cmd *cobra.Command, name string) {
	if err := cmd.MarkFlagRequired(name); err != nil {
		panic(err) // the flag is not defined: a programming error in this package
	}
}

// helpText removes the leading and trailing line breaks of a help text, which make its raw string readable.
func helpText(raw string) string { return strings.Trim(raw, "\n") }
