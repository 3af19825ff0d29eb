// Outcome decides what follows the result of a bind: wait for its end, another bind, or the final answer.
//
// Observed: the result, and what the workload's group says of a second start.
//
// Cost of an error: a further bind of a workload that may run already is a second start, which some groups forbid;
// a final answer where another bind was allowed loses the workload. Rejected where it may run invites the client to
// start it twice.

package placement

// resultOf returns the continuation that takes each result of the bind.
func (s *Scheduler) resultOf(b *bind) func(Millis, Result) Step {
	return func(now Millis, r Result) Step {
		return s.takeResult(now, b, r)
	}
}

// awaitEnd returns the step of a workload for which nothing is to be done until the bind ends.
func (s *Scheduler) awaitEnd(b *bind) Step {
	return Step{Kind: AwaitEnd, NextStep: s.resultOf(b)}
}

// takeResult records the result of a bind and returns the workload's next step.
func (s *Scheduler) takeResult(now Millis, b *bind, result Result) Step {
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
	n.rejections.forgetGroup(b.workload.group)
	s.placed[b.workload.ID] = b
}

// release forgets a bind that has ended, so that its resources count as free.
func (s *Scheduler) release(now Millis, b *bind) {
	b.node.removeBind(now, b)
	if s.placed[b.workload.ID] == b {
		delete(s.placed, b.workload.ID)
	}
}

// recordFailure records why a bind failed. Only the first three results prove that the workload has not run.
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
		failed.binds = s.settings.MaxBinds // no further one is made either
		return
	case OutcomeUnknown, TimedOut:
	case Confirmed, Ended, Withdrawn: // takeResult handles them itself
	case TimerFired: // no result of a bind
	}
	recordUncertain(now, b)
}

// recordUncertain records that a bind failed and may have run all the same.
func recordUncertain(now Millis, b *bind) {
	// Clients that withdraw hundreds of workloads at once had nodes ejected: a withdrawal says nothing of them.
	if !b.workload.withdrawn {
		b.node.failures.add(now)
	}
	if b.workload.uncertain == nil {
		b.workload.uncertain = b
	}
}

// retry returns the step after a failed bind: another bind, unless nobody waits for it or it might be a second start.
func (s *Scheduler) retry(now Millis, failed *workload, final bool) Step {
	switch {
	case failed.withdrawn || final:
		return Step{Kind: Done}
	case failed.uncertain != nil && failed.group.Idempotency == AtMostOnce:
		return finalAnswer(failed)
	}
	return s.schedule(now, failed)
}

// finalAnswer answers a workload that gets no further bind. Rejected promises that a retry by the client is
// harmless, so a workload that may run is rejected only where every node recognizes a repeat.
func finalAnswer(unplaced *workload) Step {
	if unplaced.uncertain != nil && unplaced.group.repeatMayHarm() {
		return Step{Kind: Unschedulable}
	}
	return Step{Kind: Rejected}
}

// repeatMayHarm reports whether there is a node on which a second start of a workload of the group does harm.
func (g *group) repeatMayHarm() bool {
	switch g.Idempotency {
	case Idempotent:
		return false
	case IdempotentByKey:
		return g.KeyScope != ScopeAll
	case AtMostOnce:
		return true
	}
	return false // settings name no other idempotency
}
