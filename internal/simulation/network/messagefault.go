package network

import (
	"errors"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// MessageFaultKind is the kind of a message fault.
type MessageFaultKind string

// The kinds of message faults.
const (
	LoseFrame       MessageFaultKind = "lose"
	DuplicateFrame  MessageFaultKind = "double"
	DelayFrame      MessageFaultKind = "delay"
	CloseConnection MessageFaultKind = "cut"
	CrashAllocator  MessageFaultKind = "crash"
)

// MessageFaultKinds are all kinds.
var MessageFaultKinds = []MessageFaultKind{LoseFrame, DuplicateFrame, DelayFrame, CloseConnection, CrashAllocator}

// MessageFault is a fault of one frame between an allocator and its nodes. Tests apply each kind to each frame.
type MessageFault struct {
	Kind     MessageFaultKind
	Frame    int  // number of the frame, from 1, among those that Injector.selects counts in both directions
	Restarts bool // a crashed allocator restarts after CrashDuration
}

const (
	messageDelay = placement.Millis(700) // delay in ms of a delayed frame
	// CrashDuration is the time in ms from a crash of an allocator to its restart.
	CrashDuration = placement.Millis(900)
)

// errInjectedClose is the reason of a close by CloseConnection.
var errInjectedClose = errors.New("connection closed by an injected fault")

// Injector is a handler that applies a MessageFault to the frames of the handler that it wraps.
type Injector struct {
	transport.FrameHandler
	Fault    *MessageFault
	Frames   *int // number of frames counted so far, over all incarnations of the allocator
	Schedule func(at placement.Millis, do func(now placement.Millis))
	Crash    func(now placement.Millis)

	net transport.FrameNetwork
}

// Start implements transport.FrameHandler.
func (i *Injector) Start(now placement.Millis, net transport.FrameNetwork) {
	i.net = net
	i.FrameHandler.Start(now, i)
}

// Dial implements transport.FrameNetwork.
func (i *Injector) Dial(addr string) transport.ConnID { return i.net.Dial(addr) }

// Close implements transport.FrameNetwork.
func (i *Injector) Close(conn transport.ConnID) { i.net.Close(conn) }

// WakeAt implements transport.FrameNetwork.
func (i *Injector) WakeAt(t placement.Millis) { i.net.WakeAt(t) }

// Now implements transport.FrameNetwork.
func (i *Injector) Now() placement.Millis { return i.net.Now() }

// selects counts a frame if workloads depend on it, and reports whether the fault applies to it.
func (i *Injector) selects(frame *pb.Frame) bool {
	switch frame.Body.(type) {
	case *pb.Frame_Offer, *pb.Frame_OfferReply, *pb.Frame_Stop, *pb.Frame_End, *pb.Frame_UsageReport,
		*pb.Frame_ConfirmGang:
		*i.Frames++
		return *i.Frames == i.Fault.Frame
	}
	return false
}

// Send implements transport.FrameNetwork.
func (i *Injector) Send(conn transport.ConnID, frame *pb.Frame) {
	if !i.selects(frame) {
		i.net.Send(conn, frame)
		return
	}
	i.inject(i.net.Now(), conn, func(placement.Millis) { i.net.Send(conn, frame) })
}

// Received implements transport.FrameHandler.
func (i *Injector) Received(now placement.Millis, conn transport.ConnID, frame *pb.Frame) {
	if !i.selects(frame) {
		i.FrameHandler.Received(now, conn, frame)
		return
	}
	i.inject(now, conn, func(now placement.Millis) { i.FrameHandler.Received(now, conn, frame) })
}

// inject applies the fault to a frame on a connection. The function pass sends or delivers the frame.
func (i *Injector) inject(now placement.Millis, conn transport.ConnID, pass func(now placement.Millis)) {
	switch i.Fault.Kind {
	case LoseFrame:
	case DuplicateFrame:
		pass(now)
		pass(now)
	case DelayFrame:
		i.Schedule(now+messageDelay, pass)
	case CloseConnection:
		i.net.Close(conn)
		i.Schedule(now, func(now placement.Millis) { i.Closed(now, conn, errInjectedClose) })
	case CrashAllocator:
		i.Schedule(now, i.Crash)
	}
}
