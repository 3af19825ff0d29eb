// The node table holds what is known of each node, and decides when a node may be forgotten.
//
// Observed: the messages of the node list, which may be late, cached, or lack a node for a moment, and our own binds.
//
// Cost of an error: a node that is forgotten too early gets a whole new warm-up budget when it is listed again,
// and is overloaded; one that is kept too long costs memory and time in every decision.

package placement

import (
	"cmp"
	"slices"
)

// node is a node as this scheduler sees it.
type node struct {
	Node
	// size is all that the node has, by its kind; zero for a kind that the settings lack.
	size resources
	// binds are our binds that are sent or placed there, oldest first.
	binds []*bind
	// unanswered is how many of binds are sent and not answered yet.
	unanswered int
	// changes are the recent steps in what our workloads request of it.
	changes changeLog
	// reports are its last load reports.
	reports reportHistory
	// rejections are the last binds that it rejected.
	rejections rejectionLog
	// failures counts the failed contacts with it.
	failures failureCount
	// warmUpBinds are when the binds that count against its warm-up budget arrived, or were sent.
	warmUpBinds []Millis
	// listedAt is when its last entry of the node list came.
	listedAt Millis
	// lastHealthCheck is when a health check was last sent to it.
	lastHealthCheck Millis
	// lastMigration is when a workload was last moved off it.
	lastMigration Millis
}

// nodeTable holds the nodes that the list names or that still matter to a decision.
type nodeTable struct {
	kinds  []NodeKind // by KindID
	sorted []*node    // by id
	byID   map[NodeID]*node
}

// getOrAdd returns the node of that id and adds it where it is missing; one that no list named counts as removed.
func (t *nodeTable) getOrAdd(id NodeID) *node {
	if known := t.byID[id]; known != nil {
		return known
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

// update takes entries of the list. A complete list has all others count as removed; prune forgets them.
func (t *nodeTable) update(now Millis, complete bool, entries []Node) {
	if complete {
		for _, n := range t.sorted {
			n.State = Removed
		}
	}
	for _, entry := range entries {
		n := t.getOrAdd(entry.ID)
		if entry.StartedAt != n.StartedAt {
			n.forgetIncarnation()
		}
		n.Node = entry
		n.listedAt = now
		n.size = t.sizeOf(entry.Kind)
	}
}

// forgetIncarnation drops what was observed of an incarnation that has ended.
func (n *node) forgetIncarnation() {
	n.reports = nil
	n.warmUpBinds = nil
	n.rejections = nil
	n.failures.consecutive = 0
}

// sizeOf returns the size of nodes of that kind, or zero for a kind that the settings lack.
func (t *nodeTable) sizeOf(kind KindID) resources {
	if int(kind) >= len(t.kinds) {
		return resources{}
	}
	return resources(t.kinds[kind])
}

// prune drops what no longer matters. A list that lacks a node briefly must not renew its warm-up budget.
func (t *nodeTable) prune(now, warmUpWindow Millis) {
	for _, n := range t.sorted {
		n.changes = slices.DeleteFunc(n.changes, func(c change) bool { return c.at < now-reportMaxAge-reportLag })
		n.warmUpBinds = slices.DeleteFunc(n.warmUpBinds, func(at Millis) bool { return at < now-warmUpWindow })
	}
	t.sorted = slices.DeleteFunc(t.sorted, func(n *node) bool {
		if n.stillMatters() {
			return false
		}
		delete(t.byID, n.ID)
		return true
	})
}

// stillMatters reports whether a decision may depend on n.
func (n *node) stillMatters() bool {
	return n.State != Removed || len(n.binds) > 0 || len(n.warmUpBinds) > 0
}
