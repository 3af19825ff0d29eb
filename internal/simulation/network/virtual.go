package network

import (
	"fmt"
	"math/rand/v2"

	"grebeglade/internal/timerqueue"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// One-way latencies, in ms: within a zone, between zones, and the largest random addition as a share of them.
const (
	sameZoneLatency  = placement.Millis(0.2)
	crossZoneLatency = placement.Millis(0.9)
	latencyJitter    = 0.3
)

// Host runs handlers: a Virtual network, or the event loop on sockets.
type Host interface {
	// AddHandler adds a handler and returns the address at which others reach it.
	AddHandler(p transport.FrameHandler, zone string) (addr string, err error)
	// RunAt calls do on the handler's goroutine at that time.
	RunAt(p transport.FrameHandler, at placement.Millis, do func(now placement.Millis))
}

// Virtual is a network with a virtual clock. What happens in it depends on the seed and the handlers alone.
type Virtual struct {
	now       placement.Millis
	events    timerqueue.Queue[event]
	endpoints []*endpoint
	byHandler map[transport.FrameHandler]*endpoint
	rng       *rand.Rand
}

type eventKind uint8

const (
	eventCall eventKind = iota
	eventOpened
	eventFrame
	eventClosed
	eventWake
)

type event struct {
	kind   eventKind
	at     *endpoint
	conn   transport.ConnID
	frame  *pb.Frame
	do     func(now placement.Millis)
	wakeID uint64
	reason error
}

// endpoint is a handler in the virtual network, and the network as the handler sees it.
type endpoint struct {
	network *Virtual
	index   int
	handler transport.FrameHandler
	zone    string
	ends    []*connectionEnd // by ConnID-1
	// The wake-up that counts, if there is one.
	wakeID      uint64
	wakeAt      placement.Millis
	wakePending bool
}

// connectionEnd is one side of a connection.
type connectionEnd struct {
	at   *endpoint
	id   transport.ConnID
	peer *connectionEnd
	open bool             // as far as this side is concerned
	last placement.Millis // arrival of the last frame that was sent from here
}

// NewVirtual returns an empty network at time 0.
func NewVirtual(seed uint64) *Virtual {
	return &Virtual{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), byHandler: map[transport.FrameHandler]*endpoint{}}
}

// Now returns the virtual time.
func (v *Virtual) Now() placement.Millis { return v.now }

// AddHandler implements Host.
func (v *Virtual) AddHandler(p transport.FrameHandler, zone string) (string, error) {
	r := &endpoint{network: v, index: len(v.endpoints), handler: p, zone: zone}
	v.endpoints = append(v.endpoints, r)
	v.byHandler[p] = r
	v.events.Push(v.now, event{kind: eventCall, do: func(now placement.Millis) { p.Start(now, r) }})
	return fmt.Sprintf("virtual:%d", r.index), nil
}

// RunAt implements Host.
func (v *Virtual) RunAt(_ transport.FrameHandler, at placement.Millis, do func(now placement.Millis)) {
	v.events.Push(max(at, v.now), event{kind: eventCall, do: do})
}

// Run handles events until that time, or until done returns true.
func (v *Virtual) Run(until placement.Millis, done func() bool) {
	for at, ok := v.events.NextTime(); ok && at <= until && !done(); at, ok = v.events.NextTime() {
		_, _, e := v.events.Pop()
		v.now = max(v.now, at)
		v.handle(e)
	}
	if !done() {
		v.now = max(v.now, until)
	}
}

func (v *Virtual) handle(e event) {
	switch e.kind {
	case eventCall:
		e.do(v.now)
		return
	case eventWake:
		if e.wakeID == e.at.wakeID {
			e.at.wakePending = false
			e.at.handler.Wake(v.now)
		}
		return
	}
	side := e.at.ends[e.conn-1]
	if !side.open {
		return
	}
	switch e.kind {
	case eventOpened:
		e.at.handler.Opened(v.now, e.conn)
	case eventFrame:
		e.at.handler.Received(v.now, e.conn, e.frame)
	case eventClosed:
		side.open = false
		e.at.handler.Closed(v.now, e.conn, e.reason)
	}
}

// latency returns the time that a frame takes from one endpoint to another.
func (v *Virtual) latency(from, to *endpoint) placement.Millis {
	base := sameZoneLatency
	if from.zone != to.zone {
		base = crossZoneLatency
	}
	return base * placement.Millis(1+latencyJitter*v.rng.Float64())
}

// send schedules an event at the other end of a connection, after everything that was sent before it.
func (v *Virtual) send(from *connectionEnd, e event) {
	to := from.peer
	from.last = max(from.last, v.now+v.latency(from.at, to.at))
	e.at, e.conn = to.at, to.id
	v.events.Push(from.last, e)
}

func (r *endpoint) newEnd() *connectionEnd {
	e := &connectionEnd{at: r, id: transport.ConnID(len(r.ends) + 1), open: true}
	r.ends = append(r.ends, e)
	return e
}

func (r *endpoint) Now() placement.Millis { return r.network.now }

func (r *endpoint) Dial(addr string) transport.ConnID {
	a := r.newEnd()
	var no int
	if _, err := fmt.Sscanf(addr, "virtual:%d", &no); err != nil || no < 0 || no >= len(r.network.endpoints) {
		r.network.events.Push(r.network.now, event{kind: eventClosed, at: r, conn: a.id, reason: fmt.Errorf("no party at %s", addr)})
		return a.id
	}
	b := r.network.endpoints[no].newEnd()
	a.peer, b.peer = b, a
	r.network.send(a, event{kind: eventOpened})
	b.last = a.last
	b.last = max(b.last, a.last) + r.network.latency(b.at, a.at)
	r.network.events.Push(b.last, event{kind: eventOpened, at: a.at, conn: a.id})
	return a.id
}

func (r *endpoint) Send(c transport.ConnID, f *pb.Frame) {
	if e := r.ends[c-1]; e.open && e.peer != nil {
		r.network.send(e, event{kind: eventFrame, frame: f})
	}
}

func (r *endpoint) Close(c transport.ConnID) {
	e := r.ends[c-1]
	if !e.open {
		return
	}
	e.open = false
	if e.peer != nil {
		r.network.send(e, event{kind: eventClosed, reason: transport.ErrClosedByPeer})
	}
}

func (r *endpoint) WakeAt(t placement.Millis) {
	if t = max(t, r.network.now); r.wakePending && t == r.wakeAt {
		return
	}
	r.wakeID++
	r.wakeAt, r.wakePending = t, true
	r.network.events.Push(t, event{kind: eventWake, at: r, wakeID: r.wakeID})
}
