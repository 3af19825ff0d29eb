package allocator

import "grebeglade/placement"

// Verdict is the final answer to a client's request. Each request gets exactly one, unless the client withdraws it
// first.
type Verdict uint8

// The final answers.
const (
	Placed        Verdict = iota + 1 // a node has confirmed the workload
	Rejected                         // the workload never ran or may safely run again: the client can retry
	Unschedulable                    // the workload may have run, so a retry might run it twice
)

// String returns the verdict's name in lower case.
func (v Verdict) String() string {
	return [...]string{"", "placed", "rejected", "unschedulable"}[v]
}

// StopReason is the reason for stopping a bind.
type StopReason uint8

// The reasons to stop a bind.
const (
	TimedOut  StopReason = iota + 1 // the node did not reply before the bind's timeout
	Withdrawn                       // the client withdrew the workload
	Migrating                       // the workload is to be placed again
)

// Actions executes the engine's decisions. Its methods must not call back into the engine.
//
// The binds of a workload are numbered from 0, and each reply of a node refers to one bind.
type Actions interface {
	// Bind offers the workload to the node, which may accept it within the timeout, in ms.
	Bind(id placement.WorkloadID, bind int, node placement.NodeID, timeout placement.Millis)
	// Stop stops a bind that is in flight or placed. With onlyPending, the workload keeps running if the node has
	// already accepted it.
	Stop(id placement.WorkloadID, bind int, node placement.NodeID, reason StopReason, onlyPending bool)
	// CheckHealth sends the node a health check. The result is passed to Engine.HealthChecked.
	CheckHealth(node placement.NodeID)
	// SubscribeNodes subscribes to updates from node discovery. They are passed to Engine.UpdateNodes.
	SubscribeNodes()
	// Answer sends the client the final answer. For Placed, node is the node of the bind; otherwise it is 0. After
	// Rejected or Unschedulable, nothing more is sent for the workload.
	Answer(id placement.WorkloadID, verdict Verdict, node placement.NodeID)
	// NotifyEnded notifies the client that a placed workload has ended. With migrating, the client should request the
	// workload again.
	NotifyEnded(id placement.WorkloadID, node placement.NodeID, migrating bool, reason placement.Reason)
	// Forget releases the host's state for a workload that has left the engine. Its id is not used again.
	Forget(id placement.WorkloadID)
}

// ReplyQueue is implemented by Actions whose host receives the replies of nodes before it passes them to the engine.
type ReplyQueue interface {
	// ReplyQueued reports whether something was received from the node of a bind in flight that may be its reply, and
	// was not passed to the engine yet.
	ReplyQueued(id placement.WorkloadID, bind int) bool
}

// Host is the environment of an engine: it executes the engine's actions and calls Engine.Tick on request.
type Host interface {
	Actions
	// Wake requests a call of Engine.Tick at the given time. It does not cancel requests made before.
	Wake(at placement.Millis)
}

// Module decides where workloads are placed. It is a placement.Scheduler or a recorder that wraps one. Its methods have
// the contracts of the methods of placement.Scheduler.
type Module interface {
	Schedule(now placement.Millis, workload placement.Workload) placement.Step
	Adopt(now placement.Millis, workload placement.Workload, node placement.NodeID) placement.Step
	UpdateNodes(now placement.Millis, kind placement.NodeUpdateKind, nodes []placement.Node)
	ReportLoad(now placement.Millis, node placement.NodeID, load placement.LoadReport)
	HealthChecked(now placement.Millis, node placement.NodeID, answered bool, load *placement.LoadReport)
	ReportUsage(now placement.Millis, id placement.WorkloadID, kind placement.UsageKind, value float64)
	Maintain(now placement.Millis) placement.Maintenance
}
