package network

import (
	"errors"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// CutTimeout is the time in ms from a network cut to the call of BreakConnections. It is about the keep-alive timeout.
const CutTimeout = placement.Millis(3e3)

// Close reasons of the connections of a process that is cut off.
var (
	errCutOff   = errors.New("connection not established: the process is cut off from the network")
	errTimedOut = errors.New("connection timed out: the process is cut off from the network")
)

// cut is a network cut of a process, with the frames that are queued until the cut ends.
type cut struct {
	out       bool // cuts the frames that the process sends
	in        bool // cuts the frames that are sent to the process
	queuedOut []queuedFrame
	queuedIn  []queuedFrame
}

type queuedFrame struct {
	conn  transport.ConnID
	frame *pb.Frame
}

// active reports whether the process is cut off in any direction.
func (c *cut) active() bool { return c.out || c.in }

func (c *cut) dropQueues() {
	c.queuedOut = nil
	c.queuedIn = nil
}

// Cut cuts the process off in both directions until Heal is called. Frames are queued, and no connections can be
// opened. BreakConnections breaks the open ones.
func (i *Interceptor) Cut(placement.Millis) {
	i.cut.out = true
	i.cut.in = true
}

// CutDirection cuts one direction: the frames that the process sends if out is set, or else the frames that are sent to
// it. Connections are affected as by Cut.
func (i *Interceptor) CutDirection(out bool) {
	if out {
		i.cut.out = true
	} else {
		i.cut.in = true
	}
}

// BreakConnections breaks the connections of a process that is still cut off, and drops the queued frames. For a
// network cut, it must be called CutTimeout after the start.
func (i *Interceptor) BreakConnections(now placement.Millis) {
	if !i.cut.active() {
		return
	}
	i.cut.dropQueues()
	for _, conn := range i.closeAll(now) {
		i.deliverClosed(now, conn, errTimedOut)
	}
}

// Heal ends a cut, and delivers the frames that were queued.
func (i *Interceptor) Heal(now placement.Millis) {
	ended := i.cut
	i.cut = cut{}
	for _, queued := range ended.queuedOut {
		i.Send(queued.conn, queued.frame)
	}
	for _, queued := range ended.queuedIn {
		i.Received(now, queued.conn, queued.frame)
	}
}
