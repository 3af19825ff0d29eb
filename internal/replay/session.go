package replay

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// session makes recorded calls to a module.
type session struct {
	module allocator.Module
	steps  map[uint32]placement.Step // the latest step of each workload that has a next one
}

func newSession(module allocator.Module) *session {
	return &session{module: module, steps: map[uint32]placement.Step{}}
}

// outcomeKind says what a call returned.
type outcomeKind uint8

const (
	notCalled       outcomeKind = iota // the record is not a call to the module
	nothingReturned                    // the call returns nothing
	stepReturned
	maintenanceReturned
	workloadUnknown // a result for a workload that has no next step; the call was not made
)

// outcome is what a call returned.
type outcome struct {
	kind        outcomeKind
	workload    uint32          // for stepReturned
	step        placement.Step  // for stepReturned
	maintenance *tracepb.Chores // for maintenanceReturned
}

// isCall tells whether a record is a call to the module.
func isCall(r *trace.Record) bool {
	switch r.Body.(type) {
	case *tracepb.Record_Place, *tracepb.Record_Adopt, *tracepb.Record_Next, *tracepb.Record_List, *tracepb.Record_Report,
		*tracepb.Record_Probed, *tracepb.Record_Note, *tracepb.Record_Upkeep:
		return true
	}
	return false
}

// call makes the call of a record. It does not follow the step that is returned.
func (s *session) call(r *trace.Record) outcome {
	now := placement.Millis(r.AtMs)
	switch b := r.Body.(type) {
	case *tracepb.Record_Place:
		w := decodeWorkload(b.Place.Workload)
		return outcome{kind: stepReturned, workload: uint32(w.ID), step: s.module.Schedule(now, w)}
	case *tracepb.Record_Adopt:
		w := decodeWorkload(b.Adopt.Workload)
		return outcome{kind: stepReturned, workload: uint32(w.ID), step: s.module.Adopt(now, w, placement.NodeID(b.Adopt.Node))}
	case *tracepb.Record_Next:
		return s.next(now, b.Next)
	case *tracepb.Record_Upkeep:
		return outcome{kind: maintenanceReturned, maintenance: encodeMaintenance(s.module.Maintain(now))}
	}
	if !isCall(r) {
		return outcome{kind: notCalled}
	}
	s.observe(now, r)
	return outcome{kind: nothingReturned}
}

// observe makes a call that returns nothing.
func (s *session) observe(now placement.Millis, r *trace.Record) {
	switch b := r.Body.(type) {
	case *tracepb.Record_List:
		s.module.UpdateNodes(now, placement.NodeUpdateKind(b.List.Kind), decodeNodes(b.List.Nodes))
	case *tracepb.Record_Report:
		if load := decodeLoad(b.Report.Load); load != nil {
			s.module.ReportLoad(now, placement.NodeID(b.Report.Node), *load)
		}
	case *tracepb.Record_Probed:
		s.module.HealthChecked(now, placement.NodeID(b.Probed.Node), b.Probed.Answered, decodeLoad(b.Probed.Load))
	case *tracepb.Record_Note:
		s.module.ReportUsage(now, placement.WorkloadID(b.Note.Workload), placement.UsageKind(b.Note.Kind), b.Note.Value)
	}
}

func (s *session) next(now placement.Millis, n *tracepb.Next) outcome {
	step, known := s.steps[n.Workload]
	if !known {
		return outcome{kind: workloadUnknown}
	}
	return outcome{kind: stepReturned, workload: n.Workload, step: step.NextStep(now, decodeResult(n))}
}

// follow lets the workload's next result go to the step.
func (s *session) follow(workload uint32, step placement.Step) {
	if step.NextStep == nil {
		s.abandon(workload)
		return
	}
	s.steps[workload] = step
}

// abandon makes all further results of a workload unknown.
func (s *session) abandon(workload uint32) { delete(s.steps, workload) }
