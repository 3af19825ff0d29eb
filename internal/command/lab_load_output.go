package command

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"grebeglade/internal/loadgen"
)

func printLoadProgress(cmd *cobra.Command, p loadgen.Progress) {
	cmd.PrintErrf("%3.0f s: %d requests sent, %d answered, %d placed\n", p.At.Seconds(), p.Sent, p.Answered, p.Placed)
}

// printLoad prints the result of a load.
func printLoad(cmd *cobra.Command, result *loadgen.Result) {
	printLoadCounts(cmd, result)
	// Write errors of standard output are ignored, as cmd.Printf does.
	_ = printTable(cmd, [][]string{
		{"MS FROM WHEN IT WAS DUE", "COUNT", "50%", "90%", "99%", "99.9%", "MOST"},
		latencyRow("to any answer", result.Latency),
		latencyRow("to a yes", result.PlacedLatency),
		latencyRow("until it was sent", result.SendDelay),
	})
	for _, reason := range byFrequency(result.Reasons) {
		cmd.Printf("%d times: %s\n", result.Reasons[reason], reason)
	}
	for _, wrong := range result.Wrong {
		cmd.Printf("WRONG: %s\n", wrong)
	}
	if result.Broken != "" {
		cmd.Printf("A CONNECTION BROKE: %s\n", result.Broken)
	}
}

// printLoadCounts prints the number of requests by outcome, and a warning if the generator did not keep up.
func printLoadCounts(cmd *cobra.Command, result *loadgen.Result) {
	cmd.Printf("%d requests were due and %d sent in %.1f s: %.1f of %.1f a second.\n",
		result.Due, result.Sent, result.Seconds, result.SentPerSec, result.DuePerSec)
	cmd.Printf("Placed %d, rejected %d, unschedulable %d, unanswered %d, answered late %d; "+
		"%d of those placed have ended.\n",
		result.Placed, result.Rejected, result.Unschedulable, result.Unanswered, result.Late, result.Ended)
	if !result.Overrun {
		return
	}
	cmd.Printf("THE TOOL DID NOT KEEP UP: it sent half of the requests up to %.1f ms and one in a hundred %.1f ms "+
		"or more late. What\n"+
		"follows is the tool's own delay and not the allocator's; request less, or from more than one machine.\n",
		result.SendDelay.Median, result.SendDelay.P99)
}

// latencyRow returns the table row for a latency distribution.
func latencyRow(name string, latency loadgen.Latency) []string {
	row := []string{name, fmt.Sprint(latency.Count)}
	for _, ms := range []float64{latency.Median, latency.P90, latency.P99, latency.P999, latency.Max} {
		row = append(row, fmt.Sprintf("%.2f", ms))
	}
	return row
}

// byFrequency returns the keys by descending count; keys with the same count are in alphabetical order.
func byFrequency(counts map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counts), func(x, y string) int {
		return cmp.Or(cmp.Compare(counts[y], counts[x]), cmp.Compare(x, y))
	})
}
