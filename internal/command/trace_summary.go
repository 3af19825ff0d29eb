package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

const maxRejectionsShown = 20 // --json shows all

func traceSummaryCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "summary FILE|DIR...",
		Short: "Count requests, outcomes, waits and rejections by nodes",
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			s, err := trace.Summarise(files)
			if err != nil {
				return runError{err}
			}
			if asJSON {
				return printJSON(cmd, s)
			}
			return printSummary(cmd, s)
		}),
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

func printSummary(cmd *cobra.Command, s *trace.Summary) error {
	cmd.Printf("%d records of %s, from %s to %s\n\n", s.Records, strings.Join(s.Sources, ", "), formatTime(s.FromMs), formatTime(s.ToMs))
	rows := [][]string{{
		"GROUP", "ASKS", "PLACED", "REJECTED", "UNSCHEDULABLE", "OPEN", "BINDS", "WAIT, MEDIAN", "P99", "LONGEST",
	}}
	for _, g := range s.Groups {
		rows = append(rows, outcomesRow(g))
	}
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	cmd.Printf("\nBinds without an answer: %d. Nodes without a connection: %d.\n", s.OutcomeUnknown, s.NotDelivered)
	if err := printRejections(cmd, s.NodeRejections); err != nil {
		return err
	}
	if s.Missing > 0 {
		cmd.Printf("MISSING: %d records could not be recorded\n", s.Missing)
	}
	for _, d := range s.Damage {
		cmd.Printf("DAMAGED: %s\n", d)
	}
	return nil
}

func outcomesRow(g *trace.Outcomes) []string {
	ms := func(v float64) string { return fmt.Sprintf("%.1f ms", v) }
	return []string{
		g.Group, strconv.Itoa(g.Requests), strconv.Itoa(g.Placed), strconv.Itoa(g.Rejected), strconv.Itoa(g.Unschedulable),
		strconv.Itoa(g.Open), strconv.Itoa(g.Binds), ms(g.MedianMs), ms(g.P99Ms), ms(g.MaxMs),
	}
}

func printRejections(cmd *cobra.Command, rejections []trace.NodeRejection) error {
	if len(rejections) == 0 {
		return nil
	}
	rows := [][]string{{"", ""}, {"NODE", "REFUSED FOR", "TIMES"}}
	for _, r := range rejections[:min(len(rejections), maxRejectionsShown)] {
		rows = append(rows, []string{formatUint(r.Node), r.Reason, strconv.Itoa(r.Count)})
	}
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	if more := len(rejections) - maxRejectionsShown; more > 0 {
		cmd.Printf("and %d more; --json lists all\n", more)
	}
	return nil
}
