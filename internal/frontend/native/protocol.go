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
func reasonOf(w pb.Why) placement.Reason {
	switch w {
	case pb.Why_NO_CORES:
		return placement.InsufficientCores
	case pb.Why_NO_MEMORY:
		return placement.InsufficientMemory
	case pb.Why_TOO_MANY_WAITING:
		return placement.QueueFull
	case pb.Why_NOT_HERE:
		return placement.WrongNode
	case pb.Why_EVICTED:
		return placement.Evicted
	case pb.Why_PUSHED_OUT:
		return placement.Preempted
	case pb.Why_SENT_AWAY:
		return placement.Drained
	}
	return placement.ReasonUnspecified
}

// endReasonOf returns the reason that a client gets for the end of its workload. Where the node gives none, the workload
// has finished, unless it was interrupted.
func endReasonOf(r placement.Reason, migrating, interrupted bool) pb.Why {
	switch {
	case migrating:
		return pb.Why_MOVED
	case r == placement.Evicted:
		return pb.Why_EVICTED
	case r == placement.Preempted:
		return pb.Why_PUSHED_OUT
	case r == placement.Drained:
		return pb.Why_SENT_AWAY
	case r == placement.ReasonUnspecified && interrupted:
		return pb.Why_LOST
	}
	return pb.Why_FINISHED
}

// interrupts reports whether an end that a node reports was not the workload's own: its node stopped or lost it, or ended
// its lease.
func interrupts(w pb.Why) bool {
	return w == pb.Why_LOST || w == pb.Why_STOPPED || w == pb.Why_LEASE_OVER
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
func noteKindOf(k pb.Note_Kind) (kind placement.UsageKind, ok bool) {
	switch k {
	case pb.Note_RUNNING:
		return placement.Running, true
	case pb.Note_CORES_USED:
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
