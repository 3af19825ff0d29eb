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

// printOutput prints v as one JSON document if asJSON is set, and calls printText otherwise.
func printOutput(cmd *cobra.Command, asJSON bool, v any, printText func()) error {
	if asJSON {
		return printJSON(cmd, v)
	}
	printText()
	return nil
}

// printJSON prints v as one indented JSON document.
func printJSON(cmd *cobra.Command, v any) error {
	encoder := json.NewEncoder(cmd.OutOrStdout())
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return runErrorf("print JSON: %w", err)
	}
	return nil
}

// printTable prints aligned columns; the first row is the header.
func printTable(cmd *cobra.Command, rows [][]string) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return runErrorf("print a table: %w", err)
		}
	}
	if err := table.Flush(); err != nil {
		return runErrorf("print a table: %w", err)
	}
	return nil
}

// printList prints a table. If the allocator has left out rows, it prints their number to standard error.
func printList(cmd *cobra.Command, rows [][]string, leftOut uint32) error {
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	if leftOut > 0 {
		cmd.PrintErrf("%d more are left out; --most lists more\n", leftOut)
	}
	return nil
}

func formatUint[T uint32 | uint64](n T) string { return strconv.FormatUint(uint64(n), 10) }

// formatAmount formats an amount of cores or memory with the fewest digits that identify a float32.
func formatAmount(amount float64) string { return strconv.FormatFloat(amount, 'f', -1, 32) }

// formatAge formats milliseconds as a duration, rounded to tenths of a second.
func formatAge(ms float64) string {
	age := time.Duration(ms * float64(time.Millisecond))
	return age.Truncate(time.Millisecond).Round(100 * time.Millisecond).String()
}

// milliseconds returns a duration in milliseconds, with fractions.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
