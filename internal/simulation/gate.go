package simulation

import (
	"errors"
	"maps"
	"math"
	"slices"

	"grebeglade/internal/oracle"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// cutBreaks is how long, in ms, a connection outlives a cut: about as long as keep-alives let one stand.
const cutBreaks = placement.Millis(3e3)

// Witness sees what passes between a party and its connections, and nothing of what goes on inside it.
type Witness interface {
	// Frame is called when a party sends a frame (out), or is handed one, which may have waited since it arrived.
	Frame(now, arrived placement.Millis, g *Gate, c transport.ConnID, out bool, f *pb.Frame)
	// Conn is called when a connection opens or closes.
	Conn(now placement.Millis, g *Gate, c transport.ConnID, open bool)
	// Life is called when a party's process starts or dies.
	Life(now placement.Millis, g *Gate, alive bool)
	// Still is called when a party's process stands still until then.
	Still(now placement.Millis, g *Gate, until placement.Millis)
}

// Gate stands between a party and its net. It is where a party's process dies, stands still or is cut off,
// and where the witness looks on. Everything is called on the party's goroutine.
type Gate struct {
	Name string
	Role pb.Role
	ID   int                                // number within its role
	Dies func(inner transport.FrameHandler) // called before the process ends, or nil

	make    func(incarnation uint64) transport.FrameHandler
	witness Witness
	lives   []oracle.Span // of its process

	net         transport.FrameNetwork
	inner       transport.FrameHandler // nil while dead
	incarnation uint64
	conns       map[transport.ConnID]bool
	still       bool
	arrived     placement.Millis // when the frame that is being handed over reached the machine
	cutOut      bool             // what the party sends does not arrive, and
	cutIn       bool             // what is sent to it
	cutNo       int
	clock       clock
	trouble     *Trouble
	held        map[transport.ConnID]placement.Millis // until when frames wait that the network holds up
	later       func(at placement.Millis, do func(now placement.Millis))
	waiting     []func(now placement.Millis) // what a party that stands still has not been handed
	heldOut     []heldFrame                  // what has not left a party that is cut off
	heldIn      []heldFrame
}

type heldFrame struct {
	c transport.ConnID
	f *pb.Frame
}

// NewGate makes a gate in front of what make returns; make is called again at each start of the process.
func NewGate(name string, role pb.Role, id int, w Witness, make func(uint64) transport.FrameHandler) *Gate {
	return &Gate{Name: name, Role: role, ID: id, make: make, witness: w, conns: map[transport.ConnID]bool{}, held: map[transport.ConnID]placement.Millis{}}
}

// Inner is the party as it lives now, nil while it is dead.
func (g *Gate) Inner() transport.FrameHandler { return g.inner }

// Alive tells whether the process runs.
func (g *Gate) Alive() bool { return g.inner != nil }

func (g *Gate) Start(now placement.Millis, net transport.FrameNetwork) {
	g.net = net
	g.Restart(now)
}

// Restart starts the process anew, unless it runs.
func (g *Gate) Restart(now placement.Millis) {
	if g.inner != nil {
		return
	}
	g.incarnation++
	g.lives = append(g.lives, oracle.Span{From: now, Until: placement.Millis(math.Inf(1))})
	g.inner = g.make(g.incarnation)
	g.witness.Life(now, g, true)
	g.inner.Start(g.clock.local(now), g)
}

// Kill ends the process outright: its connections break and all that it knew is gone.
func (g *Gate) Kill(now placement.Millis) {
	if g.inner == nil {
		return
	}
	g.lives[len(g.lives)-1].Until = now
	g.witness.Life(now, g, false)
	if g.Dies != nil {
		g.Dies(g.inner)
	}
	g.inner, g.waiting, g.heldOut, g.heldIn = nil, nil, nil, nil
	g.breakAll(now)
}

// breakAll closes every connection towards the peers.
func (g *Gate) breakAll(now placement.Millis) []transport.ConnID {
	all := slices.Sorted(maps.Keys(g.conns))
	for _, c := range all {
		g.net.Close(c)
		g.witness.Conn(now, g, c, false)
	}
	clear(g.conns)
	return all
}

// Still has the process stand still: what comes waits until Go is called.
func (g *Gate) Still(now, until placement.Millis) {
	if g.inner != nil {
		g.still = true
		g.witness.Still(now, g, until)
	}
}

// Go lets a process that stands still run on.
func (g *Gate) Go(now placement.Millis) {
	g.still = false
	waiting := g.waiting
	g.waiting = nil
	for _, call := range waiting {
		if g.inner != nil {
			call(now)
		}
	}
}

// Cut cuts the party off from everyone: frames wait on both sides, and connections break if it lasts.
func (g *Gate) Cut(placement.Millis) { g.cutOut, g.cutIn, g.cutNo = true, true, g.cutNo+1 }

// BreakCut ends the connections that have been cut off for too long. It is due cutBreaks after Cut.
func (g *Gate) BreakCut(now placement.Millis) {
	if !g.cutOut && !g.cutIn {
		return
	}
	g.heldOut, g.heldIn = nil, nil
	for _, c := range g.breakAll(now) {
		g.run(now, func(now placement.Millis) { g.inner.Closed(g.clock.local(now), c, errors.New("timed out")) })
	}
}

// Heal ends the cut.
func (g *Gate) Heal(now placement.Millis) {
	g.cutOut, g.cutIn = false, false
	out, in := g.heldOut, g.heldIn
	g.heldOut, g.heldIn = nil, nil
	for _, h := range out {
		g.Send(h.c, h.f)
	}
	for _, h := range in {
		g.Received(now, h.c, h.f)
	}
}

// run hands something to the party, now or when it runs again.
func (g *Gate) run(now placement.Millis, call func(now placement.Millis)) {
	if g.still {
		g.waiting = append(g.waiting, call)
	} else if g.inner != nil {
		call(now)
	}
}

func (g *Gate) Opened(now placement.Millis, c transport.ConnID) {
	if g.inner == nil || g.cutOut || g.cutIn {
		g.net.Close(c)
		if g.conns[c] { // dialled by us: the party must hear that it came to nothing
			delete(g.conns, c)
			g.run(now, func(now placement.Millis) { g.inner.Closed(g.clock.local(now), c, errors.New("cut off")) })
		}
		return
	}
	g.conns[c] = true
	g.witness.Conn(now, g, c, true)
	g.run(now, func(now placement.Millis) { g.inner.Opened(g.clock.local(now), c) })
}

func (g *Gate) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	switch {
	case !g.conns[c]:
	case g.cutIn:
		g.heldIn = append(g.heldIn, heldFrame{c, f})
	case (g.trouble != nil || len(g.held) > 0) && g.struck(now, c, f):
	default:
		g.handOver(now, c, f)
	}
}

// handOver gives the party a frame, now or when it runs again.
func (g *Gate) handOver(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	if g.inner != nil && !g.still { // the way of nearly all, and without a closure
		g.arrived = now
		g.witness.Frame(now, now, g, c, false, f)
		g.inner.Received(g.clock.local(now), c, f)
		return
	}
	arrived := now
	g.run(now, func(now placement.Millis) {
		g.arrived = arrived
		g.witness.Frame(now, arrived, g, c, false, f)
		g.inner.Received(g.clock.local(now), c, f)
	})
}

func (g *Gate) Closed(now placement.Millis, c transport.ConnID, reason error) {
	if !g.conns[c] {
		return
	}
	delete(g.conns, c)
	delete(g.held, c)
	g.run(now, func(now placement.Millis) {
		g.witness.Conn(now, g, c, false)
		g.inner.Closed(g.clock.local(now), c, reason)
	})
}

func (g *Gate) Wake(now placement.Millis) {
	if g.inner != nil && !g.still {
		g.inner.Wake(g.clock.local(now))
		return
	}
	g.run(now, func(now placement.Millis) { g.inner.Wake(g.clock.local(now)) })
}

// Dial is the party's: so are Send, Close and WakeAt.
func (g *Gate) Dial(addr string) transport.ConnID {
	c := g.net.Dial(addr)
	g.conns[c] = true
	return c
}

func (g *Gate) Send(c transport.ConnID, f *pb.Frame) {
	if !g.conns[c] {
		return
	}
	if g.cutOut {
		g.heldOut = append(g.heldOut, heldFrame{c, f})
		return
	}
	g.net.Send(c, f)
	g.witness.Frame(g.net.Now(), g.net.Now(), g, c, true, f)
}

func (g *Gate) Close(c transport.ConnID) {
	if g.conns[c] {
		delete(g.conns, c)
		g.witness.Conn(g.net.Now(), g, c, false)
		g.net.Close(c)
	}
}

// Arrived is when the frame that is being handed over reached the machine: a process that stood still is handed
// all at once what came by and by.
func (g *Gate) Arrived() placement.Millis { return g.clock.local(g.arrived) }

func (g *Gate) WakeAt(t placement.Millis) { g.net.WakeAt(g.clock.back(t)) }

// Now is the party's own time.
func (g *Gate) Now() placement.Millis { return g.clock.local(g.net.Now()) }
