package platform

import (
	"hash/fnv"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// node is a node that the discovery service or a client has named.
type node struct {
	id        placement.NodeID
	name      string
	addr      string                             // empty if none is known or another node has it now
	entry     placement.Node                     // of the endpoint list, as the engine knows it
	listed    bool                               // the endpoint list has named it
	workloads map[placement.WorkloadID]*workload // bound to it or running there

	conn            *nodeConn    // that new offers take: dialing or open; nil without one
	waiters         []connWaiter // for the connection to open
	pendingReleases []codec.Tag  // releases that wait for the connection
	dialing         dialHistory
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

// serveWaiters passes the connection to all waiters.
func (n *node) serveWaiters(c *nodeConn) {
	waiters := n.waiters
	n.waiters = nil
	for _, waiter := range waiters {
		waiter.connected(c)
	}
}

// failWaiters reports to all waiters that there is no connection.
func (n *node) failWaiters() {
	waiters := n.waiters
	n.waiters = nil
	for _, waiter := range waiters {
		waiter.unreachable()
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

// intern returns the node of that name, and adds it if it is new. The id is a hash of the name, so that all allocators
// use the same.
func (t *nodeTable) intern(name string) *node {
	if n := t.byName[name]; n != nil {
		return n
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := placement.NodeID(hash.Sum32())
	for t.byID[id] != nil {
		id++
	}
	n := &node{
		id:        id,
		name:      name,
		workloads: map[placement.WorkloadID]*workload{},
		entry: placement.Node{
			ID:        id,
			State:     placement.Removed,
			StartedAt: placement.DistantPast,
		},
	}
	t.byID[id] = n
	t.byName[name] = n
	return n
}

// assignAddr sets the address of a node, and returns another node that had it before, or nil. A removed node gets none.
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

// removable reports whether a node is no longer listed and has no workloads, and was not removed before.
func (t *nodeTable) removable(n *node) bool {
	return n.entry.State == placement.Removed && len(n.workloads) == 0 && t.holds(n)
}

// remove removes a node, and its address unless another node has it now.
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
