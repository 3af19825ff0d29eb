package network

import (
	"errors"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// CutTimeout is how long a connection survives a cut, in milliseconds: about as long as keep-alives allow.
const CutTimeout = placement.Millis(3e3)

// Reasons for which a process's connections close.
var (
	errCutOff   = errors.New("cut off")
	errTimedOut = errors.New("timed out")
)

// cut is in which directions a process is cut off, with the frames that wait for the end of the cut.
type cut struct {
	out       bool // frames that the process sends are queued
	in        bool // frames that are sent to it are queued
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

// Cut cuts the process off in both directions: frames are queued, and connections break after CutTimeout.
func (i *Interceptor) Cut(placement.Millis) {
	i.cut.out = true
	i.cut.in = true
}

// CutDirection cuts one direction: what the process sends, or what is sent to it. Connections cannot be opened then,
// and open ones break as they do in a full cut.
func (i *Interceptor) CutDirection(out bool) {
	if out {
		i.cut.out = true
	} else {
		i.cut.in = true
	}
}

// BreakConnections breaks the connections of a process that is still cut off. It must be called CutTimeout after the
// cut.
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
