package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// BindConfirmed handles a node's reply that it has accepted a bind. For a bind that has ended meanwhile only the load report
// counts: the node has been notified of the end.
func (e *Engine) BindConfirmed(now placement.Millis, id placement.WorkloadID, bind int, load *placement.LoadReport) {
	w := e.workloads[id]
	if w == nil {
		return
	}
	if w.onNode() || !w.isOpen(bind) {
		e.reportLoad(now, w.node, load)
		return
	}
	w.confirm()
	w.timer = noTimer
	e.logOutcome(now, w, placement.Confirmed, placement.ReasonUnspecified)
	if w.wanted() {
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.Answered, Detail: uint8(Placed), Workload: id, Node: w.node})
		e.host.Answer(id, Placed, w.node)
	}
	e.execute(now, w, w.step.NextStep(now, placement.Result{Kind: placement.Confirmed, Load: load}))
}

// BindEnded handles the end of a bind. Where it was in flight, r.Kind says how it ended; a placed workload has ended,
// whatever r.Kind is. For a bind that ended before only the load report counts.
func (e *Engine) BindEnded(
	now placement.Millis, id placement.WorkloadID, bind int, node placement.NodeID, r placement.Result,
) {
	w := e.workloads[id]
	if w == nil || !w.isOpen(bind) {
		e.reportLoad(now, node, r.Load)
		return
	}
	e.complete(now, w, r)
	e.requestTick(now)
}

// ConnectionLost handles the loss of the connection to a node. What was in flight there may have run; what is placed there
// still runs, as far as anyone knows.
func (e *Engine) ConnectionLost(now placement.Millis, node placement.NodeID) {
	for _, w := range e.workloads.on(node) {
		if !w.onNode() {
			e.complete(now, w, placement.Result{Kind: placement.OutcomeUnknown, Final: !w.wanted()})
		}
	}
	e.requestTick(now)
}

// ReconcileNode handles a node's own list of our workloads there: the placed ones for which runs returns false have ended.
func (e *Engine) ReconcileNode(
	now placement.Millis, node placement.NodeID, runs func(id placement.WorkloadID, bind int) bool,
) {
	for _, w := range e.workloads.on(node) {
		if w.onNode() && !runs(w.id, w.bind()) {
			e.complete(now, w, placement.Result{Kind: placement.Ended, Final: true})
		}
	}
	e.requestTick(now)
}

// NodeLost handles the loss of a node with all that was in flight or placed there.
func (e *Engine) NodeLost(now placement.Millis, node placement.NodeID) {
	e.ConnectionLost(now, node)
	e.ReconcileNode(now, node, func(placement.WorkloadID, int) bool { return false })
}

// timerFired handles the timer of a workload's step: the end of a wait, or the timeout of a bind.
func (e *Engine) timerFired(now placement.Millis, w *workload) {
	if w.due > now+clockGrain {
		e.timers.set(now, w, w.due)
		return
	}
	w.timer = noTimer
	if w.step.Kind == placement.Wait {
		e.execute(now, w, w.step.NextStep(now, placement.Result{Kind: placement.TimerFired}))
		return
	}
	if w.wanted() {
		// What may run at most once and has been accepted must not be stopped: its client is answered that it may have run.
		e.host.Stop(w.id, w.bind(), w.node, TimedOut, e.atMostOnce(w.group))
	}
	e.complete(now, w, placement.Result{Kind: placement.TimedOut})
}

// complete ends the open bind of a workload and executes what the module wants next.
func (e *Engine) complete(now placement.Millis, w *workload, r placement.Result) {
	if w.onNode() {
		r.Kind = placement.Ended
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.Ended, Workload: w.id, Node: w.node, Reason: r.Reason})
		if w.wanted() {
			e.host.NotifyEnded(w.id, w.node, w.state == migrating, r.Reason)
		}
	} else {
		e.logOutcome(now, w, r.Kind, r.Reason)
	}
	w.timer = noTimer
	e.execute(now, w, w.step.NextStep(now, r))
}

// execute does what a step says and keeps it for its result. A workload without a next step is forgotten.
func (e *Engine) execute(now placement.Millis, w *workload, s placement.Step) {
	w.step = s
	switch s.Kind {
	case placement.Bind:
		e.bind(now, w, s)
	case placement.Wait:
		e.timers.set(now, w, max(s.WakeAt, now))
	case placement.Rejected:
		e.answer(now, w, Rejected)
	case placement.Unschedulable:
		e.answer(now, w, Unschedulable)
	case placement.AwaitEnd, placement.Done: // nothing to do
	}
	if s.NextStep == nil {
		delete(e.workloads, w.id)
		e.host.Forget(w.id)
	}
}

// bind offers the workload to the step's node.
func (e *Engine) bind(now placement.Millis, w *workload, s placement.Step) {
	w.node = s.Node
	w.binds++
	e.log.Add(eventlog.Event{
		At: now, Kind: eventlog.Bound, Workload: w.id, Node: w.node, Bind: int32(w.bind()), Group: w.group,
	})
	if e.enforceTimeouts {
		e.timers.set(now, w, now+s.Timeout)
	}
	e.host.Bind(w.id, w.bind(), w.node, s.Timeout)
}

// answer gives the client of a workload that is not placed its final answer.
func (e *Engine) answer(now placement.Millis, w *workload, v Verdict) {
	if !w.wanted() {
		return
	}
	e.log.Add(eventlog.Event{At: now, Kind: eventlog.Answered, Detail: uint8(v), Workload: w.id, Group: w.group})
	e.host.Answer(w.id, v, 0)
}

// reportLoad passes on the load report, if there is one, of a reply that itself comes too late.
func (e *Engine) reportLoad(now placement.Millis, node placement.NodeID, load *placement.LoadReport) {
	if load != nil {
		e.module.ReportLoad(now, node, *load)
	}
}

func (e *Engine) logOutcome(now placement.Millis, w *workload, kind placement.ResultKind, reason placement.Reason) {
	e.log.Add(eventlog.Event{
		At: now, Kind: eventlog.BindOutcome, Detail: uint8(kind), Reason: reason, Workload: w.id, Node: w.node,
		Bind: int32(w.bind()), Group: w.group,
	})
}
