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

func benchStateCommand() *cobra.Command {
	var o benchStateOptions
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Measure what a state directory costs if every workload is run-once",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	f := cmd.Flags()
	f.IntVar(&o.fleet.Nodes, "nodes", 100, "nodes to place on")
	f.IntVar(&o.fleet.Residents, "residents", 10, residentsHelp)
	f.StringVar(&o.dir, "dir", "", "directory on the disk to measure; by default where the system keeps temporary files")
	f.DurationVar(&o.length, "for", time.Second, measurementHelp)
	jsonFlag(cmd, &o.asJSON)
	return cmd
}

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
	rows := [][]string{{"SYNC", "PLACED/S", "RATIO", "ASK TO OFFER 50%", "99%"}}
	for _, s := range costs.Costs {
		rows = append(rows, []string{
			s.Sync, fmt.Sprintf("%.0f", s.Placed), fmt.Sprintf("%.3f", s.Ratio), fmt.Sprintf("%.2f ms", s.Median), fmt.Sprintf("%.2f ms", s.P99),
		})
	}
	if err := printTable(cmd, rows); err != nil {
		return err
	}
	for _, s := range costs.Reads {
		cmd.Printf("%d keys known, %.1f MiB: read in %.1f ms\n", s.Keys, s.MiB, s.Ms)
	}
	return nil
}
