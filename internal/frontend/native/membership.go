package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// membership applies the updates of the discovery service to the node table, dials listed nodes and removes unlisted
// ones.
type membership struct {
	*environment
	nodes       *nodeTable
	connections *connections
	catalog     *catalog
	sessions    *nodeSessions
}

// update applies a snapshot or a delta of the discovery service: to the node table, then to the engine, and then
// the nodes are dialed or removed.
func (m *membership) update(now placement.Millis, update *pb.NodeListUpdate) {
	m.counters.DiscoveryEntries += uint64(len(update.Entries))
	kind := placement.Delta
	if update.Kind == pb.NodeListUpdate_SNAPSHOT {
		kind = placement.Snapshot
		m.nodes.markUnlistedRemoved(update.Entries)
	}
	entries := make([]placement.Node, 0, len(update.Entries))
	var updated []*node
	for _, entry := range update.Entries {
		if n, ok := m.applyEntry(now, entry); ok {
			entries = append(entries, n.placementEntry())
			updated = append(updated, n)
		}
	}
	if excess := len(update.Entries) - len(updated); excess > 0 {
		m.log.Warn("node table full, nodes ignored", "nodes", m.nodes.count(), "ignored", excess)
	}
	m.host.Engine().UpdateNodes(now, kind, entries)
	for _, n := range updated {
		m.sessions.dial(now, n)
	}
	m.removeUnlisted(now)
}

// applyEntry applies one entry, and returns its node. ok is false if the node is new and the table is full.
func (m *membership) applyEntry(now placement.Millis, entry *pb.NodeEntry) (n *node, ok bool) {
	id := placement.NodeID(entry.Id)
	_, listed := m.nodes.get(id)
	n, ok = m.nodes.getOrAdd(id, entry.Incarnation)
	if !ok {
		return nil, false
	}
	n.updatedAt = now
	// An entry with an incarnation lower than the latest reported one is outdated. Applying it would undo a drain and
	// end a warm-up.
	if entry.Incarnation < n.incarnation {
		return n, true
	}
	n.setIncarnation(now, entry.Incarnation, entry.UpForMs)
	if n.address != entry.Address && n.session.state != sessionDisconnected {
		m.connections.disconnect(n.session.conn, errAddressChanged)
	}
	kind, configured := m.catalog.kindID(entry.Kind)
	if !configured && !listed {
		m.logUnknownKind(entry)
	}
	m.nodes.setEntry(n, entry, kind)
	return n, true
}

// logUnknownKind logs that a node has a kind that is not configured. It is called only for new nodes, so that updates
// of the node list do not repeat the message.
func (m *membership) logUnknownKind(entry *pb.NodeEntry) {
	m.log.Warn("node kind unknown, node gets no binds",
		"node", entry.Id, "kind", entry.Kind, "known", m.catalog.kindNames)
}

// removeUnlisted removes the nodes that the discovery service has removed and that are neither connected nor being
// dialed.
func (m *membership) removeUnlisted(now placement.Millis) {
	unlisted := map[*node]bool{}
	for _, n := range m.nodes.sorted {
		if n.entry.State == placement.Removed && n.session.state == sessionDisconnected {
			m.sessions.reportNodeLost(now, n)
			unlisted[n] = true
		}
	}
	m.nodes.remove(now, unlisted)
}
