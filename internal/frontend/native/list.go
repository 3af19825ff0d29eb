package native

import (
	"errors"
	"maps"
	"slices"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// listLink is the connection to the machine list and what was heard on it.
type listLink struct {
	conn    transport.ConnID
	ready   bool
	wanted  bool // a call waits for the connection
	out     bool // a call waits for its answer
	fails   int
	epoch   uint64
	have    uint64 // revision
	refused string
}

func (p *Frontend) dialList(now placement.Millis) {
	if p.c.DiscoveryAddress == "" {
		return
	}
	p.list.conn = p.net.Dial(p.c.DiscoveryAddress)
	c := p.list.conn
	p.timers.Schedule(now+helloWithin, func(placement.Millis) {
		if p.list.conn == c && !p.list.ready {
			p.drop(c, errors.New("no hello came in time"))
		}
	})
}

func (p *Frontend) listClosed(now placement.Millis, reason error) {
	p.log.Warn("no connection to the machine list", "address", p.c.DiscoveryAddress, "why", reason)
	failed := p.list.out || p.list.wanted
	p.list.conn, p.list.ready, p.list.out, p.list.wanted = 0, false, false, false
	if failed {
		p.engine.UpdateNodes(now, placement.PollFailed, nil)
	}
	pause := min(redialMost, redialFirst*placement.Millis(int(1)<<min(p.list.fails, 10)))
	p.list.fails++
	p.timers.Schedule(now+p.jitter(pause), p.dialList)
}

// watchList asks for what changed since the last news, and to be told from then on.
func (p *Frontend) watchList() {
	if !p.list.ready {
		p.list.wanted = true
		return
	}
	p.Counters.DiscoveryCalls++
	p.list.wanted, p.list.out = false, true
	p.net.Send(p.list.conn, &pb.Frame{Body: &pb.Frame_ListCall{ListCall: &pb.ListCall{
		Watch: true, Epoch: p.list.epoch, Have: p.list.have,
	}}})
}

func (p *Frontend) fromList(now placement.Millis, f *pb.Frame) {
	if !p.list.ready {
		h, refusal := transport.CheckHello(f)
		if refusal == "" && h.Role != pb.Role_LIST {
			refusal = "no machine list answers at its address"
		}
		if refusal != "" {
			p.list.refused = refusal
			p.drop(p.list.conn, errors.New(refusal))
			return
		}
		p.list.ready, p.list.fails = true, 0
		if p.list.wanted {
			p.watchList()
		}
		return
	}
	u := f.GetListUpdate()
	if u == nil {
		return
	}
	if u.Kind == pb.ListUpdate_FAILED {
		p.list.out = false
		p.engine.UpdateNodes(now, placement.PollFailed, nil)
		return
	}
	p.list.out = false
	switch whole := u.Kind == pb.ListUpdate_WHOLE; {
	case u.Epoch != p.list.epoch && !whole:
		// Changes of a list that started anew mean nothing on top of what the old one said.
		p.list.have = 0
		p.watchList()
		return
	case u.Epoch == p.list.epoch && u.Revision < p.list.have:
		return // an answer older than one already seen
	case u.Epoch == p.list.epoch && u.Revision == p.list.have && !whole:
		p.engine.UpdateNodes(now, placement.Delta, nil) // no news is news too: the watch stands
		return
	}
	p.list.epoch, p.list.have = u.Epoch, u.Revision
	if p.tap != nil {
		p.tap.RecordListRevision(now, u.Epoch, u.Revision)
	}
	p.listed(now, u)
}

// listed takes entries into our own book of nodes, then to the engine, then to the connections.
func (p *Frontend) listed(now placement.Millis, u *pb.ListUpdate) {
	p.Counters.DiscoveryEntries += uint64(len(u.Entries))
	kind := placement.Delta
	if u.Kind == pb.ListUpdate_WHOLE {
		kind = placement.Snapshot
		named := make(map[placement.NodeID]bool, len(u.Entries))
		for _, e := range u.Entries {
			named[placement.NodeID(e.Id)] = true
		}
		for _, n := range p.nodes {
			if !named[n.id] {
				n.entry.State = placement.Removed
			}
		}
	}
	nodes := make([]placement.Node, 0, len(u.Entries))
	var touched []*node
	over := 0
	for _, e := range u.Entries {
		n := p.enter(now, e)
		if n == nil {
			over++
			continue
		}
		nodes = append(nodes, n.told())
		touched = append(touched, n)
	}
	if over > 0 {
		p.log.Warn("the list names more nodes than are kept; the others stay unused", "kept", len(p.nodes), "passed over", over)
	}
	p.engine.UpdateNodes(now, kind, nodes)
	for _, n := range touched {
		p.dial(now, n)
	}
	before := len(p.nodes)
	p.nodes = slices.DeleteFunc(p.nodes, func(n *node) bool {
		if n.entry.State != placement.Removed || n.ready || n.dialling {
			return false
		}
		p.lost(now, n)
		if now-n.entry.StartedAt < p.c.Settings.WarmUpDuration {
			p.starts[n.id] = start{n.boot, n.entry.StartedAt}
		}
		return true
	})
	maps.DeleteFunc(p.starts, func(_ placement.NodeID, s start) bool { return now-s.born >= p.c.Settings.WarmUpDuration })
	if len(p.nodes) < before {
		zones, cells := map[string]bool{p.c.Zone: true}, map[string]bool{}
		for _, n := range p.nodes {
			zones[n.zone], cells[n.cell] = true, true
		}
		p.zones.keep(zones)
		p.cells.keep(cells)
	}
}

// enter writes a list entry into the book. It returns nil where the book is full.
func (p *Frontend) enter(now placement.Millis, e *pb.NodeEntry) *node {
	id := placement.NodeID(e.Id)
	i, known := p.find(id)
	if !known && len(p.nodes) >= mostNodes {
		return nil
	}
	if !known {
		n := &node{id: id}
		// One that the list named before, and named again: its start is the one that was worked out then, or the module
		// would take it for another life and its cold budget for untouched.
		if s, ok := p.starts[id]; ok && s.boot == e.Boot {
			n.boot, n.entry.StartedAt = s.boot, s.born
		}
		delete(p.starts, id)
		p.nodes = slices.Insert(p.nodes, i, n)
	}
	n := p.nodes[i]
	n.listed = now
	// News of an earlier life than one that the node itself has told of is late. Taken for new it undid a drain that
	// had been heard since, and made a cold node warm.
	if e.Boot < n.boot {
		return n
	}
	n.starts(now, e.Boot, e.UpForMs)
	if n.addr != e.Address && n.conn != 0 {
		p.drop(n.conn, errors.New("the list names another address"))
	}
	// Cells are told apart by their zone too: two halls may each have a rack 1, and a mark that one of them knows is
	// not known in the other.
	n.addr, n.zone, n.cell, n.kind = e.Address, e.Zone, e.Zone+"/"+e.Cell, e.Kind
	kind := slices.Index(p.c.Kinds, e.Kind)
	if kind < 0 && !known {
		p.log.Warn("node is of no known kind and stays unused", "node", id, "kind", e.Kind, "known", p.c.Kinds)
	}
	if kind < 0 {
		kind = len(p.c.Kinds)
	}
	n.entry = placement.Node{
		ID: id, State: stateOf(e.State), Kind: placement.KindID(kind), Zone: p.zones.number(e.Zone),
		Cell: p.cells.number(n.cell), StartedAt: n.entry.StartedAt, FreeCores: e.FreeCores, FreeMemory: e.FreeMemory,
	}
	return n
}

// starts takes when a node started. That is worked out once for each start: the way here differs from news to
// news, and is no restart.
func (n *node) starts(now placement.Millis, boot uint64, upFor float64) {
	if n.boot == boot {
		return
	}
	n.boot, n.entry.StartedAt, n.draining = boot, placement.DistantPast, false
	if upFor >= 0 {
		n.entry.StartedAt = now - placement.Millis(upFor)
	}
}

func stateOf(s pb.NodeEntry_State) placement.NodeState {
	switch s {
	case pb.NodeEntry_READY:
		return placement.Ready
	case pb.NodeEntry_DRAINING:
		return placement.Draining
	}
	return placement.Removed
}

// numbers give each name a number of its own, in the order in which they are met. There are never more names than
// nodes are kept, and so fewer than numbers; a number that is free again is the last to be given out, so that what still
// remembers it for a moment has forgotten it by then.
type numbers[T ~uint16] struct {
	of   map[string]T
	used map[T]bool
	next T
}

func newNumbers[T ~uint16](first string) numbers[T] {
	return numbers[T]{of: map[string]T{first: 0}, used: map[T]bool{0: true}, next: 1}
}

func (n *numbers[T]) number(name string) T {
	no, ok := n.of[name]
	if !ok {
		for n.used[n.next] {
			n.next++
		}
		no = n.next
		n.of[name], n.used[no] = no, true
		n.next++
	}
	return no
}

// keep forgets all names but these.
func (n *numbers[T]) keep(names map[string]bool) {
	for name, no := range n.of {
		if !names[name] {
			delete(n.of, name)
			delete(n.used, no)
		}
	}
}
