package platform

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// maxUnlisted is the maximum number of unlisted nodes that handovers have named.
	maxUnlisted = 1024
	// maxRemovedNames is the number of names of removed nodes that are remembered. Nodes are replaced by ones with new
	// names, so that nothing runs on a removed one.
	maxRemovedNames = 1024
	// evictedUnlisted is the number of unlisted nodes that are removed at the limit.
	evictedUnlisted = maxUnlisted / 16
)

// nodeTable is the table of nodes, by id, name and address.
type nodeTable struct {
	byID    map[placement.NodeID]*node
	byName  map[string]*node
	byAddr  map[string]*node
	removed *recentMap[string, struct{}] // names of the nodes that the endpoint list has removed last
	added   map[*node]struct{}           // unlisted nodes: those named in a handover that are not in the endpoint list
}

func newNodeTable() *nodeTable {
	return &nodeTable{
		byID:    map[placement.NodeID]*node{},
		byName:  map[string]*node{},
		byAddr:  map[string]*node{},
		removed: newRecentMap[string, struct{}](maxRemovedNames),
		added:   map[*node]struct{}{},
	}
}

// get returns the node with the given id, or nil.
func (t *nodeTable) get(id placement.NodeID) *node { return t.byID[id] }

// contains reports whether the node is in the table.
func (t *nodeTable) contains(n *node) bool { return t.byID[n.id] == n }

// intern returns the node with the given name, and adds it if it is new. The id is a hash of the name, so that all
// allocators use the same id. If another node has that id, the next free id is used.
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

// addUnlisted returns the node that a client has named in a handover, and records that it is unlisted. It adds the node
// if it is new. The time is that of subscription.connectedTime.
func (t *nodeTable) addUnlisted(now placement.Millis, name string, client transport.ConnID) *node {
	n := t.intern(strings.Clone(name)) // a part of the client's message, which would be kept with it
	n.addedBy = client
	n.addedAt = now
	t.added[n] = struct{}{}
	return n
}

// isUnlisted reports whether the node was named in a handover and is not in the endpoint list.
func (t *nodeTable) isUnlisted(n *node) bool {
	_, unlisted := t.added[n]
	return unlisted
}

// markListed records that an endpoint list contains the node.
func (t *nodeTable) markListed(n *node) {
	n.listed = true
	if n.entry.State == placement.Removed {
		t.removed.add(n.name, struct{}{})
		return
	}
	t.removed.remove(n.name)
	delete(t.added, n)
}

// wasRemoved reports whether the name is that of a node that the endpoint list has removed lately.
func (t *nodeTable) wasRemoved(name string) bool {
	_, removed := t.removed.get(name)
	return removed
}

// unlisted returns the unlisted nodes in the order of their ids.
func (t *nodeTable) unlisted() []*node {
	nodes := make([]*node, 0, len(t.added))
	for n := range t.added {
		nodes = append(nodes, n)
	}
	sortByID(nodes)
	return nodes
}

// unlistedFull reports whether the limit of unlisted nodes is reached.
func (t *nodeTable) unlistedFull() bool { return len(t.added) >= maxUnlisted }

// unlistedEvictionOrder returns the evictedUnlisted nodes to remove at the limit: those of the connections that have
// named the most unlisted nodes.
func (t *nodeTable) unlistedEvictionOrder() []*node {
	bySource := map[transport.ConnID][]*node{}
	for _, n := range t.unlisted() {
		bySource[n.addedBy] = append(bySource[n.addedBy], n)
	}
	var order []*node
	for _, source := range largestFirst(bySource) {
		order = append(order, bySource[source]...)
	}
	return order[:min(len(order), evictedUnlisted)]
}

// assignAddr sets the address of a node. If another node had the address, that node loses it and is returned. For a
// removed node, assignAddr does nothing.
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

// removable reports whether a node can be removed from the table: its state is Removed, it has no workloads, and it is
// in the table.
func (t *nodeTable) removable(n *node) bool {
	return n.entry.State == placement.Removed && n.unused() && t.contains(n)
}

// silent returns the number of nodes that run workloads and do not respond.
func (t *nodeTable) silent() (count int) {
	for _, n := range t.byID {
		if n.check.silenceLogged {
			count++
		}
	}
	return count
}

// removables returns the nodes that can be removed, in the order of their ids.
func (t *nodeTable) removables() (nodes []*node) {
	for _, n := range t.byID {
		if t.removable(n) {
			nodes = append(nodes, n)
		}
	}
	sortByID(nodes)
	return nodes
}

// sortByID sorts nodes by their ids.
func sortByID(nodes []*node) {
	slices.SortFunc(nodes, func(x, y *node) int { return cmp.Compare(x.id, y.id) })
}

// remove removes a node from the table, and its address unless another node has taken it over.
func (t *nodeTable) remove(n *node) {
	delete(t.byID, n.id)
	delete(t.byName, n.name)
	delete(t.added, n)
	if t.byAddr[n.addr] == n {
		delete(t.byAddr, n.addr)
	}
}

// releasesPending reports whether a release waits for the connection to a reachable node.
func (t *nodeTable) releasesPending() bool {
	for _, n := range t.byID {
		if len(n.pendingReleases) > 0 && n.reachable() {
			return true
		}
	}
	return false
}
