package simulation

import (
	"errors"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Mishap is one thing that goes wrong with one frame between an allocator and its nodes, or with the allocator
// as it passes: tests try each kind at each frame.
type MessageFault struct {
	Kind     string // lose, double, delay, cut, crash
	Frame    int    // counted from 1 over the frames of offers, answers, stops, ends, notes and keeps, both ways
	Restarts bool   // a crashed allocator comes back
}

// Mishaps are the kinds.
var MessageFaultKinds = []string{"lose", "double", "delay", "cut", "crash"}

const (
	messageDelay  = placement.Millis(700)
	crashDuration = placement.Millis(900) // that a crashed allocator is away
)

// unlucky stands between an allocator and its gate, and lets the mishap happen.
type faultInjector struct {
	transport.FrameHandler
	fault    *MessageFault
	net      transport.FrameNetwork
	frames   *int // frames so far, over all lives of the allocator
	schedule func(at placement.Millis, do func(now placement.Millis))
	crash    func(now placement.Millis)
}

func (u *faultInjector) Start(now placement.Millis, net transport.FrameNetwork) {
	u.net = net
	u.FrameHandler.Start(now, u)
}

func (u *faultInjector) Dial(addr string) transport.ConnID { return u.net.Dial(addr) }
func (u *faultInjector) Close(c transport.ConnID)          { u.net.Close(c) }
func (u *faultInjector) WakeAt(t placement.Millis)         { u.net.WakeAt(t) }
func (u *faultInjector) Now() placement.Millis             { return u.net.Now() }

// struck counts a frame and tells whether it is the one.
func (u *faultInjector) selects(f *pb.Frame) bool {
	switch f.Body.(type) {
	case *pb.Frame_Offer, *pb.Frame_OfferAnswer, *pb.Frame_Stop, *pb.Frame_End, *pb.Frame_Note, *pb.Frame_Keep:
		*u.frames++
		return *u.frames == u.fault.Frame
	}
	return false
}

func (u *faultInjector) Send(c transport.ConnID, f *pb.Frame) {
	if !u.selects(f) {
		u.net.Send(c, f)
		return
	}
	u.inject(u.net.Now(), c, func(placement.Millis) { u.net.Send(c, f) })
}

func (u *faultInjector) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	if !u.selects(f) {
		u.FrameHandler.Received(now, c, f)
		return
	}
	u.inject(now, c, func(now placement.Millis) { u.FrameHandler.Received(now, c, f) })
}

func (u *faultInjector) inject(now placement.Millis, c transport.ConnID, pass func(now placement.Millis)) {
	switch u.fault.Kind {
	case "double":
		pass(now)
		pass(now)
	case "delay":
		u.schedule(now+messageDelay, pass)
	case "cut":
		u.net.Close(c)
		u.schedule(now, func(now placement.Millis) { u.FrameHandler.Closed(now, c, errors.New("cut")) })
	case "crash":
		u.schedule(now, u.crash)
	}
}
