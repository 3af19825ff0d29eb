package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

const maxRejectionsShown = 20 // printed as text; --json prints all

// traceSummaryCommand defines "trace summary".
func traceSummaryCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "summary FILE|DIR...",
		Short: "Count requests, outcomes, waits and rejections by nodes",
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			return summariseTraces(cmd, files, asJSON)
		}),
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

func summariseTraces(cmd *cobra.Command, files traceFiles, asJSON bool) error {
	summary, err := trace.Summarise(files)
	if err != nil {
		return runError{err}
	}
	if asJSON {
		return printJSON(cmd, summary)
	}
	return printSummary(cmd, summary)
}

// printSummary prints the outcomes of each group, the rejections by nodes, and missing records and damage.
func printSummary(cmd *cobra.Command, summary *trace.Summary) error {
	cmd.Printf("%d records of %s, from %s to %s\n\n",
		summary.Records, strings.Join(summary.Sources, ", "), formatTime(summary.FromMs), formatTime(summary.ToMs))
	rows := [][]string{{
		"GROUP", "ASKS", "PLACED", "REJECTED", "UNSCHEDULABLE", "OPEN", "BINDS", "WAIT, MEDIAN", "P99", "LONGEST",
	}}
	for _, outcomes := range summary.Groups {
		rows = append(rows, outcomesRow(outcomes))
	}
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	cmd.Printf("\nBinds without an answer: %d. Nodes without a connection: %d.\n",
		summary.OutcomeUnknown, summary.NotDelivered)
	if err := printRejections(cmd, summary.NodeRejections); err != nil {
		return err
	}
	if summary.Missing > 0 {
		cmd.Printf("MISSING: %d records could not be recorded\n", summary.Missing)
	}
	for _, damage := range summary.Damage {
		cmd.Printf("DAMAGED: %s\n", damage)
	}
	return nil
}

// outcomesRow returns the table row for a group.
func outcomesRow(outcomes *trace.Outcomes) []string {
	return []string{
		outcomes.Group,
		strconv.Itoa(outcomes.Requests),
		strconv.Itoa(outcomes.Placed),
		strconv.Itoa(outcomes.Rejected),
		strconv.Itoa(outcomes.Unschedulable),
		strconv.Itoa(outcomes.Open),
		strconv.Itoa(outcomes.Binds),
		formatWait(outcomes.MedianMs),
		formatWait(outcomes.P99Ms),
		formatWait(outcomes.MaxMs),
	}
}

func formatWait(ms float64) string { return fmt.Sprintf("%.1f ms", ms) }

// printRejections prints an empty line and a table of the most frequent rejections, or nothing if there are none.
func printRejections(cmd *cobra.Command, rejections []trace.NodeRejection) error {
	if len(rejections) == 0 {
		return nil
	}
	rows := [][]string{{"", ""}, {"NODE", "REFUSED FOR", "TIMES"}}
	for _, rejection := range rejections[:min(len(rejections), maxRejectionsShown)] {
		rows = append(rows, []string{
			formatUint(rejection.Node),
			rejection.Reason,
			strconv.Itoa(rejection.Count),
		})
	}
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	if more := len(rejections) - maxRejectionsShown; more > 0 {
		cmd.Printf("and %d more; --json lists all\n", more)
	}
	return nil
}
