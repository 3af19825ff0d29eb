package simulation

import (
	"log/slog"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
)

// StandFleet runs a script's machine list, at that address, and its nodes, so that an allocator started by hand
// has something to place on. It returns the loop that they run on and the list's address.
func StartFleet(s *scenario.Script, seed uint64, listAddr string, log *slog.Logger) (*transport.Loop, string, error) {
	loop := transport.NewLoop(log)
	d := newRun(s, Options{Seed: seed}, loop, observer.Discard{}, 0)
	d.discovery = d.newDiscovery()
	addr, err := loop.ListenFrames(d.discovery, listAddr, transport.DefaultLimits)
	if err == nil {
		err = d.addNodes(addr)
	}
	if err != nil {
		loop.Close()
		return nil, "", err
	}
	loop.Run()
	return loop, addr, nil
}
