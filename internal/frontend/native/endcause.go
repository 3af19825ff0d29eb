package native

import (
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// endCause is the cause of a workload's end for which the engine has no placement.Reason.
type endCause uint8

const (
	endFinished    endCause = iota // the workload completed its work
	endInterrupted                 // the node stopped or lost the workload, or its lease expired
)

// endCauseOf returns the cause of an end that a node reports.
func endCauseOf(reason pb.Reason) endCause {
	if reason == pb.Reason_LOST || reason == pb.Reason_STOPPED || reason == pb.Reason_LEASE_EXPIRED {
		return endInterrupted
	}
	return endFinished
}

// reportEnds runs a call of the engine that may end workloads for the given cause. The engine calls NotifyEnded for
// each of them before the call returns.
//
// The cause is passed to NotifyEnded in the environment and not through the engine, since no placement decision depends
// on it, and the event alone determines it. Calls cannot be nested, since Actions must not call the engine.
func (e *environment) reportEnds(cause endCause, call func()) {
	e.endCause = cause
	call()
	e.endCause = endFinished
}

// endReasonOf returns the reason that a client gets for the end of its workload. Where the engine has none, the cause
// decides.
func endReasonOf(reason placement.Reason, migrating bool, cause endCause) pb.Reason {
	switch {
	case migrating:
		return pb.Reason_MIGRATED
	case reason == placement.Evicted:
		return pb.Reason_EVICTED
	case reason == placement.Preempted:
		return pb.Reason_PREEMPTED
	case reason == placement.Drained:
		return pb.Reason_DRAINED
	case reason == placement.ReasonUnspecified && cause == endInterrupted:
		return pb.Reason_LOST
	}
	return pb.Reason_FINISHED
}

// partEndOf returns how a part of a gang ended. It is gang.Finished only if no other reason or cause applies.
func partEndOf(reason placement.Reason, migrating bool, cause endCause) gang.PartEnd {
	if migrating || cause == endInterrupted || reason != placement.ReasonUnspecified {
		return gang.EndedEarly
	}
	return gang.Finished
}
