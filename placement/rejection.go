// Rejections decide for how long a node that rejected a bind is not offered similar ones.
//
// Observed: the reason that the node gave, the size and the group of what it rejected, and whether it accepted a
// workload of that group since.
//
// Cost of an error: a pause that is too short wastes binds on a node that rejects them and fills its queue; one
// that is too long leaves a node idle that would accept again.

package placement

import "slices"

// rejection is a node's rejection of a bind.
type rejection struct {
	at     Millis
	group  *group
	size   resources // requested by the rejected workload
	reason Reason
}

// rejectionLog holds the last rejections by a node, oldest first.
type rejectionLog []rejection

// add records that the node rejected the workload.
func (l *rejectionLog) add(now Millis, w *workload, reason Reason) {
	*l = appendBounded(*l, rejection{
		at:     now,
		group:  w.group,
		size:   w.request(),
		reason: reason,
	}, maxRejections)
}

// forgetGroup drops the rejections of a group, once the node has accepted a workload of it.
func (l *rejectionLog) forgetGroup(g *group) {
	*l = slices.DeleteFunc(*l, func(r rejection) bool { return r.group == g })
}

// blocks reports whether a rejection speaks against offering the workload to the node.
func (l rejectionLog) blocks(now Millis, w *workload) bool {
	for i := range l {
		if l[i].blocks(now, w) {
			return true
		}
	}
	return false
}

// blocks reports whether the rejection speaks against offering the workload. For lack of capacity it does so only
// briefly. Any other comes from a node that rejects one group; that group avoids it for longer, the others use it.
func (r *rejection) blocks(now Millis, w *workload) bool {
	age := now - r.at
	switch r.reason {
	case InsufficientCores:
		return age < capacityRejectionPause && w.Cores >= r.size.Cores
	case InsufficientMemory:
		return age < capacityRejectionPause && w.Memory >= r.size.Memory
	case QueueFull:
		return age < capacityRejectionPause
	case ReasonUnspecified, WrongNode, Evicted, Preempted, Drained:
	}
	// Reasons that a later protocol may add count as those listed last.
	return age < groupRejectionPause && r.group == w.group
}
