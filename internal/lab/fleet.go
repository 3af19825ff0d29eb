package lab

import (
	"log/slog"

	"grebeglade/choice"
	"grebeglade/internal/link"
	pb "grebeglade/proto/grebeglade/v1"
)

// silent sees nothing.
type silent struct{}

func (silent) Frame(choice.Millis, choice.Millis, *Gate, link.ConnID, bool, *pb.Frame) {}
func (silent) Conn(choice.Millis, *Gate, link.ConnID, bool)                            {}
func (silent) Life(choice.Millis, *Gate, bool)                                         {}
func (silent) Still(choice.Millis, *Gate, choice.Millis)                               {}

// StandFleet runs a script's machine list, at that address, and its nodes, so that an allocator started by hand
// has something to place on. It returns the loop that they run on and the list's address.
func StandFleet(s *Script, seed uint64, listAddr string, log *slog.Logger) (*link.Loop, string, error) {
	loop := link.NewLoop(log)
	d := newDay(s, Options{Seed: seed}, loop, silent{}, 0)
	d.list = d.newList()
	addr, err := loop.Listen(d.list, listAddr, link.DefaultLimits)
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
