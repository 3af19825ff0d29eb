package simulation

import (
	"errors"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Mishap is one thing that goes wrong with one frame between an allocator and its nodes, or with the allocator
// as it passes: tests try each kind at each frame.
type Mishap struct {
	Kind  string // lose, double, delay, cut, crash
	Frame int    // counted from 1 over the frames of offers, answers, stops, ends, notes and keeps, both ways
	Back  bool   // a crashed allocator comes back
}

// Mishaps are the kinds.
var Mishaps = []string{"lose", "double", "delay", "cut", "crash"}

const (
	mishapDelay = placement.Millis(700)
	mishapAway  = placement.Millis(900) // that a crashed allocator is away
)

// unlucky stands between an allocator and its gate, and lets the mishap happen.
type unlucky struct {
	transport.FrameHandler
	m     *Mishap
	net   transport.FrameNetwork
	seen  *int // frames so far, over all lives of the allocator
	delay func(at placement.Millis, do func(now placement.Millis))
	crash func(now placement.Millis)
}

func (u *unlucky) Start(now placement.Millis, net transport.FrameNetwork) {
	u.net = net
	u.FrameHandler.Start(now, u)
}

func (u *unlucky) Dial(addr string) transport.ConnID { return u.net.Dial(addr) }
func (u *unlucky) Close(c transport.ConnID)          { u.net.Close(c) }
func (u *unlucky) WakeAt(t placement.Millis)         { u.net.WakeAt(t) }
func (u *unlucky) Now() placement.Millis             { return u.net.Now() }

// struck counts a frame and tells whether it is the one.
func (u *unlucky) struck(f *pb.Frame) bool {
	switch f.Body.(type) {
	case *pb.Frame_Offer, *pb.Frame_OfferAnswer, *pb.Frame_Stop, *pb.Frame_End, *pb.Frame_Note, *pb.Frame_Keep:
		*u.seen++
		return *u.seen == u.m.Frame
	}
	return false
}

func (u *unlucky) Send(c transport.ConnID, f *pb.Frame) {
	if !u.struck(f) {
		u.net.Send(c, f)
		return
	}
	u.strike(u.net.Now(), c, func(placement.Millis) { u.net.Send(c, f) })
}

func (u *unlucky) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	if !u.struck(f) {
		u.FrameHandler.Received(now, c, f)
		return
	}
	u.strike(now, c, func(now placement.Millis) { u.FrameHandler.Received(now, c, f) })
}

func (u *unlucky) strike(now placement.Millis, c transport.ConnID, pass func(now placement.Millis)) {
	switch u.m.Kind {
	case "double":
		pass(now)
		pass(now)
	case "delay":
		u.delay(now+mishapDelay, pass)
	case "cut":
		u.net.Close(c)
		u.delay(now, func(now placement.Millis) { u.FrameHandler.Closed(now, c, errors.New("cut")) })
	case "crash":
		u.delay(now, u.crash)
	}
}
