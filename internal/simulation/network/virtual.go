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

const (
	addressFormat = "virtual:%d" // an address, with the index of the endpoint
	// seedStream is the second half of the seed. Any constant works, but a change of it changes all runs.
	seedStream = 0x9e3779b97f4a7c15
)

// Host runs handlers: a Virtual network, or the event loop on sockets.
type Host interface {
	// AddHandler adds a handler and returns the address at which others reach it.
	AddHandler(handler transport.FrameHandler, zone string) (addr string, err error)
	// RunAt calls do on the handler's goroutine at the given time.
	RunAt(handler transport.FrameHandler, at placement.Millis, do func(now placement.Millis))
}

// Virtual is a network with a virtual clock. What happens in it depends on the seed and the handlers alone.
type Virtual struct {
	now       placement.Millis
	events    timerqueue.Queue[event]
	endpoints []*endpoint
	random    *rand.Rand // draws latencies
}

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventCall eventKind = iota
	eventOpened
	eventFrame
	eventClosed
	eventWake
)

// event is an entry of the event queue.
type event struct {
	kind   eventKind
	at     *endpoint                  // all kinds except eventCall
	conn   transport.ConnID           // eventOpened, eventFrame and eventClosed only
	frame  *pb.Frame                  // eventFrame only
	do     func(now placement.Millis) // eventCall only
	wakeID uint64                     // eventWake only
	reason error                      // eventClosed only
}

// NewVirtual returns an empty network at time 0.
func NewVirtual(seed uint64) *Virtual {
	return &Virtual{random: rand.New(rand.NewPCG(seed, seedStream))}
}

// Now returns the virtual time.
func (v *Virtual) Now() placement.Millis { return v.now }

// AddHandler implements Host.
func (v *Virtual) AddHandler(handler transport.FrameHandler, zone string) (string, error) {
	added := &endpoint{
		network: v,
		handler: handler,
		zone:    zone,
	}
	addr := fmt.Sprintf(addressFormat, len(v.endpoints))
	v.endpoints = append(v.endpoints, added)
	v.RunAt(handler, v.now, func(now placement.Millis) { handler.Start(now, added) })
	return addr, nil
}

// RunAt implements Host.
func (v *Virtual) RunAt(_ transport.FrameHandler, at placement.Millis, do func(now placement.Millis)) {
	v.events.Push(max(at, v.now), event{kind: eventCall, do: do})
}

// Run handles events up to a time and advances the clock to it, unless done returns true before.
func (v *Virtual) Run(until placement.Millis, done func() bool) {
	for {
		at, ok := v.events.NextTime()
		if !ok || at > until || done() {
			break
		}
		_, _, next := v.events.Pop()
		v.now = max(v.now, at)
		v.handle(next)
	}
	if !done() {
		v.now = max(v.now, until)
	}
}

func (v *Virtual) handle(e event) {
	switch e.kind {
	case eventCall:
		e.do(v.now)
	case eventWake:
		e.at.wake(e.wakeID)
	case eventOpened, eventFrame, eventClosed:
		e.at.handleConnectionEvent(e)
	}
}

// latency draws the latency of a frame from one endpoint to another.
func (v *Virtual) latency(from, to *endpoint) placement.Millis {
	base := sameZoneLatency
	if from.zone != to.zone {
		base = crossZoneLatency
	}
	return base * placement.Millis(1+latencyJitter*v.random.Float64())
}

// send schedules an event at the other end of a connection, after all events that were sent before it.
func (v *Virtual) send(from *connectionEnd, e event) {
	to := from.peer
	from.lastArrival = max(from.lastArrival, v.now+v.latency(from.at, to.at))
	e.at = to.at
	e.conn = to.id
	v.events.Push(from.lastArrival, e)
}

// findEndpoint returns the endpoint at an address, or nil.
func (v *Virtual) findEndpoint(addr string) *endpoint {
	var index int
	_, err := fmt.Sscanf(addr, addressFormat, &index)
	if err != nil || index < 0 || index >= len(v.endpoints) {
		return nil
	}
	return v.endpoints[index]
}
