package platform

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
)

// engineActions implements allocator.Actions for a Frontend. The engine calls its methods while it handles an event, so
// they must not call the engine; they defer such calls with Host.Defer.
type engineActions struct{ *Frontend }

// Bind implements allocator.Actions: it offers a workload to a node.
func (a engineActions) Bind(id placement.WorkloadID, bind int, node placement.NodeID, timeout placement.Millis) {
	a.binder.offer(a.workloads.get(id), bind, a.nodes.get(node), a.host.Now()+timeout)
}

// Stop implements allocator.Actions: it abandons a bind, ends a running workload, or notifies the client of a
// migration.
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

// CheckHealth implements allocator.Actions: it sends a health check to a node.
func (a engineActions) CheckHealth(node placement.NodeID) { a.healthChecks.check(node) }

// SubscribeNodes implements allocator.Actions. It does nothing: the frontend is always subscribed to the discovery
// service.
func (a engineActions) SubscribeNodes() {}

// ReplyQueued implements allocator.ReplyQueue.
func (a engineActions) ReplyQueued(id placement.WorkloadID, bind int) bool {
	w := a.workloads.get(id)
	return w != nil && w.bind.number == bind && w.bind.conn != nil && a.nodeConns.replyQueued(w.bind.conn)
}

// Answer implements allocator.Actions: it sends a client the final answer to its request.
func (a engineActions) Answer(id placement.WorkloadID, verdict allocator.Verdict, _ placement.NodeID) {
	a.requests.answer(a.workloads.get(id), verdict)
}

// NotifyEnded implements allocator.Actions: it notifies a client that its workload has ended. For a migrated workload
// it does nothing, since Stop has notified the client.
func (a engineActions) NotifyEnded(id placement.WorkloadID, _ placement.NodeID, migrated bool, _ placement.Reason) {
	if !migrated {
		a.requests.notifyEnd(a.workloads.get(id))
	}
}

// Forget implements allocator.Actions: it removes a workload from all tables.
func (a engineActions) Forget(id placement.WorkloadID) {
	w := a.workloads.get(id)
	a.requests.markAnswered(w)
	w.detach()
	a.workloads.remove(w)
}
