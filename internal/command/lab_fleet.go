package command

import (
	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
)

type fleetOptions struct {
	scenario  string // name or file of the scenario whose nodes are emulated
	discovery string // address that the discovery service listens on
	nodes     int    // number of nodes, 0 for the scenario's
	seed      uint64
}

const labFleetHelp = `
Runs the discovery service and the nodes of a scenario on loopback sockets until it is stopped, as a fleet for
'grebeglade serve'. It injects no faults; stop and restart it to see how allocators handle the loss of the fleet.
`

// labFleetCommand defines "lab fleet".
func labFleetCommand() *cobra.Command {
	var options fleetOptions
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Run an emulated discovery service and nodes, for an allocator started by hand",
		Long:  helpText(labFleetHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.scenario, "script", "quiet", "scenario whose nodes are emulated")
	flags.StringVar(&options.discovery, "list", "127.0.0.1:7071", "address that the discovery service listens on")
	flags.IntVar(&options.nodes, "nodes", 0, "number of nodes, instead of the scenario's")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the nodes' properties")
	return cmd
}

// run emulates the fleet until the command's context is done.
func (o *fleetOptions) run(cmd *cobra.Command) error {
	script, err := scenario.Open(o.scenario)
	if err != nil {
		return err
	}
	script.Resize(0, max(0, o.nodes))
	loop, address, err := simulation.StartFleet(script, o.seed, o.discovery, nil)
	if err != nil {
		return runError{err}
	}
	defer loop.Close()
	cmd.Printf("%d nodes run; the discovery service listens on %s\n", script.NodeCount(), address)
	<-cmd.Context().Done()
	return nil
}
