package allocator

import "grebeglade/placement"

// ScheduleGang handles a request for workloads that are to start together. The module schedules each of them; where at
// least minParts of them get a node, these are offered. Otherwise no bind is sent, and every step is undone in the
// module. It returns for each of parts whether it was offered; the others are forgotten without an answer.
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
			e.undo(now, part, steps[i])
		}
	}
	e.requestTick(now)
	return offered
}

// undo cancels a workload's first step, which was not executed, in the module.
func (e *Engine) undo(now placement.Millis, part placement.Workload, step placement.Step) {
	switch step.Kind {
	case placement.Bind:
		step.NextStep(now, placement.Result{Kind: placement.NotAttempted, Final: true})
	case placement.Wait:
		step.NextStep(now, placement.Result{Kind: placement.Withdrawn, Final: true})
	case placement.Rejected, placement.Unschedulable, placement.Done: // the module has no next step to undo
	case placement.AwaitEnd: // never a first step: it follows a confirmed bind
	}
	e.logNotAdmitted(now, part)
	e.host.Forget(part.ID)
}
