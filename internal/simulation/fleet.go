package simulation

import (
	"log/slog"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// silent sees nothing.
type silent struct{}

func (silent) Frame(placement.Millis, placement.Millis, *Gate, transport.ConnID, bool, *pb.Frame) {}
func (silent) Conn(placement.Millis, *Gate, transport.ConnID, bool)                               {}
func (silent) Life(placement.Millis, *Gate, bool)                                                 {}
func (silent) Still(placement.Millis, *Gate, placement.Millis)                                    {}

// StandFleet runs a script's machine list, at that address, and its nodes, so that an allocator started by hand
// has something to place on. It returns the loop that they run on and the list's address.
func StandFleet(s *Script, seed uint64, listAddr string, log *slog.Logger) (*transport.Loop, string, error) {
	loop := transport.NewLoop(log)
	d := newDay(s, Options{Seed: seed}, loop, silent{}, 0)
	d.list = d.newList()
	addr, err := loop.ListenFrames(d.list, listAddr, transport.DefaultLimits)
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
