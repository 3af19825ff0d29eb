package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// ScheduleGang handles a request for workloads that are wanted together. The module schedules each of them; where at least
// need of them get a node, these are offered. Otherwise no bind is sent, and all are undone in the module. It
// returns which workloads were offered; the others are forgotten without an answer.
func (e *Engine) ScheduleGang(now placement.Millis, gang []placement.Workload, need int) []bool {
	steps, binds := make([]placement.Step, len(gang)), 0
	for i, w := range gang {
		e.logRequest(now, w)
		steps[i] = e.module.Schedule(now, w)
		if steps[i].Kind == placement.Bind {
			binds++
		}
	}
	offered := make([]bool, len(gang))
	for i, w := range gang {
		if binds >= need && steps[i].Kind == placement.Bind {
			offered[i] = true
			e.execute(now, e.workloads.add(w), steps[i])
		} else {
			e.takeBack(now, w, steps[i])
		}
	}
	e.requestTick(now)
	return offered
}

// takeBack undoes a first step that is not executed.
func (e *Engine) takeBack(now placement.Millis, w placement.Workload, s placement.Step) {
	switch s.Kind {
	case placement.Bind:
		s.NextStep(now, placement.Result{Kind: placement.NotAttempted, Final: true})
	case placement.Wait:
		s.NextStep(now, placement.Result{Kind: placement.Withdrawn, Final: true})
	default: // a final step has no next one
	}
	e.log.Add(eventlog.Event{At: now, Kind: eventlog.NotAdmitted, Workload: w.ID, Group: w.Group})
	e.host.Forget(w.ID)
}
