package allocator

import "grebeglade/placement"

// ScheduleGang handles a request for workloads that must start together. The module schedules each part. If at least
// minParts of them get a node, those are offered to their nodes; otherwise no bind is sent, and every step is cancelled
// in the module. The result has, for each part, whether it was offered. The other parts are dropped without an answer.
func (e *Engine) ScheduleGang(now placement.Millis, parts []placement.Workload, minParts int) []bool {
	steps := make([]placement.Step, len(parts))
	feasible := 0
	for i, part := range parts {
		e.logRequested(now, part)
		steps[i] = e.module.Schedule(now, part)
		if steps[i].Kind == placement.Bind {
			feasible++
		}
	}
	offered := make([]bool, len(parts))
	for i, part := range parts {
		if feasible >= minParts && steps[i].Kind == placement.Bind {
			offered[i] = true
			e.execute(now, e.workloads.add(part), steps[i])
		} else {
			e.cancelFirstStep(now, part, steps[i])
		}
	}
	e.requestTick(now)
	return offered
}

// cancelFirstStep cancels the first step of a part, which has not been executed, in the module.
func (e *Engine) cancelFirstStep(now placement.Millis, part placement.Workload, step placement.Step) {
	switch step.Kind {
	case placement.Bind:
		step.NextStep(now, placement.Result{Kind: placement.NotAttempted, Final: true})
	case placement.Wait:
		step.NextStep(now, placement.Result{Kind: placement.Withdrawn, Final: true})
	case placement.Rejected, placement.Unschedulable, placement.Done: // the module keeps no step to cancel
	case placement.AwaitEnd: // never a first step: only a confirmed bind leads to it
	}
	e.logNotAdmitted(now, part)
	e.host.Forget(part.ID)
}
