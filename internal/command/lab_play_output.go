package command

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/audit"
)

const maxBrokenShown = 5 // breaks of rules; --json shows more

func printProgress(cmd *cobra.Command, p simulation.Progress) {
	const millisPerSecond = 1000
	cmd.PrintErrf("%4.0f of %.0f s: %d requests, %d placed, %d rejected, %d unschedulable, %d waiting\n",
		float64(min(p.At, p.Of))/millisPerSecond, float64(p.Of)/millisPerSecond, p.Requests, p.Placed, p.Rejected, p.Unschedulable, p.Pending)
}

// printResult prints what a run came to. The error is errProblemFound if a rule broke.
func printResult(cmd *cobra.Command, r *simulation.Result, asJSON bool) error {
	if asJSON {
		if err := printJSON(cmd, r); err != nil {
			return err
		}
	} else {
		printResultText(cmd, r)
	}
	if len(r.Violations) > 0 {
		return errProblemFound
	}
	return nil
}

func printResultText(cmd *cobra.Command, r *simulation.Result) {
	how := "on loopback sockets"
	if r.Virtual {
		how = "in virtual time"
	}
	cmd.Printf("Scenario %q (%s), seed %d, %s: %d allocators, %d nodes, %.0f s, run in %.1f s.\n",
		r.Name, r.About, r.Seed, how, r.Allocators, r.Nodes, r.ScenarioSeconds, r.RanSeconds)
	cmd.Printf("Clients sent %d requests for %d workloads. Placed %d, rejected %d, unschedulable %d, withdrawn %d, lost with their "+
		"allocator or connection %d, without an answer %d.\n", r.Workloads, r.FirstRequests, r.Placed, r.Rejected,
		r.Unschedulable, r.Withdrawn, r.Disconnected, r.Unanswered)
	cmd.Printf("It took %d binds and %d migrations; half of the workloads were placed within %.0f ms, 99%% within %.0f ms.\n",
		r.Binds, r.Migrations, r.WaitMedian, r.Wait99)
	if r.Gangs > 0 {
		cmd.Printf("Of %d gangs %d were placed, half of them within %.0f ms, and %d were abandoned; %.1f%% of the parts' core time went to "+
			"gangs that were not placed. Parts left of incomplete gangs: %d.\n", r.Gangs, r.GangsPlaced, r.GangMedian, r.GangsAbandoned,
			100*r.GangWasted, r.PartialLeft)
	}
	var ends []string
	for _, reason := range slices.Sorted(maps.Keys(r.Ended)) {
		ends = append(ends, fmt.Sprintf("%d %s", r.Ended[reason], strings.ReplaceAll(strings.ToLower(reason), "_", " ")))
	}
	if len(ends) > 0 {
		cmd.Printf("Of those placed have ended: %s.\n", strings.Join(ends, ", "))
	}
	printAudit(cmd, r.Frames, r.Violations, r.MoreViolations)
}

// printAudit prints whether the rules held, and the frames of the first breaks. More is how many breaks were not kept.
func printAudit(cmd *cobra.Command, frames int, broken []audit.Violation, more int) {
	if len(broken) == 0 {
		cmd.Printf("All rules held, by the %d frames that passed.\n", frames)
		return
	}
	cmd.Printf("RULES WERE BROKEN, %d times:\n", len(broken)+more)
	for _, b := range broken[:min(len(broken), maxBrokenShown)] {
		cmd.Printf("  rule %d at %.0f ms: %s (workload %d, node %d)\n", b.Rule, b.At, b.Message, b.Workload, b.Node)
		for _, f := range b.Frames {
			cmd.Printf("    %s\n", f)
		}
	}
}
