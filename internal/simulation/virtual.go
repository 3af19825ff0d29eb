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
	nearWay = placement.Millis(0.2)
	farWay  = placement.Millis(0.9)
	wayMore = 0.3
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
	now     placement.Millis
	events  timerqueue.Queue[event]
	parties []*resident
	byParty map[transport.FrameHandler]*resident
	rng     *rand.Rand
}

type eventKind uint8

const (
	evDo eventKind = iota
	evOpened
	evFrame
	evClosed
	evWake
)

type event struct {
	kind eventKind
	at   *resident
	c    transport.ConnID
	f    *pb.Frame
	do   func(now placement.Millis)
	wake uint64
	why  error
}

// resident is a party in the virtual network, and the net that it sees.
type resident struct {
	v     *Virtual
	no    int
	party transport.FrameHandler
	zone  string
	ends  []*end // by ConnID-1
	// The wake-up that counts, if there is one.
	wake   uint64
	wakeAt placement.Millis
	wakes  bool
}

// end is one side of a connection.
type end struct {
	at   *resident
	id   transport.ConnID
	peer *end
	open bool             // as far as this side is concerned
	last placement.Millis // arrival of the last frame that was sent from here
}

// NewVirtual makes an empty network.
func NewVirtual(seed uint64) *Virtual {
	return &Virtual{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), byParty: map[transport.FrameHandler]*resident{}}
}

// Now is the virtual time.
func (v *Virtual) Now() placement.Millis { return v.now }

func (v *Virtual) AddHandler(p transport.FrameHandler, zone string) (string, error) {
	r := &resident{v: v, no: len(v.parties), party: p, zone: zone}
	v.parties = append(v.parties, r)
	v.byParty[p] = r
	v.events.Push(v.now, event{kind: evDo, do: func(now placement.Millis) { p.Start(now, r) }})
	return fmt.Sprintf("virtual:%d", r.no), nil
}

func (v *Virtual) RunAt(_ transport.FrameHandler, at placement.Millis, do func(now placement.Millis)) {
	v.events.Push(max(at, v.now), event{kind: evDo, do: do})
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
	case evDo:
		e.do(v.now)
		return
	case evWake:
		if e.wake == e.at.wake {
			e.at.wakes = false
			e.at.party.Wake(v.now)
		}
		return
	}
	side := e.at.ends[e.c-1]
	if !side.open {
		return
	}
	switch e.kind {
	case evOpened:
		e.at.party.Opened(v.now, e.c)
	case evFrame:
		e.at.party.Received(v.now, e.c, e.f)
	case evClosed:
		side.open = false
		e.at.party.Closed(v.now, e.c, e.why)
	}
}

// way is how long something takes from one party to another.
func (v *Virtual) way(from, to *resident) placement.Millis {
	base := nearWay
	if from.zone != to.zone {
		base = farWay
	}
	return base * placement.Millis(1+wayMore*v.rng.Float64())
}

// send has something arrive at the other end, after all that was sent before it.
func (v *Virtual) send(from *end, e event) {
	to := from.peer
	from.last = max(from.last, v.now+v.way(from.at, to.at))
	e.at, e.c = to.at, to.id
	v.events.Push(from.last, e)
}

func (r *resident) newEnd() *end {
	e := &end{at: r, id: transport.ConnID(len(r.ends) + 1), open: true}
	r.ends = append(r.ends, e)
	return e
}

func (r *resident) Now() placement.Millis { return r.v.now }

func (r *resident) Dial(addr string) transport.ConnID {
	a := r.newEnd()
	var no int
	if _, err := fmt.Sscanf(addr, "virtual:%d", &no); err != nil || no < 0 || no >= len(r.v.parties) {
		r.v.events.Push(r.v.now, event{kind: evClosed, at: r, c: a.id, why: fmt.Errorf("no party at %s", addr)})
		return a.id
	}
	b := r.v.parties[no].newEnd()
	a.peer, b.peer = b, a
	r.v.send(a, event{kind: evOpened})
	b.last = a.last
	b.last = max(b.last, a.last) + r.v.way(b.at, a.at)
	r.v.events.Push(b.last, event{kind: evOpened, at: a.at, c: a.id})
	return a.id
}

func (r *resident) Send(c transport.ConnID, f *pb.Frame) {
	if e := r.ends[c-1]; e.open && e.peer != nil {
		r.v.send(e, event{kind: evFrame, f: f})
	}
}

func (r *resident) Close(c transport.ConnID) {
	e := r.ends[c-1]
	if !e.open {
		return
	}
	e.open = false
	if e.peer != nil {
		r.v.send(e, event{kind: evClosed, why: transport.ErrClosedByPeer})
	}
}

func (r *resident) WakeAt(t placement.Millis) {
	if t = max(t, r.v.now); r.wakes && t == r.wakeAt {
		return
	}
	r.wake++
	r.wakeAt, r.wakes = t, true
	r.v.events.Push(t, event{kind: evWake, at: r, wake: r.wake})
}
