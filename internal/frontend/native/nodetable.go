package native

import (
	"cmp"
	"maps"
	"slices"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// maxNodes is how many nodes are kept: under half of the numbers that zones and cells have.
const maxNodes = 1 << 15

// nodeStart is an incarnation of a node and when it was started.
type nodeStart struct {
	incarnation uint64
	startedAt   placement.Millis
}

// nodeTable holds the nodes in the order of their ids, and the numbers of their zones and cells. Unlike on the
// platform, the protocol gives nodes their ids and incarnations, and an address that another node takes over needs
// no care: the hello names the node.
type nodeTable struct {
	sorted    []*node
	zones     numbering[placement.ZoneID]
	cells     numbering[placement.CellID]
	localZone string
	// removed are the starts of nodes that were removed while warming up. One that is listed again has the start
	// time that was computed before, or the placement module would take its warm-up budget for unused.
	removed map[placement.NodeID]nodeStart
	warmUp  placement.Millis // how long a node is warming up after its start, in ms
}

func newNodeTable(c Config) *nodeTable {
	return &nodeTable{
		zones:     newNumbering[placement.ZoneID](c.Zone),
		cells:     newNumbering[placement.CellID](""),
		localZone: c.Zone,
		removed:   map[placement.NodeID]nodeStart{},
		warmUp:    c.Settings.WarmUpDuration,
	}
}

// search returns where the node of that id is or would be in sorted, and whether it is there.
func (t *nodeTable) search(id placement.NodeID) (index int, known bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(n *node, id placement.NodeID) int {
		return cmp.Compare(n.id, id)
	})
}

// count returns the number of known nodes.
func (t *nodeTable) count() int { return len(t.sorted) }

// get returns the node of that id, if it is known.
func (t *nodeTable) get(id placement.NodeID) (*node, bool) {
	i, known := t.search(id)
	if !known {
		return nil, false
	}
	return t.sorted[i], true
}

// incarnation returns a node's incarnation, 0 if the node is not known.
func (t *nodeTable) incarnation(id placement.NodeID) uint64 {
	if n, known := t.get(id); known {
		return n.incarnation
	}
	return 0
}

// getOrAdd returns the node of that id. A new one has the start time that it had before it was removed, if it is
// the same incarnation still. It is not ok where the table is full.
func (t *nodeTable) getOrAdd(id placement.NodeID, incarnation uint64) (n *node, ok bool) {
	i, known := t.search(id)
	if known {
		return t.sorted[i], true
	}
	if len(t.sorted) >= maxNodes {
		return nil, false
	}
	n = &node{id: id}
	if s, ok := t.removed[id]; ok && s.incarnation == incarnation {
		n.incarnation = s.incarnation
		n.entry.StartedAt = s.startedAt
	}
	delete(t.removed, id)
	t.sorted = slices.Insert(t.sorted, i, n)
	return n, true
}

// describe applies an entry of the discovery service. Cells are distinguished by their zone too: two zones may each
// have a cell of one name, and an idempotency key that is known in one of them is not known in the other.
func (t *nodeTable) describe(n *node, listed *pb.NodeEntry, kind placement.KindID) {
	n.listing = listing{
		kind:    listed.Kind,
		zone:    listed.Zone,
		cell:    listed.Zone + "/" + listed.Cell,
		address: listed.Address,
	}
	n.entry = placement.Node{
		ID:         n.id,
		State:      nodeStateOf(listed.State),
		Kind:       kind,
		Zone:       t.zones.number(n.zone),
		Cell:       t.cells.number(n.cell),
		StartedAt:  n.entry.StartedAt,
		FreeCores:  listed.FreeCores,
		FreeMemory: listed.FreeMemory,
	}
}

// markMissing marks the nodes that a snapshot does not name as removed.
func (t *nodeTable) markMissing(snapshot []*pb.NodeEntry) {
	named := make(map[placement.NodeID]bool, len(snapshot))
	for _, e := range snapshot {
		named[placement.NodeID(e.Id)] = true
	}
	for _, n := range t.sorted {
		if !named[n.id] {
			n.entry.State = placement.Removed
		}
	}
}

// remove forgets nodes, and the names of zones and cells that no other node has.
func (t *nodeTable) remove(now placement.Millis, unlisted map[*node]bool) {
	for n := range unlisted { // in any order: each has an entry of its own
		if now-n.entry.StartedAt < t.warmUp {
			t.removed[n.id] = nodeStart{n.incarnation, n.entry.StartedAt}
		}
	}
	maps.DeleteFunc(t.removed, func(_ placement.NodeID, s nodeStart) bool { return now-s.startedAt >= t.warmUp })
	if len(unlisted) == 0 {
		return
	}
	t.sorted = slices.DeleteFunc(t.sorted, func(n *node) bool { return unlisted[n] })
	zones := map[string]bool{t.localZone: true}
	cells := map[string]bool{}
	for _, n := range t.sorted {
		zones[n.zone] = true
		cells[n.cell] = true
	}
	t.zones.retain(zones)
	t.cells.retain(cells)
}
