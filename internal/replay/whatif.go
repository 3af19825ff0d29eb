package replay

import (
	"grebeglade/placement"
	"grebeglade/trace"
)

// estimate takes a workload's next step under other settings. As long as it is of the recorded kind, the recorded
// results are passed to it, whichever node a bind is to. From where it differs its outcome is unknown: a bind is
// withdrawn, and the workload is not followed further.
func (r *run) estimate(rec *trace.Record, id uint32, step placement.Step) {
	recorded := placement.StepKind(rec.Step.GetKind())
	sameNode := rec.Step.GetNode() == uint32(step.Node)
	r.report.Decisions++
	if recorded == step.Kind && sameNode {
		r.report.Same++
	}
	if rec.GetSchedule() != nil {
		r.report.WhatIf.count(recorded, step.Kind, sameNode)
	}
	delete(r.steps, id)
	switch {
	case step.NextStep == nil:
	case recorded == step.Kind:
		r.steps[id] = step
	case step.Kind == placement.Bind || step.Kind == placement.AwaitEnd:
		step.NextStep(placement.Millis(rec.AtMs), placement.Result{Kind: placement.NotAttempted, Final: true})
	}
}

// count counts the first step of a workload.
func (w *WhatIf) count(recorded, decided placement.StepKind, sameNode bool) {
	w.Requests++
	switch [2]placement.StepKind{recorded, decided} {
	case [2]placement.StepKind{placement.Bind, placement.Bind}:
		if sameNode {
			w.SameNode++
		} else {
			w.OtherNode++
		}
	case [2]placement.StepKind{placement.Bind, placement.Rejected}:
		w.NowRejected++
	case [2]placement.StepKind{placement.Rejected, placement.Bind}:
		w.NowBound++
	case [2]placement.StepKind{placement.Rejected, placement.Rejected}:
		w.StillRejected++
	}
}
