package native

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// actions implements allocator.Actions. The engine calls its methods while it handles a call itself, so that they defer
// each result that they report back to it.
type actions struct {
	*core
	workloads *workloadTable
	clients   *clientSessions
	requests  *requests
	binds     *binds
	nodes     *nodeSessions
	discovery *discovery
	gangs     *gangs
}

// Bind implements allocator.Actions.
func (a *actions) Bind(id placement.WorkloadID, _ int, node placement.NodeID, timeout placement.Millis) {
	a.binds.bind(a.workloads.held(id), node, timeout)
}

// Stop implements allocator.Actions.
func (a *actions) Stop(id placement.WorkloadID, _ int, _ placement.NodeID, _ allocator.StopReason, onlyWaiting bool) {
	a.binds.callOff(a.workloads.held(id), onlyWaiting)
}

// CheckHealth implements allocator.Actions.
func (a *actions) CheckHealth(node placement.NodeID) { a.nodes.checkHealth(node) }

// SubscribeNodes implements allocator.Actions.
func (a *actions) SubscribeNodes() { a.discovery.subscribe() }

// Answer implements allocator.Actions.
func (a *actions) Answer(id placement.WorkloadID, v allocator.Verdict, node placement.NodeID) {
	wl := a.workloads.held(id)
	a.workloads.markAnswered(wl, v)
	if wl.gang != nil {
		a.gangs.partAnswered(wl, v)
		return
	}
	a.requests.answer(wl, v, node)
}

// NotifyEnded implements allocator.Actions.
func (a *actions) NotifyEnded(id placement.WorkloadID, _ placement.NodeID, migrating bool, reason placement.Reason) {
	wl := a.workloads.held(id)
	if wl.gang != nil {
		a.gangs.partEnded(wl, !migrating && !a.interrupted && reason == placement.ReasonUnspecified)
		return
	}
	a.clients.send(wl.client, &pb.Frame{Body: &pb.Frame_WorkloadEnded{WorkloadEnded: &pb.WorkloadEnded{
		RequestId: wl.request.RequestId, Reason: endReasonOf(reason, migrating, a.interrupted),
	}}})
}

// Forget implements allocator.Actions.
func (a *actions) Forget(id placement.WorkloadID) {
	wl := a.workloads.held(id)
	if wl.gang != nil && wl.state.withdrawn() {
		a.gangs.partEnded(wl, false)
	}
	a.workloads.remove(wl)
}
