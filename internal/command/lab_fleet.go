package command

import (
	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
)

type fleetOptions struct {
	scenario  string
	discovery string
	nodes     int
	seed      uint64
}

const labFleetHelp = `
Runs the discovery service and the nodes of a scenario on loopback until it is stopped, so that
'grebeglade serve' has something to place on. There are no faults; stop and restart it to see what allocators
do then.
`

func labFleetCommand() *cobra.Command {
	var o fleetOptions
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Run an emulated discovery service and nodes, for an allocator started by hand",
		Long:  helpText(labFleetHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	cmd.Flags().StringVar(&o.scenario, "script", "quiet", "scenario whose nodes to run")
	cmd.Flags().StringVar(&o.discovery, "list", "127.0.0.1:7071", "address that the discovery service listens on")
	cmd.Flags().IntVar(&o.nodes, "nodes", 0, "so many nodes instead of the scenario's")
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the nodes' properties")
	return cmd
}

func (o *fleetOptions) run(cmd *cobra.Command) error {
	s, err := scenario.Open(o.scenario)
	if err != nil {
		return err
	}
	s.Resize(0, max(0, o.nodes))
	loop, address, err := simulation.StartFleet(s, o.seed, o.discovery, nil)
	if err != nil {
		return runError{err}
	}
	defer loop.Close()
	cmd.Printf("%d nodes run; the discovery service listens on %s\n", s.NodeCount(), address)
	<-cmd.Context().Done()
	return nil
}
