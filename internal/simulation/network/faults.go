package network

import (
	"math"
	"math/rand/v2"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// FrameFaults are faults of the frames that reach a process. Each frame is hit independently; a delayed frame delays those behind
// it on its connection unless frames may be reordered.
type FrameFaults struct {
	Share     float64          // of the frames
	Duplicate bool             // handed over twice
	Delay     placement.Millis // held up for up to so long
	Reorder   bool             // frames of one connection may come in another order

	Random *rand.Rand // chooses the frames and their delays
}

// clock is a process's own clock, which runs at a rate of its own and may have been stepped forward. The zero value is the host's clock.
type clock struct {
	rate      float64
	host, own placement.Millis // one moment, by both clocks
}

// toLocal converts a time of the host to this clock.
func (k *clock) toLocal(t placement.Millis) placement.Millis {
	if k.rate == 0 {
		return t
	}
	return k.own + (t-k.host)*placement.Millis(k.rate)
}

// toHost returns the first time of the host at which this clock shows t. Rounded down, it would wake a process too early, which
// then asks to be woken at the same time again, for ever.
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

// SetClock sets the rate of the process's clock from now on, and steps it forward. It never steps back: it stands for a monotonic
// clock, as the daemon reads.
func (g *Interceptor) SetClock(now placement.Millis, rate float64, ahead placement.Millis) {
	g.clock = clock{rate: rate, host: now, own: g.clock.toLocal(now) + max(0, ahead)}
	g.deliver(now, func(now placement.Millis) { g.handler.Wake(g.clock.toLocal(now)) }) // what is due by the new clock, and the next wake-up
}

// SetFrameFaults sets the faults of received frames, nil for none. The function schedules calls on the process's goroutine by the
// host's clock.
func (g *Interceptor) SetFrameFaults(t *FrameFaults, later func(at placement.Millis, do func(now placement.Millis))) {
	g.faults, g.schedule = t, later
}

// CutDirection cuts one direction: what the process sends, or what is sent to it. Connections cannot be opened then, and open ones
// break as they do in a full cut.
func (g *Interceptor) CutDirection(out bool) {
	if out {
		g.cutOut = true
	} else {
		g.cutIn = true
	}
}

// orderMatters reports whether the protocol depends on a frame's place among the others: a hello comes first, discovery updates
// build on one another, and a client withdraws what it has requested.
func orderMatters(f *pb.Frame) bool {
	switch f.Body.(type) {
	case *pb.Frame_Hello, *pb.Frame_Refusal, *pb.Frame_NodeListUpdate, *pb.Frame_NodeListRequest, *pb.Frame_Withdraw, *pb.Frame_Register:
		return true
	}
	return false
}

// applyFaults duplicates or delays a received frame as the faults say, and reports whether it took the frame over.
func (g *Interceptor) applyFaults(now placement.Millis, c transport.ConnID, f *pb.Frame) bool {
	t := g.faults
	hit := t != nil && t.Random.Float64() < t.Share
	at := now
	if hit && t.Delay > 0 {
		at += t.Delay * placement.Millis(t.Random.Float64())
	}
	pass := func(now placement.Millis) {
		if g.conns[c] {
			g.deliverFrame(now, c, f)
		}
	}
	if g.delayFrame(now, at, c, f, pass) {
		return true
	}
	if hit && t.Duplicate && !orderMatters(f) {
		pass(now)
		pass(now)
		return true
	}
	return false
}

// delayFrame schedules a frame if it is delayed, or is behind a delayed one on a connection that keeps its order.
func (g *Interceptor) delayFrame(now, at placement.Millis, c transport.ConnID, f *pb.Frame, pass func(now placement.Millis)) bool {
	if g.faults != nil && g.faults.Reorder && !orderMatters(f) {
		if at > now {
			g.schedule(at, pass)
		}
		return at > now
	}
	until, waits := g.delayedUntil[c]
	if waits && until < now {
		delete(g.delayedUntil, c)
		waits = false
	}
	if at = max(at, until); at <= now && !waits {
		return false
	}
	g.delayedUntil[c] = at
	g.schedule(at, pass)
	return true
}
