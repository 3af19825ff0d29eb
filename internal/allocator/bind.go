package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// BindConfirmed handles a node's reply that it has accepted a bind. For a bind that has ended meanwhile only the load
// report counts: the node has been notified of the end.
func (e *Engine) BindConfirmed(
	now placement.Millis, id placement.WorkloadID, bind int, load *placement.LoadReport,
) {
	entry := e.workloads[id]
	if entry == nil {
		return
	}
	if entry.onNode() || !entry.isOpen(bind) {
		e.reportLoad(now, entry.node, load)
		return
	}
	entry.confirm()
	entry.timer = noTimer
	e.logOutcome(now, entry, placement.Confirmed, placement.ReasonUnspecified)
	if entry.wanted() {
		e.answerPlaced(now, entry)
	}
	e.execute(now, entry, entry.step.NextStep(now, placement.Result{Kind: placement.Confirmed, Load: load}))
}

// BindEnded handles the end of a bind. Where it was in flight, result.Kind says how it ended; a placed workload has
// ended, whatever result.Kind is. For a bind that ended before only the load report counts.
func (e *Engine) BindEnded(
	now placement.Millis, id placement.WorkloadID, bind int, node placement.NodeID, result placement.Result,
) {
	entry := e.workloads[id]
	if entry == nil || !entry.isOpen(bind) {
		e.reportLoad(now, node, result.Load)
		return
	}
	e.complete(now, entry, result)
	e.requestTick(now)
}

// ConnectionLost handles the loss of the connection to a node. What was in flight there may have run; what is placed
// there is taken to run on.
func (e *Engine) ConnectionLost(now placement.Millis, node placement.NodeID) {
	for _, entry := range e.workloads.on(node) {
		if !entry.onNode() {
			e.complete(now, entry, placement.Result{Kind: placement.OutcomeUnknown, Final: !entry.wanted()})
		}
	}
	e.requestTick(now)
}

// ReconcileNode handles a node's own list of our workloads there: the placed ones for which runs returns false have
// ended.
func (e *Engine) ReconcileNode(
	now placement.Millis, node placement.NodeID, runs func(id placement.WorkloadID, bind int) bool,
) {
	for _, entry := range e.workloads.on(node) {
		if entry.onNode() && !runs(entry.id, entry.bind()) {
			e.complete(now, entry, placement.Result{Kind: placement.Ended, Final: true})
		}
	}
	e.requestTick(now)
}

// NodeLost handles the loss of a node with all that was in flight or placed there.
func (e *Engine) NodeLost(now placement.Millis, node placement.NodeID) {
	e.ConnectionLost(now, node)
	e.ReconcileNode(now, node, func(placement.WorkloadID, int) bool { return false })
}

// stepDue handles the timer of a workload's step: the end of a wait, or the timeout of a bind.
func (e *Engine) stepDue(now placement.Millis, entry *workload) {
	if entry.due > now+clockGrain {
		e.timers.setStep(now, entry, entry.due)
		return
	}
	entry.timer = noTimer
	if entry.step.Kind == placement.Wait {
		e.execute(now, entry, entry.step.NextStep(now, placement.Result{Kind: placement.TimerFired}))
		return
	}
	if entry.wanted() {
		// What may run at most once and has been accepted must not be stopped: its client is answered that it may have
		// run.
		e.host.Stop(entry.id, entry.bind(), entry.node, TimedOut, e.atMostOnce(entry.group))
	}
	e.complete(now, entry, placement.Result{Kind: placement.TimedOut})
}

// complete ends the open bind of a workload and executes the module's next step.
func (e *Engine) complete(now placement.Millis, entry *workload, result placement.Result) {
	if entry.onNode() {
		result.Kind = placement.Ended
		e.logEnded(now, entry, result.Reason)
		if entry.wanted() {
			e.host.NotifyEnded(entry.id, entry.node, entry.state == migrating, result.Reason)
		}
	} else {
		e.logOutcome(now, entry, result.Kind, result.Reason)
	}
	entry.timer = noTimer
	e.execute(now, entry, entry.step.NextStep(now, result))
}

// execute does what a step says and keeps it for its result. A workload without a next step is forgotten.
func (e *Engine) execute(now placement.Millis, entry *workload, step placement.Step) {
	entry.step = step
	switch step.Kind {
	case placement.Bind:
		e.bind(now, entry, step)
	case placement.Wait:
		e.timers.setStep(now, entry, max(step.WakeAt, now))
	case placement.Rejected:
		e.answerNotPlaced(now, entry, Rejected)
	case placement.Unschedulable:
		e.answerNotPlaced(now, entry, Unschedulable)
	case placement.AwaitEnd, placement.Done: // nothing to do
	}
	if step.NextStep == nil {
		delete(e.workloads, entry.id)
		e.host.Forget(entry.id)
	}
}

// bind offers the workload to the step's node.
func (e *Engine) bind(now placement.Millis, entry *workload, step placement.Step) {
	entry.node = step.Node
	entry.binds++
	e.logBound(now, entry)
	if e.enforceTimeouts {
		e.timers.setStep(now, entry, now+step.Timeout)
	}
	e.host.Bind(entry.id, entry.bind(), entry.node, step.Timeout)
}

// answerPlaced answers the client of a workload that its node has confirmed.
func (e *Engine) answerPlaced(now placement.Millis, entry *workload) {
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.Answered,
		Detail:   uint8(Placed),
		Workload: entry.id,
		Node:     entry.node,
	})
	e.host.Answer(entry.id, Placed, entry.node)
}

// answerNotPlaced gives the client of a workload that is not placed its final answer, if it still wants one.
func (e *Engine) answerNotPlaced(now placement.Millis, entry *workload, verdict Verdict) {
	if !entry.wanted() {
		return
	}
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.Answered,
		Detail:   uint8(verdict),
		Workload: entry.id,
		Group:    entry.group,
	})
	e.host.Answer(entry.id, verdict, 0)
}

// reportLoad passes on the load report, if there is one, of a reply that itself comes too late.
func (e *Engine) reportLoad(now placement.Millis, node placement.NodeID, load *placement.LoadReport) {
	if load != nil {
		e.module.ReportLoad(now, node, *load)
	}
}
