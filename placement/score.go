package placement

import (
	"cmp"
	"slices"
)

// candidate is a feasible node and the load that it would have.
type candidate struct {
	node *node
	load float64
}

// bestCandidate selects the node for wl, or nil: first uncrowded ones of those that run its service already.
func bestCandidate(wl *workload, running, others []candidate, single bool, r *random) *node {
	crowded := func(c candidate) bool { return c.load > wl.group.fullServiceLoad }
	if uncrowded := slices.DeleteFunc(slices.Clone(running), crowded); len(uncrowded) > 0 {
		running = uncrowded
	}
	switch {
	case len(running) > 0:
		return leastLoaded(running, r)
	case len(others) == 0:
		return nil
	case single:
		return leastLoaded(others, r)
	}
	return highestRanked(wl, others)
}

// leastLoaded selects a random one of the candidates whose loads tie with the least. It reorders them.
func leastLoaded(candidates []candidate, r *random) *node {
	least := slices.MinFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.load, y.load) }).load
	ties := slices.DeleteFunc(candidates, func(c candidate) bool { return c.load > least+loadTieBand })
	return ties[r.intn(len(ties))].node
}

// highestRanked selects the roomier of the two candidates of highest rank, so that allocators start a service
// in the same place without communication. Sorting them all dominated the cost on a large fleet.
func highestRanked(wl *workload, candidates []candidate) *node {
	var first, second *node
	var highest, next uint64
	for _, c := range candidates {
		switch r := rank(wl.Service, c.node.ID); {
		case first == nil || r > highest:
			first, highest, second, next = c.node, r, first, highest
		case second == nil || r > next:
			second, next = c.node, r
		}
	}
	fits := func(n *node) float64 { return min(n.FreeCores/wl.Cores, n.FreeMemory/wl.Memory) }
	if second != nil && fits(second) > fits(first) {
		return second
	}
	return first
}

// rank orders nodes for a service, alike at every allocator and differently for every service.
func rank(s ServiceID, n NodeID) uint64 { return hash(uint64(n), uint64(s)) }
