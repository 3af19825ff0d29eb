// Filter decides which nodes are feasible for a workload.
//
// Inputs: the node list, the settings of the workload's group, this allocator's binds, the nodes' rejections, and the
// estimates of capacity and load.
//
// Cost of an error: a bind to a node that the rules of the group or of slow start forbid violates a rule without
// exceptions; a bind to a node without capacity is rejected. If a feasible node is excluded, the workload may be
// rejected, because the nodes are not filtered again by weaker rules.

package placement

import "slices"

// filter decides which nodes are feasible for a workload.
type filter struct {
	nodes     *nodeTable
	capacity  *capacityEstimator
	load      *loadEstimator
	slowStart *slowStart
}

// feasible reports whether the rules of its group, the available capacity and the load cap allow the workload on n. It
// does not allocate, because every decision calls it for every node of the fleet.
func (f *filter) feasible(now Millis, w *workload, n *node) bool {
	return f.rulesAllow(now, w, n) &&
		!f.lacksCapacity(now, w, n) &&
		!f.exceedsMemoryCap(now, w, n) &&
		f.load.loadWith(now, w, n) < w.group.loadCap
}

// rulesAllow reports whether all rules other than capacity and load allow the workload on n.
func (f *filter) rulesAllow(now Millis, w *workload, n *node) bool {
	return n.State == Ready &&
		hasRequiredKind(w.group, n) &&
		!slices.Contains(w.excluded, n) &&
		(w.firstUncertain == nil || mayRepeat(now, w, n)) &&
		f.spreadAllows(w, n) &&
		f.slowStart.allows(now, n) &&
		!n.rejections.blocks(now, w)
}

// hasRequiredKind reports whether n is of the node kind that the group requires, if it requires one.
func hasRequiredKind(g *group, n *node) bool {
	return g.RequiredKind < 0 || int(n.Kind) == g.RequiredKind
}

// lacksCapacity reports whether the workload requests more than is available on n.
func (f *filter) lacksCapacity(now Millis, w *workload, n *node) bool {
	available := f.capacity.available(now, n)
	return w.Cores > available.Cores || w.Memory > available.Memory
}

// exceedsMemoryCap reports whether the workload would raise the memory in use on n above memoryCap. It returns false if
// the memory in use is 0 or unknown.
func (f *filter) exceedsMemoryCap(now Millis, w *workload, n *node) bool {
	used := f.load.usedMemory(now, n)
	return used > 0 && used+w.Memory > memoryCap*n.size.Memory
}

// mayRepeat reports whether n may get another bind of a workload that may already run on w.firstUncertain.node. It may
// if the group is Idempotent, or if it is IdempotentByKey and n still recognizes the key of the first bind.
func mayRepeat(now Millis, w *workload, n *node) bool {
	first := w.firstUncertain
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

// inScope reports whether n is in the scope that contains center.
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
	return false // no other scope is valid in the settings
}

// spreadAllows reports whether the spread limit of the group allows one more workload of the service on n. It counts
// this allocator's binds only.
func (f *filter) spreadAllows(w *workload, n *node) bool {
	scope := w.group.SpreadScope
	if scope == ScopeNone {
		return true
	}
	count := 0
	for _, other := range f.nodes.sorted {
		if inScope(scope, n, other) {
			count += other.countServiceBinds(w.Service)
		}
	}
	return count < w.group.MaxPerScope
}
