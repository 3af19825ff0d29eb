// Score decides which of the feasible nodes a workload goes to.
//
// Observed: which nodes run the service already, the load that each would have, and the free capacity of the node
// list.
//
// Nodes that run the service come first, since its program is installed there, and of these the ones that would
// still serve the workload in full. Among them the least loaded is taken, with ties broken at random.
//
// Where no node is known to run a service, several allocators without communication would start it in as many
// places as there are allocators. A rank that all compute alike lets the later ones find it already started; of the
// two nodes of highest rank the one with more capacity is taken.
//
// Cost of an error: a start without the program is slower; a crowded node slows all workloads on it.

package placement

import (
	"cmp"
	"slices"
)

// candidate is a feasible node.
type candidate struct {
	node *node
	load utilization // that it would have with the workload
}

// candidates are the nodes that a workload may go to, in the order of their ids.
type candidates struct {
	running []candidate // nodes that run the workload's service already
	others  []candidate
}

// best selects the node for the workload, or nil where there is no candidate. A sole allocator needs no agreement
// on the first node of a service. The order of the candidates is lost.
func (c *candidates) best(pending *workload, soleAllocator bool, rng *random) *node {
	switch {
	case len(c.running) > 0:
		return leastLoaded(uncrowdedIfAny(pending, c.running), rng)
	case len(c.others) == 0:
		return nil
	case soleAllocator:
		return leastLoaded(c.others, rng)
	}
	return highestRanked(pending, c.others)
}

// uncrowdedIfAny returns the nodes that would serve the workload in full, or all where there are none.
func uncrowdedIfAny(pending *workload, nodes []candidate) []candidate {
	uncrowded := slices.DeleteFunc(slices.Clone(nodes), func(c candidate) bool {
		return c.load > pending.group.fullServiceLoad
	})
	if len(uncrowded) == 0 {
		return nodes
	}
	return uncrowded
}

// leastLoaded selects a random one of the nodes whose loads tie with the least. It reorders them.
func leastLoaded(nodes []candidate, rng *random) *node {
	least := slices.MinFunc(nodes, func(x, y candidate) int { return cmp.Compare(x.load, y.load) }).load
	ties := slices.DeleteFunc(nodes, func(c candidate) bool { return c.load > least+loadTieBand })
	return ties[rng.intn(len(ties))].node
}

// highestRanked selects, of the two nodes of highest rank, the one that fits more such workloads; all allocators
// select alike. Sorting them all dominated the cost on a large fleet.
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
	if second != nil && second.fits(pending) > first.fits(pending) {
		return second
	}
	return first
}

// fits returns how many such workloads the free capacity of n holds by the node list, fractions included.
func (n *node) fits(w *workload) float64 {
	return min(n.FreeCores/w.Cores, n.FreeMemory/w.Memory)
}

// rankFor orders nodes for a service, alike at every allocator and differently for every service.
func rankFor(service ServiceID, id NodeID) uint64 {
	return hash(uint64(id), uint64(service))
}
