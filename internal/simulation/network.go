package simulation

import (
	"math"
	"math/rand/v2"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Trouble is what the network does to the frames that reach a party. Each frame is struck by itself, with that
// likelihood; a frame that is held up holds up those behind it on its connection unless frames may overtake.
type FrameFaults struct {
	Share     float64          // of the frames
	Duplicate bool             // handed over twice
	Delay     placement.Millis // held up for up to so long
	Reorder   bool             // frames of one connection may come in another order

	rng *rand.Rand
}

// clock is a party's own: it goes at a rate and was stepped ahead by some time.
type clock struct {
	rate      float64
	host, own placement.Millis // one moment, by both clocks
}

// local is a time of the host by this clock.
func (k *clock) toLocal(t placement.Millis) placement.Millis {
	if k.rate == 0 {
		return t
	}
	return k.own + (t-k.host)*placement.Millis(k.rate)
}

// back is the first time on the host's clock at which this one shows t. Rounded down it would have a party woken too
// early, which then asks to be woken at the same time, for ever.
func (k *clock) toHost(t placement.Millis) placement.Millis {
	if k.rate == 0 {
		return t
	}
	at := k.host + (t-k.own)/placement.Millis(k.rate)
	for k.toLocal(at) < t && !math.IsInf(float64(at), 0) {
		at = placement.Millis(math.Nextafter(float64(at), math.Inf(1)))
	}
	return at
}

// SetClock has the party's clock go at a rate from now on, and steps it ahead. It never goes back: what reads it
// reads a monotonic clock, as the daemon does.
func (g *Interceptor) SetClock(now placement.Millis, rate float64, ahead placement.Millis) {
	g.clock = clock{rate: rate, host: now, own: g.clock.toLocal(now) + max(0, ahead)}
	g.deliver(now, func(now placement.Millis) { g.handler.Wake(g.clock.toLocal(now)) }) // what is due by the new clock, and the next wake-up
}

// SetTrouble sets what happens to the frames that come, nil for nothing. Later calls back on the party's goroutine
// by the host's clock.
func (g *Interceptor) SetFrameFaults(t *FrameFaults, later func(at placement.Millis, do func(now placement.Millis))) {
	g.faults, g.schedule = t, later
}

// CutOne cuts one direction off: what the party sends, or what is sent to it. No connection comes about then, and
// those that stand break as they do in a full cut.
func (g *Interceptor) CutDirection(out bool) {
	if out {
		g.cutOut = true
	} else {
		g.cutIn = true
	}
}

// ordered tells of frames whose place among the others is part of the wire's contract: a hello comes first, changes
// of the list build on one another, and an owner withdraws what it has asked for.
func orderMatters(f *pb.Frame) bool {
	switch f.Body.(type) {
	case *pb.Frame_Hello, *pb.Frame_Refusal, *pb.Frame_ListUpdate, *pb.Frame_ListCall, *pb.Frame_Withdraw, *pb.Frame_Register:
		return true
	}
	return false
}

// struck has the network do its worst to a frame that comes, and tells whether it did.
func (g *Interceptor) applyFaults(now placement.Millis, c transport.ConnID, f *pb.Frame) bool {
	t := g.faults
	held, holds := g.delayedUntil[c]
	if holds && held < now {
		delete(g.delayedUntil, c)
		holds = false
	}
	hit := t != nil && t.rng.Float64() < t.Share
	overtakes := t != nil && t.Reorder && !orderMatters(f)
	at := now
	if hit && t.Delay > 0 {
		at += t.Delay * placement.Millis(t.rng.Float64())
	}
	if !overtakes {
		at = max(at, held)
	}
	pass := func(now placement.Millis) {
		if g.conns[c] {
			g.deliverFrame(now, c, f)
		}
	}
	switch {
	case at > now || holds && !overtakes:
		if !overtakes {
			g.delayedUntil[c] = at
		}
		g.schedule(at, pass)
	case hit && t.Duplicate && !orderMatters(f):
		pass(now)
		pass(now)
	default:
		return false
	}
	return true
}
