package placement

import "slices"

// rejection is a node's rejection of a bind; a rejectionLog holds a node's last ones.
type rejection struct {
	at     Millis
	group  *group
	size   resources
	reason Reason
}

type rejectionLog []rejection

// blocks reports whether a rejection speaks against offering wl to the node: for lack of space only briefly.
// Any other comes from a node that rejects one group; that group avoids it for longer, the others use it.
func (l rejectionLog) blocks(now Millis, wl *workload) bool {
	return slices.ContainsFunc(l, func(r rejection) bool {
		switch r.reason {
		case InsufficientCores:
			return now-r.at < capacityRejectionPause && wl.Cores >= r.size.Cores
		case InsufficientMemory:
			return now-r.at < capacityRejectionPause && wl.Memory >= r.size.Memory
		case QueueFull:
			return now-r.at < capacityRejectionPause
		}
		return now-r.at < groupRejectionPause && r.group == wl.group
	})
}

// filter decides which nodes are feasible for a workload.
type filter struct {
	capacity  *capacityEstimator
	slowStart *slowStart
}

// feasible reports whether wl may go to n by its group's rules, the available capacity and the load cap.
func (f *filter) feasible(now Millis, wl *workload, n *node) bool {
	g := wl.group
	switch {
	case n.State != Ready, g.RequiredKind >= 0 && int(n.Kind) != g.RequiredKind, slices.Contains(wl.excluded, n),
		wl.uncertain != nil && !mayRepeat(now, wl, n), !f.spreadAllows(wl, n), !f.slowStart.allows(now, n),
		n.rejections.blocks(now, wl):
		return false
	}
	available := f.capacity.available(now, n)
	if wl.Cores > available.Cores || wl.Memory > available.Memory {
		return false
	}
	if used := f.capacity.usedMemory(now, n); used+wl.Memory > memoryCap*n.size.Memory && used > 0 {
		return false
	}
	return f.capacity.load(now, wl, n) < g.loadCap
}

// mayRepeat reports whether a further bind of a workload that may run already is harmless on n.
func mayRepeat(now Millis, wl *workload, n *node) bool {
	g, first := wl.group, wl.uncertain
	switch {
	case g.Idempotency == Idempotent:
		return true
	case g.Idempotency == AtMostOnce || now-first.sentAt >= g.KeyWindow-answerMargin:
		return false
	}
	return inScope(g.KeyScope, first.node, n)
}

// inScope reports whether n lies in the scope around center.
func inScope(s Scope, center, n *node) bool {
	switch s {
	case ScopeNode:
		return n == center
	case ScopeCell:
		return n.Cell == center.Cell
	case ScopeZone:
		return n.Zone == center.Zone
	}
	return s == ScopeAll
}

// spreadAllows reports whether one more workload of the service may run around n, by our own binds.
func (f *filter) spreadAllows(wl *workload, n *node) bool {
	if wl.group.SpreadScope == ScopeNone {
		return true
	}
	count := 0
	for _, m := range f.capacity.nodes.sorted {
		if inScope(wl.group.SpreadScope, n, m) {
			for _, b := range m.binds {
				if b.workload.Service == wl.Service {
					count++
				}
			}
		}
	}
	return count < wl.group.MaxPerScope
}
