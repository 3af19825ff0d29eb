// Package network provides a virtual network with its clock, and the faults of networks, clocks and processes.
package network

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

// CutTimeout is how long a connection survives a cut, in milliseconds: about as long as keep-alives allow.
const CutTimeout = placement.Millis(3e3)

// Interceptor stands between a process and its network. It starts, kills, pauses and cuts off the process, injects faults into
// its connections and clock, and notifies an observer. Its methods must be called on the process's goroutine. It has more than
// fifteen fields as each of these faults has its own state on the same frames.
type Interceptor struct {
	observer.Process
	OnKill func(inner transport.FrameHandler) // called before the process ends, or nil

	newHandler func(incarnation uint64) transport.FrameHandler
	observer   observer.Observer
	Uptime     []oracle.Span // times at which the process ran

	net          transport.FrameNetwork
	handler      transport.FrameHandler // nil while the process does not run
	incarnation  uint64
	conns        map[transport.ConnID]bool
	paused       bool
	arrivedAt    placement.Millis // arrival of the frame that is being handed over
	cutOut       bool             // frames that the process sends are queued
	cutIn        bool             // frames that are sent to it are queued
	clock        clock
	faults       *FrameFaults
	delayedUntil map[transport.ConnID]placement.Millis // until when delayed frames wait
	schedule     func(at placement.Millis, do func(now placement.Millis))
	deferred     []func(now placement.Millis) // calls that wait for a paused process
	queuedOut    []queuedFrame                // frames that wait for the end of a cut
	queuedIn     []queuedFrame
}

type queuedFrame struct {
	c transport.ConnID
	f *pb.Frame
}

// NewInterceptor returns an interceptor of the process that newHandler returns. It is called again at each start of the process.
func NewInterceptor(name string, role pb.Role, id int, o observer.Observer, newHandler func(uint64) transport.FrameHandler) *Interceptor {
	return &Interceptor{Process: observer.Process{Name: name, Role: role, ID: id}, newHandler: newHandler, observer: o, conns: map[transport.ConnID]bool{}, delayedUntil: map[transport.ConnID]placement.Millis{}}
}

// Handler returns the handler of the running process, or nil while it does not run.
func (g *Interceptor) Handler() transport.FrameHandler { return g.handler }

// Alive reports whether the process runs.
func (g *Interceptor) Alive() bool { return g.handler != nil }

// Start implements transport.FrameHandler.
func (g *Interceptor) Start(now placement.Millis, net transport.FrameNetwork) {
	g.net = net
	g.Restart(now)
}

// Restart starts the process with the next incarnation, unless it runs.
func (g *Interceptor) Restart(now placement.Millis) {
	if g.handler != nil {
		return
	}
	g.incarnation++
	g.Uptime = append(g.Uptime, oracle.Span{From: now, Until: placement.Millis(math.Inf(1))})
	g.handler = g.newHandler(g.incarnation)
	g.observer.Process(now, &g.Process, true)
	g.handler.Start(g.clock.toLocal(now), g)
}

// Kill ends the process at once: its connections break, and its state is lost.
func (g *Interceptor) Kill(now placement.Millis) {
	if g.handler == nil {
		return
	}
	g.Uptime[len(g.Uptime)-1].Until = now
	g.observer.Process(now, &g.Process, false)
	if g.OnKill != nil {
		g.OnKill(g.handler)
	}
	g.handler, g.deferred, g.queuedOut, g.queuedIn = nil, nil, nil, nil
	g.closeAll(now)
}

// closeAll closes all connections, and returns them in order.
func (g *Interceptor) closeAll(now placement.Millis) []transport.ConnID {
	all := slices.Sorted(maps.Keys(g.conns))
	for _, c := range all {
		g.net.Close(c)
		g.observer.Connection(now, &g.Process, c, false)
	}
	clear(g.conns)
	return all
}

// Pause stops the process until Resume is called. What happens meanwhile is handed to it then.
func (g *Interceptor) Pause(now, until placement.Millis) {
	if g.handler != nil {
		g.paused = true
		g.observer.Pause(now, &g.Process, until)
	}
}

// Resume lets a paused process run on.
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

// Cut cuts the process off in both directions: frames are queued, and connections break after CutTimeout.
func (g *Interceptor) Cut(placement.Millis) { g.cutOut, g.cutIn = true, true }

// BreakConnections breaks the connections of a process that is still cut off. It is to be called CutTimeout after the cut.
func (g *Interceptor) BreakConnections(now placement.Millis) {
	if !g.cutOut && !g.cutIn {
		return
	}
	g.queuedOut, g.queuedIn = nil, nil
	for _, c := range g.closeAll(now) {
		g.deliver(now, func(now placement.Millis) { g.handler.Closed(g.clock.toLocal(now), c, errors.New("timed out")) })
	}
}

// Heal ends a cut, and delivers the frames that were queued.
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

// deliver calls the process, now or when it resumes.
func (g *Interceptor) deliver(now placement.Millis, call func(now placement.Millis)) {
	if g.paused {
		g.deferred = append(g.deferred, call)
	} else if g.handler != nil {
		call(now)
	}
}

// Opened implements transport.FrameHandler.
func (g *Interceptor) Opened(now placement.Millis, c transport.ConnID) {
	if g.handler == nil || g.cutOut || g.cutIn {
		g.net.Close(c)
		if g.conns[c] { // dialled by the process, which is notified of the failure
			delete(g.conns, c)
			g.deliver(now, func(now placement.Millis) { g.handler.Closed(g.clock.toLocal(now), c, errors.New("cut off")) })
		}
		return
	}
	g.conns[c] = true
	g.observer.Connection(now, &g.Process, c, true)
	g.deliver(now, func(now placement.Millis) { g.handler.Opened(g.clock.toLocal(now), c) })
}

// Received implements transport.FrameHandler.
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

// deliverFrame hands a frame to the process, now or when it resumes.
func (g *Interceptor) deliverFrame(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	if g.handler != nil && !g.paused { // the common case, without a closure
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

// Closed implements transport.FrameHandler.
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

// Wake implements transport.FrameHandler.
func (g *Interceptor) Wake(now placement.Millis) {
	if g.handler != nil && !g.paused {
		g.handler.Wake(g.clock.toLocal(now))
		return
	}
	g.deliver(now, func(now placement.Millis) { g.handler.Wake(g.clock.toLocal(now)) })
}

// Dial implements transport.FrameNetwork for the process.
func (g *Interceptor) Dial(addr string) transport.ConnID {
	c := g.net.Dial(addr)
	g.conns[c] = true
	return c
}

// Send implements transport.FrameNetwork for the process.
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

// Close implements transport.FrameNetwork for the process.
func (g *Interceptor) Close(c transport.ConnID) {
	if g.conns[c] {
		delete(g.conns, c)
		g.observer.Connection(g.net.Now(), &g.Process, c, false)
		g.net.Close(c)
	}
}

// Arrived returns arrival of the frame that is being handed over, by the process's own clock: a process that was
// paused is handed all at once what arrived one after the other.
func (g *Interceptor) Arrived() placement.Millis { return g.clock.toLocal(g.arrivedAt) }

// WakeAt implements transport.FrameNetwork for the process.
func (g *Interceptor) WakeAt(t placement.Millis) { g.net.WakeAt(g.clock.toHost(t)) }

// HostNow returns the time by the host's clock.
func (g *Interceptor) HostNow() placement.Millis { return g.net.Now() }

// LocalTime converts a time of the host's clock to the process's own clock.
func (g *Interceptor) LocalTime(t placement.Millis) placement.Millis { return g.clock.toLocal(t) }

// Now implements transport.FrameNetwork. It returns the time by the process's own clock.
func (g *Interceptor) Now() placement.Millis { return g.clock.toLocal(g.net.Now()) }
