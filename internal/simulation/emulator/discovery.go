package emulator

import (
	"maps"
	"math"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// callCost is the fixed cost of a call, in entries.
const callCost = 40

// DiscoveryService emulates the discovery service: nodes register with it, and allocators poll it or subscribe. Faults set its
// exported fields.
type DiscoveryService struct {
	model  *scenario.DiscoveryModel
	epoch  uint64
	net    transport.FrameNetwork
	timers transport.Timers

	entries        map[uint32]*nodeRecord
	revision       uint64
	subscribers    map[transport.ConnID]*subscriber
	nodes          map[transport.ConnID]uint32
	queue          []queuedCall
	busy           bool
	Slowdown       float64 // divides the entries a second
	ExtraLag       placement.Millis
	stale          bool     // registrations are deferred
	deferred       []func() // registrations
	capacityFactor float64  // multiplies free capacity, 0 for 1
	empty          bool     // it lists no nodes
}

type nodeRecord struct {
	pb.NodeEntry
	since    placement.Millis // when up_for_ms was told
	revision uint64
	conn     transport.ConnID
}

type subscriber struct {
	hello    bool
	watching bool
	revision uint64
}

type queuedCall struct {
	from transport.ConnID
	c    *pb.ListCall
	at   placement.Millis
}

// NewDiscoveryService returns a service that knows no nodes.
func NewDiscoveryService(m *scenario.DiscoveryModel, epoch uint64) *DiscoveryService {
	return &DiscoveryService{
		model: m, epoch: epoch, entries: map[uint32]*nodeRecord{}, subscribers: map[transport.ConnID]*subscriber{},
		nodes: map[transport.ConnID]uint32{}, Slowdown: 1,
	}
}

// Start implements transport.FrameHandler.
func (l *DiscoveryService) Start(now placement.Millis, net transport.FrameNetwork) {
	l.net = net
	l.timers.Schedule(now+l.model.PushInterval, l.push)
	l.wake()
}

func (l *DiscoveryService) wake() {
	if at, ok := l.timers.Next(); ok {
		l.net.WakeAt(at)
	}
}

// Wake implements transport.FrameHandler.
func (l *DiscoveryService) Wake(now placement.Millis) {
	l.timers.RunDue(now)
	l.wake()
}

// Opened implements transport.FrameHandler.
func (l *DiscoveryService) Opened(now placement.Millis, c transport.ConnID) {
	l.subscribers[c] = &subscriber{}
}

// Closed implements transport.FrameHandler.
func (l *DiscoveryService) Closed(now placement.Millis, c transport.ConnID, _ error) {
	delete(l.subscribers, c)
	if id, ok := l.nodes[c]; ok {
		delete(l.nodes, c)
		l.timers.Schedule(now+l.model.RemovalDelay, func(now placement.Millis) {
			l.applyOrDefer(func() {
				if e := l.entries[id]; e != nil && e.conn == c {
					l.change(e, func() { e.State = pb.NodeEntry_GONE })
				}
			})
		})
	}
	l.wake()
}

// Received implements transport.FrameHandler.
func (l *DiscoveryService) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	r := l.subscribers[c]
	switch {
	case r == nil:
	case !r.hello:
		l.handshake(now, c, r, f)
	case f.GetRegister() != nil:
		e := f.GetRegister()
		l.timers.Schedule(now+l.model.Lag+l.ExtraLag, func(placement.Millis) {
			l.applyOrDefer(func() { l.register(now, c, e) })
		})
	case f.GetListCall() != nil:
		l.queue = append(l.queue, queuedCall{c, f.GetListCall(), now})
		l.serve(now)
	}
	l.wake()
}

func (l *DiscoveryService) handshake(now placement.Millis, c transport.ConnID, r *subscriber, f *pb.Frame) {
	h, err := transport.CheckHello(f)
	switch {
	case err != nil:
		l.net.Send(c, transport.RefusalFrame(err.Error()))
		l.net.Close(c)
		delete(l.subscribers, c)
	case h.Role == pb.Role_NODE:
		r.hello = true
		l.nodes[c] = h.Node
	default:
		r.hello = true
		l.net.Send(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_LIST, Name: "list", Incarnation: l.epoch}))
		if !l.model.Polled {
			r.watching, r.revision = true, l.revision
			l.net.Send(c, l.update(now, pb.ListUpdate_WHOLE, 0))
		}
	}
}

func (l *DiscoveryService) change(e *nodeRecord, how func()) {
	how()
	l.revision++
	e.revision = l.revision
}

// register takes what a node said of itself at that time.
func (l *DiscoveryService) register(at placement.Millis, c transport.ConnID, said *pb.NodeEntry) {
	e := l.entries[said.Id]
	if e == nil {
		e = &nodeRecord{}
		l.entries[said.Id] = e
	}
	if said.Boot < e.Boot || e.Id != 0 && e.Boot == said.Boot && e.conn == c && e.State == said.State &&
		e.FreeCores == said.FreeCores && e.FreeMemory == said.FreeMemory {
		return
	}
	l.change(e, func() {
		e.Id, e.State, e.Kind, e.Zone, e.Cell = said.Id, said.State, said.Kind, said.Zone, said.Cell
		e.Boot, e.UpForMs, e.Address = said.Boot, said.UpForMs, said.Address
		e.FreeCores, e.FreeMemory = said.FreeCores, said.FreeMemory
		e.since, e.conn = at, c
	})
}

// update is what changed after a revision, or all that is not gone.
func (l *DiscoveryService) update(now placement.Millis, k pb.ListUpdate_Kind, after uint64) *pb.Frame {
	u := &pb.ListUpdate{Kind: k, Epoch: l.epoch, Revision: l.revision}
	if l.empty {
		u.Kind = pb.ListUpdate_WHOLE
		return &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: u}}
	}
	room := 1.0
	if l.capacityFactor > 0 {
		room = l.capacityFactor
	}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[id]
		if e.revision <= after || k == pb.ListUpdate_WHOLE && e.State == pb.NodeEntry_GONE {
			continue
		}
		up := e.UpForMs
		if up >= 0 {
			up += float64(now - e.since)
		}
		u.Entries = append(u.Entries, &pb.NodeEntry{
			Id: e.Id, State: e.State, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, Boot: e.Boot, UpForMs: up,
			FreeCores: e.FreeCores * room, FreeMemory: e.FreeMemory * room, Address: e.Address,
		})
	}
	return &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: u}}
}

// hear takes news, or keeps it until the list takes news again.
func (l *DiscoveryService) applyOrDefer(news func()) {
	if l.stale {
		l.deferred = append(l.deferred, news)
		return
	}
	news()
}

// SetStale stops the service from taking registrations, or has it take all that it has missed.
func (l *DiscoveryService) SetStale(_ placement.Millis, stale bool) {
	l.stale = stale
	for _, news := range l.deferred {
		news()
	}
	l.deferred = nil
}

// Misreport has the service multiply the free capacity of nodes, or list no nodes at all. Subscribers receive that with the next push.
func (l *DiscoveryService) Misreport(_ placement.Millis, room float64, empty bool) {
	l.capacityFactor, l.empty = room, empty
	l.revision++
	for _, e := range l.entries {
		e.revision = l.revision
	}
}

// push sends each watcher what it has not been sent; those that hold the same revision get the same frame.
func (l *DiscoveryService) push(now placement.Millis) {
	frames := map[uint64]*pb.Frame{}
	for _, c := range slices.Sorted(maps.Keys(l.subscribers)) {
		r := l.subscribers[c]
		if !r.watching || r.revision == l.revision {
			continue
		}
		if frames[r.revision] == nil {
			frames[r.revision] = l.update(now, pb.ListUpdate_CHANGES, r.revision)
		}
		l.net.Send(c, frames[r.revision])
		r.revision = l.revision
	}
	l.timers.Schedule(now+l.model.PushInterval, l.push)
}

// serve answers calls in turn, as fast as the list can.
func (l *DiscoveryService) serve(now placement.Millis) {
	if l.busy || len(l.queue) == 0 {
		return
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	r := l.subscribers[c.from]
	if r == nil {
		l.serve(now)
		return
	}
	if now-c.at > l.model.CallTimeout {
		l.net.Send(c.from, &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: &pb.ListUpdate{
			Kind: pb.ListUpdate_FAILED, Epoch: l.epoch, Reason: "the list is overrun",
		}}})
		l.serve(now)
		return
	}
	kind, after := pb.ListUpdate_CHANGES, c.c.Have
	if c.c.Epoch != l.epoch || !c.c.Watch || after > l.revision {
		kind, after = pb.ListUpdate_WHOLE, 0
	}
	f := l.update(now, kind, after)
	took := placement.Millis(0)
	if l.model.EntriesPerSecond > 0 {
		took = placement.Millis(math.Ceil(float64(callCost+len(f.GetListUpdate().Entries)) / l.model.EntriesPerSecond * 1000 * l.Slowdown))
	}
	if c.c.Watch {
		r.watching, r.revision = true, l.revision
	}
	l.busy = true
	l.timers.Schedule(now+took, func(now placement.Millis) {
		l.busy = false
		l.net.Send(c.from, f)
		l.serve(now)
	})
}
