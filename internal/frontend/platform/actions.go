package platform

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
)

// engineActions is a Frontend as its engine sees it. The engine is at work while these methods run.
type engineActions struct{ *Frontend }

// Bind offers a workload to a node.
func (a engineActions) Bind(id placement.WorkloadID, bind int, node placement.NodeID, timeout placement.Millis) {
	a.binder.offer(a.workloads.get(id), bind, a.nodes.get(node), a.host.Now()+timeout)
}

// Stop abandons a bind, or ends a running workload.
func (a engineActions) Stop(id placement.WorkloadID, _ int, _ placement.NodeID, reason allocator.StopReason, _ bool) {
	w := a.workloads.get(id)
	switch {
	case reason == allocator.Migrating:
		a.requests.notifyMigration(w)
	case w.running():
		a.binder.stop(w)
	case reason == allocator.TimedOut:
		a.binder.abandonTimedOut(w)
	default: // allocator.Withdrawn
		a.binder.abandonWithdrawn(w)
	}
}

// CheckHealth sends a health check to a node.
func (a engineActions) CheckHealth(node placement.NodeID) { a.healthChecks.check(node) }

// SubscribeNodes does nothing: the frontend always keeps a subscription to the discovery service.
func (a engineActions) SubscribeNodes() {}

// Answer sends a client the final answer to its request.
func (a engineActions) Answer(id placement.WorkloadID, verdict allocator.Verdict, _ placement.NodeID) {
	a.requests.answer(a.workloads.get(id), verdict)
}

// NotifyEnded notifies a client that its workload has ended. Of a migration it was notified by Stop.
func (a engineActions) NotifyEnded(id placement.WorkloadID, _ placement.NodeID, migrated bool, _ placement.Reason) {
	if !migrated {
		a.requests.notifyEnd(a.workloads.get(id))
	}
}

// Forget removes a workload.
func (a engineActions) Forget(id placement.WorkloadID) {
	w := a.workloads.get(id)
	a.requests.markAnswered(w)
	w.detach()
	a.workloads.remove(w)
}
