// The node table holds the state of each node and decides when a node is removed from it.
//
// Inputs: node list messages, which may be late, cached, or briefly lack a node, and this allocator's binds.
//
// Cost of an error: a node that is removed too early gets a whole new warm-up budget when it is listed again, and is
// overloaded; a node that is removed too late costs memory, and time in every decision.

package placement

import (
	"cmp"
	"slices"
)

// node is the state of a node as observed by this scheduler.
type node struct {
	Node
	// size is the total resources of the node, according to its kind; zero for a kind that is not in the settings.
	size resources
	// binds are this allocator's binds to the node that are unanswered or placed, oldest first.
	binds []*bind
	// unanswered is the number of binds in state bindSent.
	unanswered int
	// changes are the recent changes of the resources that this allocator's workloads request on the node.
	changes changeLog
	// reports are the last load reports of the node.
	reports reportHistory
	// rejections are the last rejections of binds by the node.
	rejections rejectionLog
	// failures counts the consecutive failed contacts with the node.
	failures failureCount
	// warmUpBinds are the times of the binds that count against the warm-up budget: when a bind was sent or, if it may
	// have arrived later, when its result was received.
	warmUpBinds []Millis
	// listedAt is the time when the last entry of the node was received from the node list.
	listedAt Millis
	// lastHealthCheck is the time when a health check was last sent to the node.
	lastHealthCheck Millis
	// lastMigration is the time when a workload was last migrated off the node.
	lastMigration Millis
}

// nodeTable holds the listed nodes and those that may still affect a decision.
type nodeTable struct {
	kinds  []NodeKind // index: KindID
	sorted []*node    // order: ID
	byID   map[NodeID]*node
}

// getOrAdd returns the node with that ID. If it is not in the table, it is added with state Removed.
func (t *nodeTable) getOrAdd(id NodeID) *node {
	if existing := t.byID[id]; existing != nil {
		return existing
	}
	added := &node{
		Node: Node{
			ID:        id,
			State:     Removed,
			StartedAt: DistantPast,
		},
		failures:        failureCount{last: DistantPast},
		lastHealthCheck: DistantPast,
		lastMigration:   DistantPast,
	}
	t.byID[id] = added
	position, _ := slices.BinarySearchFunc(t.sorted, id, func(n *node, id NodeID) int { return cmp.Compare(n.ID, id) })
	t.sorted = slices.Insert(t.sorted, position, added)
	return added
}

// update applies entries of the node list. If the entries are complete, all other nodes become Removed; prune drops
// them later.
func (t *nodeTable) update(now Millis, complete bool, entries []Node) {
	if complete {
		for _, n := range t.sorted {
			n.State = Removed
		}
	}
	for _, entry := range entries {
		n := t.getOrAdd(entry.ID)
		if entry.StartedAt != n.StartedAt {
			n.clearIncarnationState()
		}
		n.Node = entry
		n.listedAt = now
		n.size = t.sizeOf(entry.Kind)
	}
}

// clearIncarnationState drops the observations of an incarnation that has ended.
func (n *node) clearIncarnationState() {
	n.reports = nil
	n.warmUpBinds = nil
	n.rejections = nil
	n.failures.consecutive = 0
}

// sizeOf returns the size of nodes of that kind, or zero for a kind that is not in the settings.
func (t *nodeTable) sizeOf(kind KindID) resources {
	if int(kind) >= len(t.kinds) {
		return resources{}
	}
	return resources(t.kinds[kind])
}

// prune drops the data that no decision depends on. It keeps a node with binds in the warm-up window even if it is not
// listed: the warm-up budget must not be renewed when the list lacks the node briefly.
func (t *nodeTable) prune(now, warmUpWindow Millis) {
	for _, n := range t.sorted {
		n.changes = slices.DeleteFunc(n.changes, func(c change) bool { return c.at < now-maxReportAge-reportLag })
		n.warmUpBinds = slices.DeleteFunc(n.warmUpBinds, func(at Millis) bool { return at < now-warmUpWindow })
	}
	t.sorted = slices.DeleteFunc(t.sorted, func(n *node) bool {
		if n.affectsDecisions() {
			return false
		}
		delete(t.byID, n.ID)
		return true
	})
}

// affectsDecisions reports whether a decision may depend on the state of n.
func (n *node) affectsDecisions() bool {
	return n.State != Removed || len(n.binds) > 0 || len(n.warmUpBinds) > 0
}
