package allocator

import "grebeglade/placement"

// Verdict is the final answer to a client's request. Each request gets one, unless its client withdraws it before.
type Verdict uint8

// The final answers.
const (
	Placed        Verdict = iota + 1 // a node has confirmed the workload
	Rejected                         // it never ran, or may safely run again: a retry does no harm
	Unschedulable                    // it may have run, and a retry might run it twice
)

// String returns the verdict's name in lower case.
func (v Verdict) String() string {
	return [...]string{"", "placed", "rejected", "unschedulable"}[v]
}

// StopReason says why a bind is stopped.
type StopReason uint8

// The reasons to stop a bind.
const (
	TimedOut  StopReason = iota + 1 // the node has not replied in time
	Withdrawn                       // the client no longer wants the workload
	Migrating                       // the workload is to be placed anew
)

// Actions carries out what the engine decides. None of its methods may call the engine back before it returns.
//
// Binds of a workload are numbered from 0; a node's reply is about one bind.
type Actions interface {
	// Bind offers the workload to the node, which may accept it until the timeout, in ms, has passed.
	Bind(id placement.WorkloadID, bind int, node placement.NodeID, timeout placement.Millis)
	// Stop stops a bind, whether it is in flight or placed. With onlyPending, a node that has accepted the workload
	// keeps it.
	Stop(id placement.WorkloadID, bind int, node placement.NodeID, reason StopReason, onlyPending bool)
	// CheckHealth sends the node a health check. Its result goes to Engine.HealthChecked.
	CheckHealth(node placement.NodeID)
	// SubscribeNodes subscribes to node discovery's changes. They go to Engine.UpdateNodes.
	SubscribeNodes()
	// Answer sends the client the final answer. The node is that of the bind for Placed, and 0 otherwise. Nothing more
	// is sent for the workload after Rejected or Unschedulable.
	Answer(id placement.WorkloadID, verdict Verdict, node placement.NodeID)
	// NotifyEnded notifies the client that a placed workload no longer runs. With migrating, the client is to request
	// it anew.
	NotifyEnded(id placement.WorkloadID, node placement.NodeID, migrating bool, reason placement.Reason)
	// Forget releases what the host keeps for the workload, which has left the engine. Its id is not used again.
	Forget(id placement.WorkloadID)
}

// Host is what an engine runs in: it carries out the engine's actions and calls Engine.Tick on request.
type Host interface {
	Actions
	// Wake requests a call of Engine.Tick at the given time. An earlier request that is still open remains valid.
	Wake(at placement.Millis)
}

// Module decides where workloads go. It is a placement.Scheduler, or a recorder around one. The contracts of its
// methods are those of placement.Scheduler.
type Module interface {
	Schedule(now placement.Millis, workload placement.Workload) placement.Step
	Adopt(now placement.Millis, workload placement.Workload, node placement.NodeID) placement.Step
	UpdateNodes(now placement.Millis, kind placement.NodeUpdateKind, nodes []placement.Node)
	ReportLoad(now placement.Millis, node placement.NodeID, load placement.LoadReport)
	HealthChecked(now placement.Millis, node placement.NodeID, answered bool, load *placement.LoadReport)
	ReportUsage(now placement.Millis, id placement.WorkloadID, kind placement.UsageKind, value float64)
	Maintain(now placement.Millis) placement.Maintenance
}
