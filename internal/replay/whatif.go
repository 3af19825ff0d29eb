package replay

import (
	"grebeglade/placement"
	"grebeglade/trace"
)

// estimate takes a workload's next step under other settings. As long as it is of the recorded kind, the recorded
// results are passed to it, whichever node a bind is to. From where it differs its outcome is unknown: a bind is
// withdrawn, and the workload is not followed further.
func (r *run) estimate(record *trace.Record, id uint32, step placement.Step) {
	recorded := placement.StepKind(record.Step.GetKind())
	sameNode := record.Step.GetNode() == uint32(step.Node)
	r.report.Decisions++
	if recorded == step.Kind && sameNode {
		r.report.Same++
	}
	if record.GetSchedule() != nil {
		r.report.WhatIf.count(recorded, step.Kind, sameNode)
	}
	delete(r.steps, id)
	switch {
	case step.NextStep == nil:
		// The workload has its final answer.
	case recorded == step.Kind:
		r.steps[id] = step
	case step.Kind == placement.Bind || step.Kind == placement.AwaitEnd:
		step.NextStep(placement.Millis(record.AtMs), placement.Result{Kind: placement.NotAttempted, Final: true})
	}
}

// count counts the first step of a workload. A first step of another kind counts as a request alone.
func (w *WhatIf) count(recorded, decided placement.StepKind, sameNode bool) {
	w.Requests++
	wasBound := recorded == placement.Bind
	wasRejected := recorded == placement.Rejected
	switch {
	case wasBound && decided == placement.Bind && sameNode:
		w.SameNode++
	case wasBound && decided == placement.Bind:
		w.OtherNode++
	case wasBound && decided == placement.Rejected:
		w.NowRejected++
	case wasRejected && decided == placement.Bind:
		w.NowBound++
	case wasRejected && decided == placement.Rejected:
		w.StillRejected++
	}
}
