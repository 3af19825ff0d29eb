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

const (
	maxViolationsShown = 5 // violations printed as text; --json prints more
	millisPerSecond    = 1000
)

// printProgress prints the elapsed time and the request counts of a run on sockets.
func printProgress(cmd *cobra.Command, p simulation.Progress) {
	at := float64(min(p.At, p.Of)) / millisPerSecond
	of := float64(p.Of) / millisPerSecond
	cmd.PrintErrf("%4.0f of %.0f s: %d requests, %d placed, %d rejected, %d unschedulable, %d waiting\n",
		at, of, p.Requests, p.Placed, p.Rejected, p.Unschedulable, p.Pending)
}

// printResult prints the result of a run. The error is errProblemFound if a rule was broken.
func printResult(cmd *cobra.Command, result *simulation.Result, asJSON bool) error {
	if err := printOutput(cmd, asJSON, result, func() { printResultText(cmd, result) }); err != nil {
		return err
	}
	return problemIf(len(result.Violations) > 0)
}

func printResultText(cmd *cobra.Command, result *simulation.Result) {
	printRunCounts(cmd, result)
	if result.Gangs > 0 {
		printGangCounts(cmd, result)
	}
	if ends := describeEnds(result.Ended); len(ends) > 0 {
		cmd.Printf("Of those placed have ended: %s.\n", strings.Join(ends, ", "))
	}
	printAudit(cmd, result.Frames, result.Violations, result.MoreViolations)
}

// printRunCounts prints the size of a run and the number of its requests by outcome.
func printRunCounts(cmd *cobra.Command, result *simulation.Result) {
	medium := "on loopback sockets"
	if result.Virtual {
		medium = "in virtual time"
	}
	cmd.Printf("Scenario %q (%s), seed %d, %s: %d allocators, %d nodes, %.0f s, run in %.1f s.\n",
		result.Name, result.About, result.Seed, medium,
		result.Allocators, result.Nodes, result.ScenarioSeconds, result.RanSeconds)
	cmd.Printf("Clients sent %d requests for %d workloads. Placed %d, rejected %d, unschedulable %d, withdrawn %d, "+
		"lost with their allocator or connection %d, without an answer %d.\n",
		result.Workloads, result.FirstRequests, result.Placed, result.Rejected,
		result.Unschedulable, result.Withdrawn, result.Disconnected, result.Unanswered)
	cmd.Printf("It took %d binds and %d migrations; half of the workloads were placed within %.0f ms, "+
		"99%% within %.0f ms.\n",
		result.Binds, result.Migrations, result.WaitMedian, result.Wait99)
}

// printGangCounts prints the outcomes of a run's gangs.
func printGangCounts(cmd *cobra.Command, result *simulation.Result) {
	cmd.Printf("Of %d gangs %d were placed, half of them within %.0f ms, and %d were abandoned; "+
		"%.1f%% of the parts' core time went to gangs that were not placed. Parts left of incomplete gangs: %d.\n",
		result.Gangs, result.GangsPlaced, result.GangMedian, result.GangsAbandoned,
		100*result.GangWasted, result.PartialLeft)
}

// describeEnds returns the number of ended workloads for each reason, sorted by the reason's name.
func describeEnds(ended map[string]int) []string {
	var ends []string
	for _, reason := range slices.Sorted(maps.Keys(ended)) {
		text := strings.ReplaceAll(strings.ToLower(reason), "_", " ")
		ends = append(ends, fmt.Sprintf("%d %s", ended[reason], text))
	}
	return ends
}

// printAudit prints that all rules held, or the first violations with their frames. The parameter omitted is the number
// of further violations, whose frames were not kept.
func printAudit(cmd *cobra.Command, frames int, violations []audit.Violation, omitted int) {
	if len(violations) == 0 {
		cmd.Printf("All rules held, by the %d frames that passed.\n", frames)
		return
	}
	cmd.Printf("RULES WERE BROKEN, %d times:\n", len(violations)+omitted)
	for _, violation := range violations[:min(len(violations), maxViolationsShown)] {
		cmd.Printf("  rule %d at %.0f ms: %s (workload %d, node %d)\n",
			violation.Rule, violation.At, violation.Message, violation.Workload, violation.Node)
		for _, frame := range violation.Frames {
			cmd.Printf("    %s\n", frame)
		}
	}
}
