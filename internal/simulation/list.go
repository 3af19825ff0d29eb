package simulation

import (
	"maps"
	"math"
	"slices"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// callLines is the fixed cost of a call to the list, in lines.
const callLines = 40

// ListModel is how the machine list of a day behaves.
type ListModel struct {
	Ask         bool             // it answers only when asked; else it pushes changes to all
	Lag         placement.Millis // news is so old when the list knows it
	Every       placement.Millis // between pushes
	Notice      placement.Millis // until a node that is not heard of counts as gone
	LinesPerSec float64          // that it can send, where it is asked; 0 for no limit
	CallTimeout placement.Millis // a call that waits longer fails
}

// List is a stand-in for the machine list: nodes tell it of themselves, allocators read it.
type List struct {
	model  *ListModel
	epoch  uint64
	net    transport.FrameNetwork
	timers transport.Timers

	entries  map[uint32]*listed
	revision uint64
	readers  map[transport.ConnID]*reader
	nodes    map[transport.ConnID]uint32
	calls    []call
	busy     bool
	Slower   float64 // times fewer lines a second, while a fault lasts
	Later    placement.Millis
	stale    bool     // it takes no news
	missed   []func() // in what it did not take
	wrong    float64  // times the room that nodes told of, 0 for 1
	empty    bool     // it names no node
}

type listed struct {
	pb.NodeEntry
	since    placement.Millis // when up_for_ms was told
	revision uint64
	conn     transport.ConnID
}

type reader struct {
	hello    bool
	watching bool
	have     uint64
}

type call struct {
	from transport.ConnID
	c    *pb.ListCall
	at   placement.Millis
}

// NewList makes a list that knows no node yet.
func NewList(m *ListModel, epoch uint64) *List {
	return &List{
		model: m, epoch: epoch, entries: map[uint32]*listed{}, readers: map[transport.ConnID]*reader{},
		nodes: map[transport.ConnID]uint32{}, Slower: 1,
	}
}

func (l *List) Start(now placement.Millis, net transport.FrameNetwork) {
	l.net = net
	l.timers.Schedule(now+l.model.Every, l.push)
	l.wake()
}

func (l *List) wake() {
	if at, ok := l.timers.Next(); ok {
		l.net.WakeAt(at)
	}
}

func (l *List) Wake(now placement.Millis) {
	l.timers.RunDue(now)
	l.wake()
}

func (l *List) Opened(now placement.Millis, c transport.ConnID) { l.readers[c] = &reader{} }

func (l *List) Closed(now placement.Millis, c transport.ConnID, _ error) {
	delete(l.readers, c)
	if id, ok := l.nodes[c]; ok {
		delete(l.nodes, c)
		l.timers.Schedule(now+l.model.Notice, func(now placement.Millis) {
			l.hear(func() {
				if e := l.entries[id]; e != nil && e.conn == c {
					l.change(e, func() { e.State = pb.NodeEntry_GONE })
				}
			})
		})
	}
	l.wake()
}

func (l *List) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	r := l.readers[c]
	switch {
	case r == nil:
	case !r.hello:
		l.greet(now, c, r, f)
	case f.GetRegister() != nil:
		e := f.GetRegister()
		l.timers.Schedule(now+l.model.Lag+l.Later, func(placement.Millis) {
			l.hear(func() { l.register(now, c, e) })
		})
	case f.GetListCall() != nil:
		l.calls = append(l.calls, call{c, f.GetListCall(), now})
		l.serve(now)
	}
	l.wake()
}

func (l *List) greet(now placement.Millis, c transport.ConnID, r *reader, f *pb.Frame) {
	h, err := transport.CheckHello(f)
	switch {
	case err != nil:
		l.net.Send(c, transport.RefusalFrame(err.Error()))
		l.net.Close(c)
		delete(l.readers, c)
	case h.Role == pb.Role_NODE:
		r.hello = true
		l.nodes[c] = h.Node
	default:
		r.hello = true
		l.net.Send(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_LIST, Name: "list", Incarnation: l.epoch}))
		if !l.model.Ask {
			r.watching, r.have = true, l.revision
			l.net.Send(c, l.update(now, pb.ListUpdate_WHOLE, 0))
		}
	}
}

func (l *List) change(e *listed, how func()) {
	how()
	l.revision++
	e.revision = l.revision
}

// register takes what a node said of itself at that time.
func (l *List) register(at placement.Millis, c transport.ConnID, said *pb.NodeEntry) {
	e := l.entries[said.Id]
	if e == nil {
		e = &listed{}
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
func (l *List) update(now placement.Millis, k pb.ListUpdate_Kind, after uint64) *pb.Frame {
	u := &pb.ListUpdate{Kind: k, Epoch: l.epoch, Revision: l.revision}
	if l.empty {
		u.Kind = pb.ListUpdate_WHOLE
		return &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: u}}
	}
	room := 1.0
	if l.wrong > 0 {
		room = l.wrong
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
func (l *List) hear(news func()) {
	if l.stale {
		l.missed = append(l.missed, news)
		return
	}
	news()
}

// Stale has the list take no news, and go on telling what it knew; afterwards it takes all of it at once.
func (l *List) Stale(_ placement.Millis, stale bool) {
	l.stale = stale
	for _, news := range l.missed {
		news()
	}
	l.missed = nil
}

// Tell has the list tell other things than it knows: so many times the room there is, or that there is no node at
// all. Whoever watches is told at the next push.
func (l *List) Tell(_ placement.Millis, room float64, empty bool) {
	l.wrong, l.empty = room, empty
	l.revision++
	for _, e := range l.entries {
		e.revision = l.revision
	}
}

// push sends each watcher what it has not been sent; those that hold the same revision get the same frame.
func (l *List) push(now placement.Millis) {
	frames := map[uint64]*pb.Frame{}
	for _, c := range slices.Sorted(maps.Keys(l.readers)) {
		r := l.readers[c]
		if !r.watching || r.have == l.revision {
			continue
		}
		if frames[r.have] == nil {
			frames[r.have] = l.update(now, pb.ListUpdate_CHANGES, r.have)
		}
		l.net.Send(c, frames[r.have])
		r.have = l.revision
	}
	l.timers.Schedule(now+l.model.Every, l.push)
}

// serve answers calls in turn, as fast as the list can.
func (l *List) serve(now placement.Millis) {
	if l.busy || len(l.calls) == 0 {
		return
	}
	c := l.calls[0]
	l.calls = l.calls[1:]
	r := l.readers[c.from]
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
	if l.model.LinesPerSec > 0 {
		took = placement.Millis(math.Ceil(float64(callLines+len(f.GetListUpdate().Entries)) / l.model.LinesPerSec * 1000 * l.Slower))
	}
	if c.c.Watch {
		r.watching, r.have = true, l.revision
	}
	l.busy = true
	l.timers.Schedule(now+took, func(now placement.Millis) {
		l.busy = false
		l.net.Send(c.from, f)
		l.serve(now)
	})
}
