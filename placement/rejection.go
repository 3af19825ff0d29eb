// Rejection decides for how long a node that rejected a bind gets no similar binds.
//
// Inputs: the reason of the rejection, the size and the group of the rejected workload, and whether the node has
// accepted a workload of that group since.
//
// Cost of an error: if the pause is too short, binds are wasted on a node that rejects them, and they fill its queue;
// if it is too long, a node that would accept binds again stays idle.

package placement

import "slices"

// rejection is the rejection of a bind by a node.
type rejection struct {
	at     Millis
	group  *group
	size   resources // resources requested by the rejected workload
	reason Reason
}

// rejectionLog lists the last rejections by a node, oldest first.
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

// removeGroup removes the rejections of a group. It is called when the node accepts a workload of the group.
func (l *rejectionLog) removeGroup(g *group) {
	*l = slices.DeleteFunc(*l, func(r rejection) bool { return r.group == g })
}

// blocks reports whether any rejection in the log prevents offering the workload to the node.
func (l rejectionLog) blocks(now Millis, w *workload) bool {
	for i := range l {
		if l[i].blocks(now, w) {
			return true
		}
	}
	return false
}

// blocks reports whether the rejection prevents offering the workload to the node. A rejection for lack of capacity
// blocks workloads of any group for capacityRejectionPause: those that request at least as much of the resource, or all
// if the queue was full. Any other rejection blocks only the rejected group, for groupRejectionPause.
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
	// A reason that a later version of the protocol adds is treated like those in the last case.
	return age < groupRejectionPause && r.group == w.group
}
