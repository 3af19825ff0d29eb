// Filter decides which nodes a workload may go to at all.
//
// Observed: the node list, the settings of the workload's group, our own binds, the nodes' rejections, and the
// estimates of capacity and load.
//
// Cost of an error: a node let through against the rules of a group or of slow start breaks a rule that has no
// exception; one let through without capacity costs a rejected bind. A node that is kept out in vain may mean that
// the workload is rejected, as there is no second pass with weaker rules.

package placement

import "slices"

// filter decides which nodes are feasible for a workload.
type filter struct {
	nodes     *nodeTable
	capacity  *capacityEstimator
	load      *loadEstimator
	slowStart *slowStart
}

// feasible reports whether the workload may go to n by the rules of its group, the available capacity and the load
// cap. Every decision calls it for every node of the fleet, so it allocates nothing.
func (f *filter) feasible(now Millis, w *workload, n *node) bool {
	return f.rulesAllow(now, w, n) &&
		!f.lacksCapacity(now, w, n) &&
		!f.exceedsMemoryCap(now, w, n) &&
		f.load.loadWith(now, w, n) < w.group.loadCap
}

// rulesAllow reports whether everything but capacity and load allows the workload on n.
func (f *filter) rulesAllow(now Millis, w *workload, n *node) bool {
	return n.State == Ready &&
		hasRequiredKind(w.group, n) &&
		!slices.Contains(w.excluded, n) &&
		(w.uncertain == nil || mayRepeat(now, w, n)) &&
		f.spreadAllows(w, n) &&
		f.slowStart.allows(now, n) &&
		!n.rejections.blocks(now, w)
}

// hasRequiredKind reports whether n is of the kind that workloads of the group need.
func hasRequiredKind(g *group, n *node) bool {
	return g.RequiredKind < 0 || int(n.Kind) == g.RequiredKind
}

// lacksCapacity reports whether the workload requests more than is available on n.
func (f *filter) lacksCapacity(now Millis, w *workload, n *node) bool {
	available := f.capacity.available(now, n)
	return w.Cores > available.Cores || w.Memory > available.Memory
}

// exceedsMemoryCap reports whether the workload would take the memory in use on n beyond the cap, as far as it is
// known.
func (f *filter) exceedsMemoryCap(now Millis, w *workload, n *node) bool {
	used := f.load.usedMemory(now, n)
	return used > 0 && used+w.Memory > memoryCap*n.size.Memory
}

// mayRepeat reports whether a further bind of a workload that may run already is harmless on n.
func mayRepeat(now Millis, w *workload, n *node) bool {
	first := w.uncertain
	switch w.group.Idempotency {
	case Idempotent:
		return true
	case AtMostOnce:
		return false
	case IdempotentByKey:
	}
	keyExpiresSoon := now-first.sentAt >= w.group.KeyWindow-answerMargin
	return !keyExpiresSoon && inScope(w.group.KeyScope, first.node, n)
}

// inScope reports whether n lies in the scope around center.
func inScope(scope Scope, center, n *node) bool {
	switch scope {
	case ScopeNone:
		return false
	case ScopeNode:
		return n == center
	case ScopeCell:
		return n.Cell == center.Cell
	case ScopeZone:
		return n.Zone == center.Zone
	case ScopeAll:
		return true
	}
	return false // settings name no other scope
}

// spreadAllows reports whether one more workload of the service may run around n, by our own binds.
func (f *filter) spreadAllows(w *workload, n *node) bool {
	scope := w.group.SpreadScope
	if scope == ScopeNone {
		return true
	}
	ours := 0
	for _, other := range f.nodes.sorted {
		if inScope(scope, n, other) {
			ours += other.bindsOf(w.Service)
		}
	}
	return ours < w.group.MaxPerScope
}
