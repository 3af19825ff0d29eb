package simulation

import (
	"log/slog"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
)

// StartFleet starts a script's discovery service, on the given listen address, and its nodes, for an allocator that the
// caller runs as a separate process. It returns the loop on which they run and the address of the discovery service.
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
