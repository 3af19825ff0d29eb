// Outcome decides what follows the result of a bind: waiting for the end of the bind, another bind, or the final
// answer.
//
// Inputs: the result, and the idempotency settings of the workload's group.
//
// Cost of an error: another bind of a workload that may already run is a second start, which some groups forbid; a
// final answer although another bind was allowed loses the workload. The answer Rejected for a workload that may run
// lets the client retry it, which may start it twice.

package placement

// resultHandler returns the NextStep function that handles the results of the bind.
func (s *Scheduler) resultHandler(b *bind) func(Millis, Result) Step {
	return func(now Millis, r Result) Step {
		return s.handleResult(now, b, r)
	}
}

// awaitEnd returns a step that does nothing until the bind ends.
func (s *Scheduler) awaitEnd(b *bind) Step {
	return Step{Kind: AwaitEnd, NextStep: s.resultHandler(b)}
}

// handleResult records the result of a bind and returns the workload's next step.
func (s *Scheduler) handleResult(now Millis, b *bind, result Result) Step {
	if result.Load != nil {
		s.ReportLoad(now, b.node.ID, *result.Load)
	}
	s.slowStart.recordResult(now, b, result.Kind)
	switch result.Kind {
	case Confirmed:
		s.confirm(now, b)
		return s.awaitEnd(b)
	case Withdrawn:
		b.workload.withdrawn = true
		return s.awaitEnd(b)
	case Ended:
		s.release(now, b)
		return Step{Kind: Done}
	case RejectedByNode, NotDelivered, NotAttempted, OutcomeUnknown, TimedOut, TimerFired:
	}
	s.release(now, b)
	s.recordFailure(now, b, result)
	return s.retry(now, b.workload, result.Final)
}

// confirm records that the node accepted the workload.
func (s *Scheduler) confirm(now Millis, b *bind) {
	n := b.node
	b.advance(bindConfirmed)
	if s.settings.ConfirmsRunning {
		b.advance(bindRunning)
	}
	s.health.recordConfirmation(now - b.sentAt)
	n.failures.reset()
	n.rejections.removeGroup(b.workload.group)
	s.placed[b.workload.ID] = b
}

// release removes a bind that has failed or ended, so that its resources count as free.
func (s *Scheduler) release(now Millis, b *bind) {
	b.node.removeBind(now, b)
	if s.placed[b.workload.ID] == b {
		delete(s.placed, b.workload.ID)
	}
}

// recordFailure records why a bind failed. Only RejectedByNode, NotDelivered and NotAttempted prove that the workload
// has not run.
func (s *Scheduler) recordFailure(now Millis, b *bind, r Result) {
	n := b.node
	failed := b.workload
	switch r.Kind {
	case RejectedByNode:
		n.failures.reset()
		n.rejections.add(now, failed, r.Reason)
		failed.excluded = append(failed.excluded, n)
		return
	case NotDelivered:
		n.failures.add(now)
		failed.excluded = append(failed.excluded, n)
		return
	case NotAttempted:
		failed.binds = s.settings.MaxBinds // prevents further binds
		return
	case OutcomeUnknown, TimedOut:
	case Confirmed, Ended, Withdrawn: // handled by handleResult
	case TimerFired: // not a result of a bind
	}
	recordUncertain(now, b)
}

// recordUncertain records that a bind failed and that its workload may nevertheless have run.
func recordUncertain(now Millis, b *bind) {
	// A bind of a withdrawn workload is no evidence against its node: a client that withdraws hundreds of workloads
	// simultaneously must not cause nodes to be ejected.
	if !b.workload.withdrawn {
		b.node.failures.add(now)
	}
	if b.workload.firstUncertain == nil {
		b.workload.firstUncertain = b
	}
}

// retry returns the step after a failed bind: Done if the workload is withdrawn or the result is final, the final
// answer if another bind might be a forbidden second start, else the step that schedule returns.
func (s *Scheduler) retry(now Millis, failed *workload, final bool) Step {
	switch {
	case failed.withdrawn || final:
		return Step{Kind: Done}
	case failed.firstUncertain != nil && failed.group.Idempotency == AtMostOnce:
		return finalAnswer(failed)
	}
	return s.schedule(now, failed)
}

// finalAnswer returns the final step of a workload that gets no further bind. Rejected means that a retry by the client
// is harmless. A workload that may run is therefore Rejected only if its group is idempotent or every node recognizes
// the idempotency key, and otherwise Unschedulable.
func finalAnswer(unplaced *workload) Step {
	if unplaced.firstUncertain != nil && unplaced.group.repeatMayHarm() {
		return Step{Kind: Unschedulable}
	}
	return Step{Kind: Rejected}
}

// repeatMayHarm reports whether there may be a node on which a second start of a workload of the group is harmful.
func (g *group) repeatMayHarm() bool {
	switch g.Idempotency {
	case Idempotent:
		return false
	case IdempotentByKey:
		return g.KeyScope != ScopeAll
	case AtMostOnce:
		return true
	}
	return false // no other idempotency is valid in the settings
}
