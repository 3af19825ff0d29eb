package replay

import (
	"grebeglade/placement"
	"grebeglade/trace"
)

// estimate compares a workload's next step under replaced settings with the recorded one. A step of the recorded kind
// gets the recorded result, even if a bind is to another node. The outcome of a step of another kind is unknown: a Bind
// or AwaitEnd gets the final result NotAttempted, and the workload is not replayed further.
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
		// The step is final.
	case recorded == step.Kind:
		r.steps[id] = step
	case step.Kind == placement.Bind || step.Kind == placement.AwaitEnd:
		step.NextStep(placement.Millis(record.AtMs), placement.Result{Kind: placement.NotAttempted, Final: true})
	}
}

// count counts the first step of a workload. Steps of other kinds than Bind and Rejected, recorded or decided, count
// only as requests.
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
