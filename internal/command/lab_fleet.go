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

func labFleetCommand() *cobra.Command {
	var o fleetOptions
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Run an emulated discovery service and nodes, for an allocator started by hand",
		Long: "Runs the discovery service and the nodes of a scenario on loopback until it is stopped, so that\n" +
			"'grebeglade serve' has something to place on. There are no faults; stop and restart it to see what allocators\n" +
			"do then.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c) },
	}
	c.Flags().StringVar(&o.scenario, "script", "quiet", "scenario whose nodes to run")
	c.Flags().StringVar(&o.discovery, "list", "127.0.0.1:7071", "address that the discovery service listens on")
	c.Flags().IntVar(&o.nodes, "nodes", 0, "so many nodes instead of the scenario's")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the nodes' properties")
	return c
}

func (o *fleetOptions) run(c *cobra.Command) error {
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
	c.Printf("%d nodes run; the discovery service listens on %s\n", s.NodeCount(), address)
	<-c.Context().Done()
	return nil
}
