package command

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// jsonFlag adds the flag --json.
func jsonFlag(cmd *cobra.Command, on *bool) {
	cmd.Flags().BoolVar(on, "json", false, "print one JSON document")
}

// printJSON prints one document.
func printJSON(cmd *cobra.Command, v any) error {
	encoder := json.NewEncoder(cmd.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return runError{err}
	}
	return nil
}

// printTable prints aligned columns; the first row is the header.
func printTable(cmd *cobra.Command, rows [][]string) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return runError{err}
		}
	}
	if err := w.Flush(); err != nil {
		return runError{err}
	}
	return nil
}

// printList prints a table of which some rows were left out.
func printList(cmd *cobra.Command, rows [][]string, leftOut uint32) error {
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	if leftOut > 0 {
		cmd.PrintErrf("%d more are left out; --most lists more\n", leftOut)
	}
	return nil
}

func formatUint(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

func formatAmount(v float64) string { return strconv.FormatFloat(v, 'f', -1, 32) }

// formatAge formats milliseconds as a duration in tenths of a second.
func formatAge(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Truncate(time.Millisecond).Round(100 * time.Millisecond).String()
}
