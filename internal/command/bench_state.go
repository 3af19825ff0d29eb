package command

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/benchmark"
)

type benchStateOptions struct {
	fleet  benchmark.Fleet
	dir    string
	length time.Duration
	asJSON bool
}

// benchStateCommand defines "bench state".
func benchStateCommand() *cobra.Command {
	var options benchStateOptions
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Measure what a state directory costs if every workload is run-once",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.fleet.Nodes, "nodes", 100, "number of nodes to place on")
	flags.IntVar(&options.fleet.Residents, "residents", 10, residentsHelp)
	flags.StringVar(&options.dir, "dir", "",
		"directory on the disk to measure (default: the system's directory for temporary files)")
	flags.DurationVar(&options.length, "for", time.Second, measurementHelp)
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// run measures the costs of a state directory and prints them.
func (o *benchStateOptions) run(cmd *cobra.Command) error {
	if o.fleet.Nodes < 1 || o.length <= 0 {
		return errors.New("--nodes takes 1 or more, --for a time above 0")
	}
	costs, err := benchmark.MeasureState(o.dir, o.fleet, o.length)
	if err != nil {
		return runError{err}
	}
	if o.asJSON {
		return printJSON(cmd, costs)
	}
	return printStateCosts(cmd, costs)
}

// printStateCosts prints a row without a state directory, a row for each sync mode, and then the times to read a
// directory at startup.
func printStateCosts(cmd *cobra.Command, costs *benchmark.StateResult) error {
	rows := [][]string{{"SYNC", "PLACED/S", "RATIO", "ASK TO OFFER 50%", "99%"}}
	for _, cost := range costs.Costs {
		rows = append(rows, []string{
			cost.Sync,
			fmt.Sprintf("%.0f", cost.Placed),
			fmt.Sprintf("%.3f", cost.Ratio),
			fmt.Sprintf("%.2f ms", cost.Median),
			fmt.Sprintf("%.2f ms", cost.P99),
		})
	}
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	for _, read := range costs.Reads {
		cmd.Printf("%d keys known, %.1f MiB: read in %.1f ms\n", read.Keys, read.MiB, read.Ms)
	}
	return nil
}
