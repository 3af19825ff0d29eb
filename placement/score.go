// Score selects one of the feasible nodes for a workload.
//
// Inputs: which nodes already run the service, the load that each node would have with the workload, and the free
// capacity according to the node list.
//
// Nodes that run the service are preferred, because its program is installed there, and among them those that would
// give the workload full service. The least loaded of the preferred nodes is selected; ties are broken at random.
//
// If no feasible node runs the service according to this allocator's binds, allocators that select a node independently
// would start the service on as many nodes as there are allocators. Therefore all allocators compute the same rank of
// each node for the service, and later allocators find the program already installed on the node. Of the two
// highest-ranked nodes, the one with more free capacity is selected.
//
// Cost of an error: a start on a node without the program is slower; an overloaded node slows all workloads on it.

package placement

import (
	"cmp"
	"slices"
)

// candidate is a feasible node.
type candidate struct {
	node *node
	load utilization // load of the node with the workload added
}

// candidates are the feasible nodes for a workload, each list ordered by node ID.
type candidates struct {
	running []candidate // nodes that already run the workload's service
	others  []candidate // all other feasible nodes
}

// best returns the selected node, or nil if there is no candidate. A sole allocator selects the first node of a service
// by load, since it has no other allocators to agree with. best may overwrite the candidates.
func (c *candidates) best(pending *workload, soleAllocator bool, rng *random) *node {
	switch {
	case len(c.running) > 0:
		return leastLoaded(fullServiceIfAny(pending, c.running), rng)
	case len(c.others) == 0:
		return nil
	case soleAllocator:
		return leastLoaded(c.others, rng)
	}
	return highestRanked(pending, c.others)
}

// fullServiceIfAny returns the nodes that would give the workload full service, or all nodes if there are none.
func fullServiceIfAny(pending *workload, nodes []candidate) []candidate {
	fullService := slices.DeleteFunc(slices.Clone(nodes), func(c candidate) bool {
		return c.load > pending.group.fullServiceLoad
	})
	if len(fullService) == 0 {
		return nodes
	}
	return fullService
}

// leastLoaded returns a random node among those whose load is within loadTieBand of the least load. It overwrites
// nodes.
func leastLoaded(nodes []candidate, rng *random) *node {
	least := slices.MinFunc(nodes, func(x, y candidate) int { return cmp.Compare(x.load, y.load) }).load
	ties := slices.DeleteFunc(nodes, func(c candidate) bool { return c.load > least+loadTieBand })
	return ties[rng.intn(len(ties))].node
}

// highestRanked returns, of the two highest-ranked nodes, the one whose free capacity fits more workloads of this size.
// Allocators with the same candidates and node list select the same node. It does not sort the nodes: on a large fleet,
// sorting dominates the cost of a decision.
func highestRanked(pending *workload, nodes []candidate) *node {
	var first, second *node
	var firstRank, secondRank uint64
	for _, c := range nodes {
		rank := rankFor(pending.Service, c.node.ID)
		switch {
		case first == nil || rank > firstRank:
			second = first
			secondRank = firstRank
			first = c.node
			firstRank = rank
		case second == nil || rank > secondRank:
			second = c.node
			secondRank = rank
		}
	}
	if second != nil && second.fitCount(pending) > first.fitCount(pending) {
		return second
	}
	return first
}

// fitCount returns the number of workloads of the size of w that fit in the listed free capacity of n, fractions
// included.
func (n *node) fitCount(w *workload) float64 {
	return min(n.FreeCores/w.Cores, n.FreeMemory/w.Memory)
}

// rankFor returns the rank of a node for a service. It is the same at every allocator and different for every service.
func rankFor(service ServiceID, id NodeID) uint64 {
	return hash(uint64(id), uint64(service))
}
