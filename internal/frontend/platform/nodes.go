package platform

import (
	"hash/fnv"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// node is a node as the platform names it.
type node struct {
	id        placement.NodeID
	name      string
	addr      string // empty if none is known or another node has it now
	entry     placement.Node
	listed    bool                               // the list of nodes has named it
	workloads map[placement.WorkloadID]*workload // bound to it or running there

	conn            *nodeConn    // that new offers take: dialing or open; nil without one
	waiters         []connWaiter // for the connection to open
	pendingReleases []codec.Tag  // releases that wait for the connection
	dialing         dialHistory
}

// dialHistory decides when a node is dialed again.
type dialHistory struct {
	failures     int              // in a row
	refusing     bool             // the last connections were refused
	refusedSince placement.Millis // if refusing: when the first of these connections was refused
	scheduled    bool             // a timer dials it
	evicted      bool             // its connection was evicted; until a timer resets this, it is dialed only to send something
}

// connWaiter waits for a connection to a node. Exactly one of its methods is called.
type connWaiter interface {
	connected(c *nodeConn)
	unreachable()
}

// reachable reports whether there is an address to dial.
func (n *node) reachable() bool { return n.addr != "" && n.entry.State != placement.Removed }

// needed reports whether there is something to send to the node or to receive from it.
func (n *node) needed() bool {
	return len(n.workloads) > 0 || len(n.pendingReleases) > 0 || len(n.waiters) > 0
}

// openConn returns the connection that new offers take, if it is open, or nil.
func (n *node) openConn() *nodeConn {
	if n.conn != nil && n.conn.state == connOpen {
		return n.conn
	}
	return nil
}

// failWaiters ends all waiting for a connection without one.
func (n *node) failWaiters() {
	waiters := n.waiters
	n.waiters = nil
	for _, w := range waiters {
		w.unreachable()
	}
}

// nodeTable holds the nodes that the discovery service or a client has named.
type nodeTable struct {
	byID   map[placement.NodeID]*node
	byName map[string]*node
	byAddr map[string]*node
}

func newNodeTable() *nodeTable {
	return &nodeTable{
		byID:   map[placement.NodeID]*node{},
		byName: map[string]*node{},
		byAddr: map[string]*node{},
	}
}

// get returns the node of that id, or nil.
func (t *nodeTable) get(id placement.NodeID) *node { return t.byID[id] }

// holds reports whether the node has not been removed.
func (t *nodeTable) holds(n *node) bool { return t.byID[n.id] == n }

// intern returns the node of that name, and makes it if it is new. Its id depends on its name alone, so that all
// allocators know it by the same.
func (t *nodeTable) intern(name string) *node {
	if n := t.byName[name]; n != nil {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := placement.NodeID(h.Sum32())
	for t.byID[id] != nil {
		id++
	}
	n := &node{
		id:        id,
		name:      name,
		workloads: map[placement.WorkloadID]*workload{},
	}
	n.entry = placement.Node{
		ID:        id,
		State:     placement.Removed,
		StartedAt: placement.DistantPast,
	}
	t.byID[id] = n
	t.byName[name] = n
	return n
}

// assignAddr gives a node its address, and returns the node that had it before, or nil. A node that has gone gets none.
func (t *nodeTable) assignAddr(n *node, addr string) (displaced *node) {
	if n.entry.State == placement.Removed {
		return nil
	}
	if t.byAddr[n.addr] == n {
		delete(t.byAddr, n.addr)
	}
	displaced = t.byAddr[addr]
	n.addr = addr
	t.byAddr[addr] = n
	if displaced == nil || displaced == n {
		return nil
	}
	displaced.addr = ""
	return displaced
}

// removable reports whether a node is gone and has no workloads.
func (t *nodeTable) removable(n *node) bool {
	return n.entry.State == placement.Removed && len(n.workloads) == 0 && t.holds(n)
}

func (t *nodeTable) remove(n *node) {
	delete(t.byID, n.id)
	delete(t.byName, n.name)
	if t.byAddr[n.addr] == n {
		delete(t.byAddr, n.addr)
	}
}

// releasesPending reports whether a release waits for the connection to a node that can be reached.
func (t *nodeTable) releasesPending() bool {
	for _, n := range t.byID {
		if len(n.pendingReleases) > 0 && n.reachable() {
			return true
		}
	}
	return false
}
