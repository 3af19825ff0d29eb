package native

import (
	"math"

	"grebeglade/internal/allocator"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// maxReportAge is the age, in ms, from which a load report is ignored.
const maxReportAge = placement.Millis(100e3)

// reasonOf translates a node's reason for rejecting or ending a workload. It returns ReasonUnspecified for reasons that
// the engine does not have, such as FINISHED and LOST, and for those of later protocol versions.
func reasonOf(reason pb.Reason) placement.Reason {
	switch reason {
	case pb.Reason_INSUFFICIENT_CORES:
		return placement.InsufficientCores
	case pb.Reason_INSUFFICIENT_MEMORY:
		return placement.InsufficientMemory
	case pb.Reason_QUEUE_FULL:
		return placement.QueueFull
	case pb.Reason_WRONG_NODE:
		return placement.WrongNode
	case pb.Reason_EVICTED:
		return placement.Evicted
	case pb.Reason_PREEMPTED:
		return placement.Preempted
	case pb.Reason_DRAINED:
		return placement.Drained
	case pb.Reason_REASON_UNSPECIFIED, pb.Reason_FINISHED, pb.Reason_STOPPED, pb.Reason_LOST, pb.Reason_MIGRATED,
		pb.Reason_LEASE_EXPIRED:
	}
	return placement.ReasonUnspecified
}

// nodeStateOf translates the state of a node in the node list. A state of a later protocol version counts as
// removed, so that the node gets no binds.
func nodeStateOf(state pb.NodeEntry_State) placement.NodeState {
	switch state {
	case pb.NodeEntry_READY:
		return placement.Ready
	case pb.NodeEntry_DRAINING:
		return placement.Draining
	case pb.NodeEntry_REMOVED:
	}
	return placement.Removed
}

// usageKindOf translates the kind of a usage report. ok is false for kinds that the engine does not use.
func usageKindOf(reported pb.UsageReport_Kind) (kind placement.UsageKind, ok bool) {
	switch reported {
	case pb.UsageReport_RUNNING:
		return placement.Running, true
	case pb.UsageReport_CORES_USED:
		return placement.CoresUsed, true
	case pb.UsageReport_KIND_UNSPECIFIED, pb.UsageReport_MEMORY_USED:
	}
	return 0, false
}

// verdictOf translates the engine's final answer.
func verdictOf(v allocator.Verdict) pb.Verdict {
	switch v {
	case allocator.Placed:
		return pb.Verdict_PLACED
	case allocator.Rejected:
		return pb.Verdict_REJECTED
	case allocator.Unschedulable:
	}
	return pb.Verdict_UNSCHEDULABLE
}

// loadOf translates a load report. It returns nil if there is none or its age is maxReportAge or more. Missing and
// infinite values become NaN.
func loadOf(load *pb.Load) *placement.LoadReport {
	if load == nil || !(placement.Millis(load.AgeMs) < maxReportAge) { // not >=, so that an age of NaN is ignored too
		return nil
	}
	value := func(v *float64) float64 {
		if v == nil || math.IsInf(*v, 0) {
			return math.NaN()
		}
		return *v
	}
	return &placement.LoadReport{
		SpareCores:  value(load.SpareCores),
		SpareMemory: value(load.SpareMemory),
		Backlog:     value(load.Backlog),
		Utilization: value(load.Utilization),
	}
}
