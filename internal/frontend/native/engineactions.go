package native

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// engineActions implements the engine's callbacks. The engine is busy while these methods run, so they defer each
// result that they report back to it.
type engineActions struct{ *Frontend }

var _ allocator.Actions = engineActions{}

// Bind implements allocator.Actions.
func (a engineActions) Bind(id placement.WorkloadID, _ int, node placement.NodeID, timeout placement.Millis) {
	a.binder.offer(a.workloads.existing(id), node, timeout)
}

// Stop implements allocator.Actions.
func (a engineActions) Stop(
	id placement.WorkloadID, _ int, _ placement.NodeID, _ allocator.StopReason, onlyPending bool,
) {
	w := a.workloads.existing(id)
	if onlyPending {
		a.binder.stopPending(w)
		return
	}
	a.binder.stop(w)
}

// ReplyQueued implements allocator.ReplyQueue.
func (a engineActions) ReplyQueued(id placement.WorkloadID, bind int) bool {
	w, exists := a.workloads.get(id)
	if !exists || w.lastBind() != bind {
		return false
	}
	n, listed := a.nodes.get(w.lastNode())
	return listed && n.replyQueued(a.network)
}

// CheckHealth implements allocator.Actions.
func (a engineActions) CheckHealth(node placement.NodeID) { a.healthChecks.check(node) }

// SubscribeNodes implements allocator.Actions.
func (a engineActions) SubscribeNodes() { a.discovery.subscribe() }

// Answer implements allocator.Actions.
func (a engineActions) Answer(id placement.WorkloadID, v allocator.Verdict, node placement.NodeID) {
	w := a.workloads.existing(id)
	a.workloads.markAnswered(w, v)
	if w.gang != nil {
		a.gangParts.answered(w, v)
		return
	}
	a.requests.answer(w, v, node)
}

// NotifyEnded implements allocator.Actions.
func (a engineActions) NotifyEnded(
	id placement.WorkloadID, _ placement.NodeID, migrating bool, reason placement.Reason,
) {
	w := a.workloads.existing(id)
	if w.gang != nil {
		a.gangParts.ended(w, partEndOf(reason, migrating, a.endCause))
		return
	}
	a.clients.notifyEnded(w.client, &pb.WorkloadEnded{
		RequestId: w.request.RequestId,
		Reason:    endReasonOf(reason, migrating, a.endCause),
	})
}

// Forget implements allocator.Actions.
func (a engineActions) Forget(id placement.WorkloadID) {
	w := a.workloads.existing(id)
	if w.gang != nil && w.state.withdrawn() {
		a.gangParts.ended(w, gang.EndedEarly)
	}
	a.workloads.remove(w)
}
