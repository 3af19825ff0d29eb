package command

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"grebeglade/internal/loadgen"
)

func printLoad(cmd *cobra.Command, r *loadgen.Result) {
	cmd.Printf("%d requests were due and %d sent in %.1f s: %.1f of %.1f a second.\n", r.Due, r.Sent, r.Seconds, r.SentPerSec, r.DuePerSec)
	cmd.Printf("Placed %d, rejected %d, unschedulable %d, unanswered %d, answered late %d; %d of those placed have ended.\n",
		r.Placed, r.Rejected, r.Unschedulable, r.Unanswered, r.Late, r.Ended)
	if r.Overrun {
		cmd.Printf("THE TOOL DID NOT KEEP UP: it sent half of the requests up to %.1f ms and one in a hundred %.1f ms or more late. What\n"+
			"follows is the tool's own delay and not the allocator's; request less, or from more than one machine.\n",
			r.SendDelay.Median, r.SendDelay.P99)
	}
	// As with everything else printed here, a reader who went away is no failure.
	_ = printTable(cmd, [][]string{
		{"MS FROM WHEN IT WAS DUE", "COUNT", "50%", "90%", "99%", "99.9%", "MOST"},
		latencyRow("to any answer", r.Latency),
		latencyRow("to a yes", r.PlacedLatency),
		latencyRow("until it was sent", r.SendDelay),
	})
	for _, reason := range byFrequency(r.Reasons) {
		cmd.Printf("%d times: %s\n", r.Reasons[reason], reason)
	}
	for _, wrong := range r.Wrong {
		cmd.Printf("WRONG: %s\n", wrong)
	}
	if r.Broken != "" {
		cmd.Printf("A CONNECTION BROKE: %s\n", r.Broken)
	}
}

func latencyRow(name string, l loadgen.Latency) []string {
	row := []string{name, fmt.Sprint(l.Count)}
	for _, ms := range []float64{l.Median, l.P90, l.P99, l.P999, l.Max} {
		row = append(row, fmt.Sprintf("%.2f", ms))
	}
	return row
}

// byFrequency returns the keys with the most frequent first.
func byFrequency(counts map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counts), func(x, y string) int {
		return cmp.Or(cmp.Compare(counts[y], counts[x]), cmp.Compare(x, y))
	})
}
