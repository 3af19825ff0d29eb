package native

import (
	"cmp"
	"maps"
	"slices"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// maxNodes limits the node table to half of the 16-bit number range of zones and cells.
const maxNodes = 1 << 15

// nodeStart is an incarnation of a node and when it was started.
type nodeStart struct {
	incarnation uint64
	startedAt   placement.Millis
}

// nodeTable holds the nodes in the order of their ids, and the numbers of their zones and cells. Unlike on the
// platform, ids and incarnations of nodes come from the protocol, and the reuse of an address by another node needs no
// special handling, since the hello contains the node id.
type nodeTable struct {
	sorted    []*node
	zones     numbering[placement.ZoneID]
	cells     numbering[placement.CellID]
	localZone string
	// removedStarts has the starts of nodes that were removed while warming up. A node that is listed again gets the
	// same start time; otherwise the placement module would treat its warm-up budget as unused.
	removedStarts map[placement.NodeID]nodeStart
	warmUp        placement.Millis // duration of the warm-up after a node's start, in ms
}

func newNodeTable(c Config) *nodeTable {
	return &nodeTable{
		zones:         newNumbering[placement.ZoneID](c.Zone),
		cells:         newNumbering[placement.CellID](""),
		localZone:     c.Zone,
		removedStarts: map[placement.NodeID]nodeStart{},
		warmUp:        c.Settings.WarmUpDuration,
	}
}

// search returns the index of the node in sorted, or its insertion index if it is not there.
func (t *nodeTable) search(id placement.NodeID) (index int, found bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(n *node, id placement.NodeID) int {
		return cmp.Compare(n.id, id)
	})
}

// count returns the number of nodes in the table.
func (t *nodeTable) count() int { return len(t.sorted) }

// get returns the node with the id, if it is in the table.
func (t *nodeTable) get(id placement.NodeID) (*node, bool) {
	i, found := t.search(id)
	if !found {
		return nil, false
	}
	return t.sorted[i], true
}

// incarnation returns a node's incarnation, or 0 if the node is not in the table.
func (t *nodeTable) incarnation(id placement.NodeID) uint64 {
	if n, found := t.get(id); found {
		return n.incarnation
	}
	return 0
}

// getOrAdd returns the node with the id. A new node gets the start time that it had before its removal, if its
// incarnation is unchanged. ok is false if the node is new and the table is full.
func (t *nodeTable) getOrAdd(id placement.NodeID, incarnation uint64) (n *node, ok bool) {
	i, found := t.search(id)
	if found {
		return t.sorted[i], true
	}
	if len(t.sorted) >= maxNodes {
		return nil, false
	}
	n = &node{id: id}
	if s, ok := t.removedStarts[id]; ok && s.incarnation == incarnation {
		n.incarnation = s.incarnation
		n.entry.StartedAt = s.startedAt
	}
	delete(t.removedStarts, id)
	t.sorted = slices.Insert(t.sorted, i, n)
	return n, true
}

// setEntry applies an entry from the discovery service. The cell name includes the zone: two zones may have cells with
// the same name, and a cell does not deduplicate an idempotency key that was used in another one.
func (t *nodeTable) setEntry(n *node, listed *pb.NodeEntry, kind placement.KindID) {
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

// markUnlistedRemoved sets the state of the nodes that are missing from a snapshot to removed.
func (t *nodeTable) markUnlistedRemoved(snapshot []*pb.NodeEntry) {
	listed := make(map[placement.NodeID]bool, len(snapshot))
	for _, e := range snapshot {
		listed[placement.NodeID(e.Id)] = true
	}
	for _, n := range t.sorted {
		if !listed[n.id] {
			n.entry.State = placement.Removed
		}
	}
}

// remove deletes nodes, and the numbers of zones and cells that have no other node. The local zone keeps its number.
func (t *nodeTable) remove(now placement.Millis, unlisted map[*node]bool) {
	for n := range unlisted { // the order does not matter: each node has its own entry
		if now-n.entry.StartedAt < t.warmUp {
			t.removedStarts[n.id] = nodeStart{n.incarnation, n.entry.StartedAt}
		}
	}
	maps.DeleteFunc(t.removedStarts, func(_ placement.NodeID, s nodeStart) bool { return now-s.startedAt >= t.warmUp })
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
