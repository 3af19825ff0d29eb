package simulation

import (
	"log/slog"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
)

// StartFleet runs a script's discovery service, at that address, and its nodes, for an allocator that is started by
// hand. It returns the loop that they run on and the service's address.
func StartFleet(s *scenario.Script, seed uint64, address string, log *slog.Logger) (*transport.Loop, string, error) {
	loop := transport.NewLoop(log)
	run := newRun(s, Options{Seed: seed}, loop, observer.Discard{}, 0)
	run.discovery = run.newDiscovery()
	discoveryAddress, err := loop.ListenFrames(run.discovery, address, transport.DefaultLimits)
	if err == nil {
		err = run.addNodes(discoveryAddress)
	}
	if err != nil {
		loop.Close()
		return nil, "", err
	}
	loop.Run()
	return loop, discoveryAddress, nil
}
