package placement

import (
	"cmp"
	"slices"
)

// node is a node as this scheduler sees it.
type node struct {
	Node
	size            resources
	binds           []*bind // sent or placed, oldest first
	changes         changeLog
	reports         reportHistory
	rejections      rejectionLog
	failures        failureCount
	warmUpBinds     []Millis // when those counted against the warm-up budget arrived, or were sent
	listedAt        Millis
	lastHealthCheck Millis
	lastMigration   Millis
}

// runsService reports whether a workload of ours runs the service there, so that its program is installed.
func (n *node) runsService(id ServiceID) bool {
	return slices.ContainsFunc(n.binds, func(b *bind) bool {
		return b.state == bindRunning && b.workload.Service == id
	})
}

// nodeTable holds the nodes that the list names or that still matter to a decision.
type nodeTable struct {
	kinds  []NodeKind // by KindID
	sorted []*node    // by id
	byID   map[NodeID]*node
}

// get returns the node of that id and adds it where it is missing; one that no list named counts as removed.
func (t *nodeTable) get(id NodeID) *node {
	if n := t.byID[id]; n != nil {
		return n
	}
	n := &node{Node: Node{ID: id, State: Removed, StartedAt: DistantPast}}
	n.failures.last, n.lastHealthCheck, n.lastMigration = DistantPast, DistantPast, DistantPast
	t.byID[id] = n
	i, _ := slices.BinarySearchFunc(t.sorted, id, func(n *node, id NodeID) int { return cmp.Compare(n.ID, id) })
	t.sorted = slices.Insert(t.sorted, i, n)
	return n
}

// update takes entries of the list; a complete list removes all other nodes.
func (t *nodeTable) update(now Millis, complete bool, entries []Node) {
	if complete {
		for _, n := range t.sorted {
			n.State = Removed
		}
	}
	for _, entry := range entries {
		n := t.get(entry.ID)
		if entry.StartedAt != n.StartedAt { // a new incarnation
			n.reports, n.warmUpBinds, n.rejections, n.failures.consecutive = nil, nil, nil, 0
		}
		n.Node, n.listedAt, n.size = entry, now, resources{}
		if int(entry.Kind) < len(t.kinds) {
			n.size = resources(t.kinds[entry.Kind])
		}
	}
}

// prune drops what no longer matters. A list that lacks a node briefly must not renew its warm-up budget.
func (t *nodeTable) prune(now, warmUpWindow Millis) {
	for _, n := range t.sorted {
		n.changes = slices.DeleteFunc(n.changes, func(c change) bool { return c.at < now-reportMaxAge-reportLag })
		n.warmUpBinds = slices.DeleteFunc(n.warmUpBinds, func(at Millis) bool { return at < now-warmUpWindow })
	}
	t.sorted = slices.DeleteFunc(t.sorted, func(n *node) bool {
		unused := n.State == Removed && len(n.binds) == 0 && len(n.warmUpBinds) == 0
		if unused {
			delete(t.byID, n.ID)
		}
		return unused
	})
}

// subscription decides when to subscribe to the list's changes. It may break unnoticed, so it is renewed when
// quiet. Polls in step overload the list: first ones are spaced by ordinal, later ones by jitter and backoff.
type subscription struct {
	settings   *Settings
	random     *random
	renewAfter Millis
	nextPoll   Millis
	failures   int // in a row
}

func (s *subscription) start(now Millis) {
	ordinal, allocators := float64(s.settings.Ordinal), float64(s.settings.Allocators)
	s.nextPoll = now + min(firstPollSpacing*Millis(ordinal), s.renewAfter*Millis(ordinal/allocators))
}

// due reports whether to subscribe now, and then schedules the renewal.
func (s *subscription) due(now Millis) bool {
	if !s.settings.PolledDiscovery || now < s.nextPoll {
		return false
	}
	s.nextPoll = now + s.random.jitter(s.renewAfter)
	return true
}

// received takes an event, which shows that the subscription holds.
func (s *subscription) received(now Millis) {
	s.nextPoll, s.failures = now+s.random.jitter(s.renewAfter), 0
}

func (s *subscription) failed(now Millis) {
	s.nextPoll = now + s.random.jitter(pollBackoff*Millis(int(1)<<min(s.failures, maxPollDoublings)))
	s.failures++
}
