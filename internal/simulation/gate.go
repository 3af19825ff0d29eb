package simulation

import (
	"errors"
	"maps"
	"math"
	"slices"

	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// cutBreaks is how long, in ms, a connection outlives a cut: about as long as keep-alives let one stand.
const CutTimeout = placement.Millis(3e3)

// Gate stands between a party and its net. It is where a party's process dies, stands still or is cut off,
// and where the witness looks on. Everything is called on the party's goroutine.
type Interceptor struct {
	observer.Process
	OnKill func(inner transport.FrameHandler) // called before the process ends, or nil

	newHandler func(incarnation uint64) transport.FrameHandler
	observer   observer.Observer
	uptime     []oracle.Span // of its process

	net          transport.FrameNetwork
	handler      transport.FrameHandler // nil while dead
	incarnation  uint64
	conns        map[transport.ConnID]bool
	paused       bool
	arrivedAt    placement.Millis // when the frame that is being handed over reached the machine
	cutOut       bool             // what the party sends does not arrive, and
	cutIn        bool             // what is sent to it
	clock        clock
	faults       *FrameFaults
	delayedUntil map[transport.ConnID]placement.Millis // until when frames wait that the network holds up
	schedule     func(at placement.Millis, do func(now placement.Millis))
	deferred     []func(now placement.Millis) // what a party that stands still has not been handed
	queuedOut    []queuedFrame                // what has not left a party that is cut off
	queuedIn     []queuedFrame
}

type queuedFrame struct {
	c transport.ConnID
	f *pb.Frame
}

// NewGate makes a gate in front of what make returns; make is called again at each start of the process.
func NewInterceptor(name string, role pb.Role, id int, o observer.Observer, newHandler func(uint64) transport.FrameHandler) *Interceptor {
	return &Interceptor{Process: observer.Process{Name: name, Role: role, ID: id}, newHandler: newHandler, observer: o, conns: map[transport.ConnID]bool{}, delayedUntil: map[transport.ConnID]placement.Millis{}}
}

// Inner is the party as it lives now, nil while it is dead.
func (g *Interceptor) Handler() transport.FrameHandler { return g.handler }

// Alive tells whether the process runs.
func (g *Interceptor) Alive() bool { return g.handler != nil }

func (g *Interceptor) Start(now placement.Millis, net transport.FrameNetwork) {
	g.net = net
	g.Restart(now)
}

// Restart starts the process anew, unless it runs.
func (g *Interceptor) Restart(now placement.Millis) {
	if g.handler != nil {
		return
	}
	g.incarnation++
	g.uptime = append(g.uptime, oracle.Span{From: now, Until: placement.Millis(math.Inf(1))})
	g.handler = g.newHandler(g.incarnation)
	g.observer.Process(now, &g.Process, true)
	g.handler.Start(g.clock.toLocal(now), g)
}

// Kill ends the process outright: its connections break and all that it knew is gone.
func (g *Interceptor) Kill(now placement.Millis) {
	if g.handler == nil {
		return
	}
	g.uptime[len(g.uptime)-1].Until = now
	g.observer.Process(now, &g.Process, false)
	if g.OnKill != nil {
		g.OnKill(g.handler)
	}
	g.handler, g.deferred, g.queuedOut, g.queuedIn = nil, nil, nil, nil
	g.closeAll(now)
}

// breakAll closes every connection towards the peers.
func (g *Interceptor) closeAll(now placement.Millis) []transport.ConnID {
	all := slices.Sorted(maps.Keys(g.conns))
	for _, c := range all {
		g.net.Close(c)
		g.observer.Connection(now, &g.Process, c, false)
	}
	clear(g.conns)
	return all
}

// Still has the process stand still: what comes waits until Go is called.
func (g *Interceptor) Pause(now, until placement.Millis) {
	if g.handler != nil {
		g.paused = true
		g.observer.Pause(now, &g.Process, until)
	}
}

// Go lets a process that stands still run on.
func (g *Interceptor) Resume(now placement.Millis) {
	g.paused = false
	waiting := g.deferred
	g.deferred = nil
	for _, call := range waiting {
		if g.handler != nil {
			call(now)
		}
	}
}

// Cut cuts the party off from everyone: frames wait on both sides, and connections break if it lasts.
func (g *Interceptor) Cut(placement.Millis) { g.cutOut, g.cutIn = true, true }

// BreakCut ends the connections that have been cut off for too long. It is due cutBreaks after Cut.
func (g *Interceptor) BreakConnections(now placement.Millis) {
	if !g.cutOut && !g.cutIn {
		return
	}
	g.queuedOut, g.queuedIn = nil, nil
	for _, c := range g.closeAll(now) {
		g.deliver(now, func(now placement.Millis) { g.handler.Closed(g.clock.toLocal(now), c, errors.New("timed out")) })
	}
}

// Heal ends the cut.
func (g *Interceptor) Heal(now placement.Millis) {
	g.cutOut, g.cutIn = false, false
	out, in := g.queuedOut, g.queuedIn
	g.queuedOut, g.queuedIn = nil, nil
	for _, h := range out {
		g.Send(h.c, h.f)
	}
	for _, h := range in {
		g.Received(now, h.c, h.f)
	}
}

// run hands something to the party, now or when it runs again.
func (g *Interceptor) deliver(now placement.Millis, call func(now placement.Millis)) {
	if g.paused {
		g.deferred = append(g.deferred, call)
	} else if g.handler != nil {
		call(now)
	}
}

func (g *Interceptor) Opened(now placement.Millis, c transport.ConnID) {
	if g.handler == nil || g.cutOut || g.cutIn {
		g.net.Close(c)
		if g.conns[c] { // dialled by us: the party must hear that it came to nothing
			delete(g.conns, c)
			g.deliver(now, func(now placement.Millis) { g.handler.Closed(g.clock.toLocal(now), c, errors.New("cut off")) })
		}
		return
	}
	g.conns[c] = true
	g.observer.Connection(now, &g.Process, c, true)
	g.deliver(now, func(now placement.Millis) { g.handler.Opened(g.clock.toLocal(now), c) })
}

func (g *Interceptor) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	switch {
	case !g.conns[c]:
	case g.cutIn:
		g.queuedIn = append(g.queuedIn, queuedFrame{c, f})
	case (g.faults != nil || len(g.delayedUntil) > 0) && g.applyFaults(now, c, f):
	default:
		g.deliverFrame(now, c, f)
	}
}

// handOver gives the party a frame, now or when it runs again.
func (g *Interceptor) deliverFrame(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	if g.handler != nil && !g.paused { // the way of nearly all, and without a closure
		g.arrivedAt = now
		g.observer.Frame(now, now, &g.Process, c, false, f)
		g.handler.Received(g.clock.toLocal(now), c, f)
		return
	}
	arrived := now
	g.deliver(now, func(now placement.Millis) {
		g.arrivedAt = arrived
		g.observer.Frame(now, arrived, &g.Process, c, false, f)
		g.handler.Received(g.clock.toLocal(now), c, f)
	})
}

func (g *Interceptor) Closed(now placement.Millis, c transport.ConnID, reason error) {
	if !g.conns[c] {
		return
	}
	delete(g.conns, c)
	delete(g.delayedUntil, c)
	g.deliver(now, func(now placement.Millis) {
		g.observer.Connection(now, &g.Process, c, false)
		g.handler.Closed(g.clock.toLocal(now), c, reason)
	})
}

func (g *Interceptor) Wake(now placement.Millis) {
	if g.handler != nil && !g.paused {
		g.handler.Wake(g.clock.toLocal(now))
		return
	}
	g.deliver(now, func(now placement.Millis) { g.handler.Wake(g.clock.toLocal(now)) })
}

// Dial is the party's: so are Send, Close and WakeAt.
func (g *Interceptor) Dial(addr string) transport.ConnID {
	c := g.net.Dial(addr)
	g.conns[c] = true
	return c
}

func (g *Interceptor) Send(c transport.ConnID, f *pb.Frame) {
	if !g.conns[c] {
		return
	}
	if g.cutOut {
		g.queuedOut = append(g.queuedOut, queuedFrame{c, f})
		return
	}
	g.net.Send(c, f)
	g.observer.Frame(g.net.Now(), g.net.Now(), &g.Process, c, true, f)
}

func (g *Interceptor) Close(c transport.ConnID) {
	if g.conns[c] {
		delete(g.conns, c)
		g.observer.Connection(g.net.Now(), &g.Process, c, false)
		g.net.Close(c)
	}
}

// Arrived is when the frame that is being handed over reached the machine: a process that stood still is handed
// all at once what came by and by.
func (g *Interceptor) Arrived() placement.Millis { return g.clock.toLocal(g.arrivedAt) }

func (g *Interceptor) WakeAt(t placement.Millis) { g.net.WakeAt(g.clock.toHost(t)) }

// Now is the party's own time.
func (g *Interceptor) Now() placement.Millis { return g.clock.toLocal(g.net.Now()) }
