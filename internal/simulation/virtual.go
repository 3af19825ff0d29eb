package simulation

import (
	"fmt"
	"math/rand/v2"

	"grebeglade/internal/timerqueue"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Lengths of a frame's way in virtual time, in ms one way: within a hall, between halls, and how much longer
// by chance.
const (
	sameZoneLatency  = placement.Millis(0.2)
	crossZoneLatency = placement.Millis(0.9)
	latencyJitter    = 0.3
)

// Host is where parties live: Virtual, or sockets.
type Host interface {
	// AddHandler brings a party in and returns the address at which others reach it.
	AddHandler(p transport.FrameHandler, zone string) (addr string, err error)
	// RunAt calls do on the party's goroutine once that time has come.
	RunAt(p transport.FrameHandler, at placement.Millis, do func(now placement.Millis))
}

// Virtual is a network and a clock of its own making. What happens depends on the seed and on nothing else.
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

// resident is a party in the virtual network, and the net that it sees.
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

// end is one side of a connection.
type connectionEnd struct {
	at   *endpoint
	id   transport.ConnID
	peer *connectionEnd
	open bool             // as far as this side is concerned
	last placement.Millis // arrival of the last frame that was sent from here
}

// NewVirtual makes an empty network.
func NewVirtual(seed uint64) *Virtual {
	return &Virtual{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), byHandler: map[transport.FrameHandler]*endpoint{}}
}

// Now is the virtual time.
func (v *Virtual) Now() placement.Millis { return v.now }

func (v *Virtual) AddHandler(p transport.FrameHandler, zone string) (string, error) {
	r := &endpoint{network: v, index: len(v.endpoints), handler: p, zone: zone}
	v.endpoints = append(v.endpoints, r)
	v.byHandler[p] = r
	v.events.Push(v.now, event{kind: eventCall, do: func(now placement.Millis) { p.Start(now, r) }})
	return fmt.Sprintf("virtual:%d", r.index), nil
}

func (v *Virtual) RunAt(_ transport.FrameHandler, at placement.Millis, do func(now placement.Millis)) {
	v.events.Push(max(at, v.now), event{kind: eventCall, do: do})
}

// Run handles what comes due until that time, or until done says so.
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

// way is how long something takes from one party to another.
func (v *Virtual) latency(from, to *endpoint) placement.Millis {
	base := sameZoneLatency
	if from.zone != to.zone {
		base = crossZoneLatency
	}
	return base * placement.Millis(1+latencyJitter*v.rng.Float64())
}

// send has something arrive at the other end, after all that was sent before it.
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
