package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// membership applies the updates of the discovery service to the node table, and has nodes dialled and removed.
type membership struct {
	*core
	table       *nodeTable
	sessions    *nodeSessions
	connections *connections
	catalog     *catalog
}

// update takes over a snapshot or changes of the discovery service: into the node table, then to the engine, and then the
// nodes are dialled or removed.
func (m *membership) update(now placement.Millis, u *pb.NodeListUpdate) {
	m.counters.DiscoveryEntries += uint64(len(u.Entries))
	kind := placement.Delta
	if u.Kind == pb.NodeListUpdate_SNAPSHOT {
		kind = placement.Snapshot
		m.table.markMissing(u.Entries)
	}
	entries := make([]placement.Node, 0, len(u.Entries))
	var updated []*node
	for _, e := range u.Entries {
		if n, ok := m.enter(now, e); ok {
			entries = append(entries, n.placementEntry())
			updated = append(updated, n)
		}
	}
	if excess := len(u.Entries) - len(updated); excess > 0 {
		m.log.Warn("node table full, nodes ignored", "nodes", m.table.count(), "ignored", excess)
	}
	m.Engine().UpdateNodes(now, kind, entries)
	for _, n := range updated {
		m.sessions.dial(now, n)
	}
	m.removeGone(now)
}

// enter takes over one entry. It is not ok where the node table is full.
func (m *membership) enter(now placement.Millis, e *pb.NodeEntry) (n *node, ok bool) {
	id := placement.NodeID(e.Id)
	_, known := m.table.get(id)
	n, ok = m.table.getOrAdd(id, e.Incarnation)
	if !ok {
		return nil, false
	}
	n.updatedAt = now
	// An entry of an earlier incarnation than the node itself has named is late. Taking it over would undo a drain, and
	// end a warm-up.
	if e.Incarnation < n.incarnation {
		return n, true
	}
	n.setIncarnation(now, e.Incarnation, e.UpForMs)
	if n.address != e.Address && n.session.state != sessionDisconnected {
		m.connections.disconnect(n.session.conn, errAddressChanged)
	}
	kind, configured := m.catalog.kindID(e.Kind)
	if !configured && !known {
		m.log.Warn("node kind unknown, node gets no binds", "node", id, "kind", e.Kind, "known", m.catalog.kindNames)
	}
	m.table.describe(n, e, kind)
	return n, true
}

// removeGone forgets the nodes that the discovery service has removed and that are not connected.
func (m *membership) removeGone(now placement.Millis) {
	gone := map[*node]bool{}
	for _, n := range m.table.sorted {
		if n.entry.State == placement.Removed && n.session.state == sessionDisconnected {
			m.sessions.lost(now, n)
			gone[n] = true
		}
	}
	m.table.remove(now, gone)
}
