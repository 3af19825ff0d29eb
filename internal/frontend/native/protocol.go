package native

import (
	"math"

	"grebeglade/internal/allocator"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// maxReportAge is the age, in ms, from which a load report is ignored.
const maxReportAge = placement.Millis(100e3)

// reasonOf translates a node's reason for rejecting or ending a workload.
func reasonOf(w pb.Reason) placement.Reason {
	switch w {
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
	}
	return placement.ReasonUnspecified
}

// endReasonOf returns the reason that a client gets for the end of its workload. Where the node gives none, the workload
// has finished, unless it was interrupted.
func endReasonOf(r placement.Reason, migrating, interrupted bool) pb.Reason {
	switch {
	case migrating:
		return pb.Reason_MIGRATED
	case r == placement.Evicted:
		return pb.Reason_EVICTED
	case r == placement.Preempted:
		return pb.Reason_PREEMPTED
	case r == placement.Drained:
		return pb.Reason_DRAINED
	case r == placement.ReasonUnspecified && interrupted:
		return pb.Reason_LOST
	}
	return pb.Reason_FINISHED
}

// interrupts reports whether an end that a node reports was not the workload's own: its node stopped or lost it, or ended
// its lease.
func interrupts(w pb.Reason) bool {
	return w == pb.Reason_LOST || w == pb.Reason_STOPPED || w == pb.Reason_LEASE_EXPIRED
}

func nodeStateOf(s pb.NodeEntry_State) placement.NodeState {
	switch s {
	case pb.NodeEntry_READY:
		return placement.Ready
	case pb.NodeEntry_DRAINING:
		return placement.Draining
	}
	return placement.Removed
}

// noteKindOf translates the kind of a note; kinds that the engine ignores are not ok.
func noteKindOf(k pb.UsageReport_Kind) (kind placement.UsageKind, ok bool) {
	switch k {
	case pb.UsageReport_RUNNING:
		return placement.Running, true
	case pb.UsageReport_CORES_USED:
		return placement.CoresUsed, true
	}
	return 0, false
}

func verdictOf(v allocator.Verdict) pb.Verdict {
	switch v {
	case allocator.Placed:
		return pb.Verdict_PLACED
	case allocator.Rejected:
		return pb.Verdict_REJECTED
	}
	return pb.Verdict_UNSCHEDULABLE
}

// loadOf translates a load report. It returns nil where there is none, or one older than maxReportAge; values that the
// report lacks are NaN.
func loadOf(l *pb.Load) *placement.LoadReport {
	if l == nil || !(placement.Millis(l.AgeMs) < maxReportAge) {
		return nil
	}
	value := func(v *float64) float64 {
		if v == nil || math.IsInf(*v, 0) {
			return math.NaN()
		}
		return *v
	}
	return &placement.LoadReport{
		SpareCores: value(l.SpareCores), SpareMemory: value(l.SpareMemory), Backlog: value(l.Backlog),
		Utilization: value(l.Utilization),
	}
}
