package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// BindConfirmed handles a node's reply that accepts a bind. If the bind is closed or was confirmed before, only the
// load report is used, and it is attributed to the node of the latest bind. Nothing is sent to the node of a closed
// bind: it was sent a stop when the bind timed out or was withdrawn. A reply for a workload that has left the engine is
// ignored.
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
	if entry.hasClient() {
		e.answerPlaced(now, entry)
	}
	e.execute(now, entry, entry.step.NextStep(now, placement.Result{Kind: placement.Confirmed, Load: load}))
}

// BindEnded handles the end of a bind. For a bind in flight, result.Kind is its outcome. A placed workload has ended,
// whatever result.Kind is. If the bind is not open, only the load report is used.
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

// ConnectionLost handles the loss of the connection to a node. Binds in flight end with an unknown outcome, since the
// node may have accepted them. Placed workloads are assumed to keep running.
func (e *Engine) ConnectionLost(now placement.Millis, node placement.NodeID) {
	for _, entry := range e.workloads.boundTo(node) {
		if !entry.onNode() {
			e.complete(now, entry, placement.Result{Kind: placement.OutcomeUnknown, Final: !entry.hasClient()})
		}
	}
	e.requestTick(now)
}

// ReconcileNode handles the list of this allocator's workloads that a node reports. Workloads placed there for which
// runs returns false have ended.
func (e *Engine) ReconcileNode(
	now placement.Millis, node placement.NodeID, runs func(id placement.WorkloadID, bind int) bool,
) {
	for _, entry := range e.workloads.boundTo(node) {
		if entry.onNode() && !runs(entry.id, entry.bind()) {
			e.complete(now, entry, placement.Result{Kind: placement.Ended, Final: true})
		}
	}
	e.requestTick(now)
}

// NodeLost handles the loss of a node: its binds in flight get an unknown outcome, and its placed workloads end.
func (e *Engine) NodeLost(now placement.Millis, node placement.NodeID) {
	e.ConnectionLost(now, node)
	e.ReconcileNode(now, node, func(placement.WorkloadID, int) bool { return false })
}

// stepDue handles the timer of a workload's step: a wait is over, or a bind has timed out.
func (e *Engine) stepDue(now placement.Millis, entry *workload) {
	if entry.dueAt > now+timeTolerance {
		e.timers.setStep(now, entry, entry.dueAt)
		return
	}
	entry.timer = noTimer
	if entry.step.Kind == placement.Wait {
		e.execute(now, entry, entry.step.NextStep(now, placement.Result{Kind: placement.TimerFired}))
		return
	}
	if e.waitForQueuedReply(now, entry) {
		return
	}
	if entry.hasClient() {
		// An at-most-once workload that the node has accepted must not be stopped, because the answer to its client
		// says that the workload may have run.
		e.host.Stop(entry.id, entry.bind(), entry.node, TimedOut, e.atMostOnce(entry.group))
	}
	e.complete(now, entry, placement.Result{Kind: placement.TimedOut})
}

// waitForQueuedReply sets the timer of a bind again if its reply may have been received and not been handled yet: the
// time that a message waits in the host's queue does not count against the node. It returns false if the bind has timed
// out.
func (e *Engine) waitForQueuedReply(now placement.Millis, entry *workload) bool {
	queue, ok := e.host.(ReplyQueue)
	if !ok || !queue.ReplyQueued(entry.id, entry.bind()) {
		return false
	}
	if entry.queuedReplyUntil == 0 {
		entry.queuedReplyUntil = min(now+placement.MaxQueuedReplyTime, entry.step.AnswerBy)
	}
	if now >= entry.queuedReplyUntil {
		return false
	}
	e.timers.setStep(now, entry, min(now+QueuedReplyInterval, entry.queuedReplyUntil))
	return true
}

// complete ends the open bind of a workload and executes the module's next step.
func (e *Engine) complete(now placement.Millis, entry *workload, result placement.Result) {
	if entry.onNode() {
		result.Kind = placement.Ended
		e.logEnded(now, entry, result.Reason)
		if entry.hasClient() {
			e.host.NotifyEnded(entry.id, entry.node, entry.state == migrating, result.Reason)
		}
	} else {
		e.logOutcome(now, entry, result.Kind, result.Reason)
	}
	entry.timer = noTimer
	e.execute(now, entry, entry.step.NextStep(now, result))
}

// execute carries out a step and stores it until its result arrives. A workload without a next step leaves the engine.
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
		entry.queuedReplyUntil = 0
		e.timers.setStep(now, entry, now+step.Timeout)
	}
	e.host.Bind(entry.id, entry.bind(), entry.node, step.Timeout)
}

// answerPlaced sends the client the answer that a node has confirmed the workload.
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

// answerNotPlaced sends the client the final answer for a workload that was not placed, unless it was withdrawn.
func (e *Engine) answerNotPlaced(now placement.Millis, entry *workload, verdict Verdict) {
	if !entry.hasClient() {
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

// reportLoad passes the load report of a late reply, if it has one, to the module.
func (e *Engine) reportLoad(now placement.Millis, node placement.NodeID, load *placement.LoadReport) {
	if load != nil {
		e.module.ReportLoad(now, node, *load)
	}
}
