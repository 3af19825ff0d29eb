package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

const (
	demoScenario  = "rough"
	minDemoLength = time.Second
)

const demoHelp = `
Starts a discovery service, nodes, clients and two allocators on loopback sockets and runs a rough scenario:
stalls, a crash, another program on the nodes, a burst, slow nodes, a late endpoint list, a rolling deploy.
Then audits what passed. Exit status 0 only if every rule held.
`

func demoCommand() *cobra.Command {
	var length time.Duration
	var asJSON bool
	var o simulation.Options
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a rough scenario on loopback sockets, without any file or other program",
		Long:  helpText(demoHelp),
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if length < minDemoLength {
				return fmt.Errorf("--for %s is too short for a scenario; give %s or more", length, minDemoLength)
			}
			s, err := scenario.Open(demoScenario)
			if err != nil {
				return err
			}
			s.SetLength(placement.Millis(milliseconds(length)))
			result, err := runScenario(cmd, s, o, false)
			if err != nil {
				return err
			}
			return printResult(cmd, result, asJSON)
		},
	}
	cmd.Flags().DurationVar(&length, "for", 20*time.Second, "how long clients request workloads")
	cmd.Flags().StringVar(&o.TraceDirectory, "trace", "", "record each allocator into a directory of its own below this one")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the faults and of what is requested")
	jsonFlag(cmd, &asJSON)
	return cmd
}
