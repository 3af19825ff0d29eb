package native

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/gang"
	"grebeglade/placement"
)

// gangExecutor executes the actions of the gangs' state machines: it schedules and withdraws parts, notifies nodes and
// clients, and sets timers.
type gangExecutor struct {
	*environment
	gangs     *gangTable
	workloads *workloadTable
	catalog   *catalog
	sender    *nodeSender
	answers   *gangAnswers
}

// execute executes the actions of a gang's state machine and records its new state.
func (e *gangExecutor) execute(now placement.Millis, g *gangRequest, decided []gang.Action) {
	for _, action := range decided {
		e.executeAction(now, g, action)
	}
	// A trace holds the state's text, and some states share one.
	if g.tracedState.String() != g.machine.State().String() {
		e.recorder.gangState(now, g)
	}
	g.tracedState = g.machine.State()
}

func (e *gangExecutor) executeAction(now placement.Millis, request *gangRequest, action gang.Action) {
	switch action.Kind {
	case gang.Attempt:
		e.attempt(now, request, action)
	case gang.RequestPart:
		e.host.Engine().Schedule(now, e.requestPart(now, request, action.Part, action.Timeout))
	case gang.StopPart:
		e.stopPart(now, request, action.Part)
	case gang.AnswerPlaced:
		e.answers.placed(request)
	case gang.AnswerRejected:
		e.answers.rejected(request)
	case gang.AnswerUnschedulable:
		e.answers.unschedulable(request)
	case gang.ConfirmParts:
		e.confirmParts(request)
	case gang.ReportEnd:
		e.answers.ended(request)
	case gang.SetTimer:
		e.setTimer(now, request, action.At)
	case gang.Forget:
		e.gangs.remove(request)
	}
}

// attempt requests the parts of a gang together: at least MinParts of them are offered to nodes, or none.
func (e *gangExecutor) attempt(now placement.Millis, request *gangRequest, action gang.Action) {
	requests := make([]placement.Workload, len(action.Parts))
	for i, part := range action.Parts {
		requests[i] = e.requestPart(now, request, part, request.deadline-now)
	}
	sent := e.host.Engine().ScheduleGang(now, requests, action.MinParts)
	offeredParts := make([]int, 0, len(action.Parts))
	for i, part := range action.Parts {
		if sent[i] {
			offeredParts = append(offeredParts, part)
		} else {
			request.parts[part] = 0
		}
	}
	e.execute(now, request, request.machine.AttemptResult(offeredParts))
}

// requestPart adds a part to the workload table and returns its workload for the engine, with the pending timeout in
// ms.
func (e *gangExecutor) requestPart(
	now placement.Millis, g *gangRequest, part int, timeout placement.Millis,
) placement.Workload {
	added := e.workloads.addPart(now, g, part)
	g.parts[part] = added.id
	e.recorder.request(now, added)
	requested := e.catalog.workload(added.id, added.request)
	requested.PendingTimeout = timeout
	requested.Retried = requested.Retried || g.machine.Attempts() > 1
	requested.Group = spreadVariant(requested.Group, g.request.Spread, len(e.catalog.groupNames))
	return requested
}

// stopPart stops a part. A part that the engine has forgotten has already ended. The stop of a withdrawn part is sent
// again, since the first stop may have been lost.
func (e *gangExecutor) stopPart(now placement.Millis, g *gangRequest, part int) {
	id := g.parts[part]
	w, exists := e.workloads.get(id)
	switch {
	case !exists:
		e.deferEvent(g, id, part, func(now placement.Millis) []gang.Action {
			return g.machine.PartEnded(now, part, gang.EndedEarly)
		})
	case w.state.withdrawn():
		e.sender.stop(w.lastNode(), e.workloads.bindID(w))
	default:
		e.workloads.markWithdrawn(w)
		e.counters.GangPartStops++
		e.host.Engine().Withdraw(now, id)
	}
}

// confirmParts notifies the nodes of the running parts that their gang runs.
func (e *gangExecutor) confirmParts(g *gangRequest) {
	for part, id := range g.parts {
		if w, exists := e.workloads.get(id); exists && g.machine.PartState(part) == gang.PartRunning {
			e.sender.confirmGang(w.lastNode(), e.workloads.bindID(w))
		}
	}
}

// setTimer calls a gang's state machine at the given time, unless the gang was removed. As in the engine, a timer is
// set for at most a minute and then set again, which bounds the timers of gangs that have ended.
func (e *gangExecutor) setTimer(now placement.Millis, g *gangRequest, at placement.Millis) {
	e.host.Schedule(max(now, min(at, now+allocator.MaxTimerDelay)), func(now placement.Millis) {
		switch {
		case !e.gangs.contains(g):
		case now < at:
			e.setTimer(now, g, at)
		default:
			e.execute(now, g, g.machine.TimerFired(now))
		}
	})
}

// deferEvent passes an event of a part to the gang's state machine and executes the resulting actions, once the engine
// is idle. It has no effect if, by then, the gang is recovering or has ended, or the part has another workload.
func (e *gangExecutor) deferEvent(
	g *gangRequest, id placement.WorkloadID, part int, event func(now placement.Millis) []gang.Action,
) {
	e.host.Defer(func(now placement.Millis) {
		if !g.recovering() && e.gangs.contains(g) && g.parts[part] == id {
			e.execute(now, g, event(now))
		}
	})
}
