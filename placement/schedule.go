// Schedule decides the next step of a pending workload: a bind, a wait for the first node, or the final answer.
//
// Inputs: the time until the pending timeout, the number of binds so far, and the recent confirmation times.
//
// A bind goes through the phases filter (filter.go, health.go), reserve (reservation.go), score (score.go) and bind.
// The phases confirm and retry follow its result (outcome.go).
//
// Cost of an error: a bind timeout that is too short ends a bind that would have been confirmed; one that is too long
// leaves no time for another bind. In both cases the workload may not start in time.

package placement

import "slices"

// Schedule takes a new workload and returns its first step, which is Rejected if the group is not in the settings.
func (s *Scheduler) Schedule(now Millis, requested Workload) Step {
	if int(requested.Group) >= len(s.groups) {
		return Step{Kind: Rejected}
	}
	s.health.addCheckCredit()
	g := &s.groups[requested.Group]
	pending := &workload{
		Workload:      requested,
		group:         g,
		startDeadline: now + g.LatencyObjective,
		expiresAt:     now + requested.PendingTimeout,
	}
	g.requests = appendBounded(g.requests, request{
		at:      now,
		size:    pending.request(),
		retried: requested.Retried,
	}, maxGroupRequests)
	return s.schedule(now, pending)
}

// Adopt adds a workload that already runs on the node with that ID and returns its step. The node list and the load
// reports already include its resources, so no change is recorded in the change log.
func (s *Scheduler) Adopt(now Millis, running Workload, id NodeID) Step {
	g := &group{Group: Group{RequiredKind: AnyKind}} // default if the group is not in the settings
	if int(running.Group) < len(s.groups) {
		g = &s.groups[running.Group]
	}
	adopted := s.nodes.getOrAdd(id).addBind(now, &workload{Workload: running, group: g})
	adopted.advance(bindRunning)
	adopted.unverified = true
	s.placed[running.ID] = adopted
	return s.awaitEnd(adopted)
}

// schedule returns the next step of the workload: a bind to the best node, a wait while the node table is empty, or the
// final answer.
func (s *Scheduler) schedule(now Millis, pending *workload) Step {
	if s.shouldWaitForNodes(now, pending) {
		return s.waitForNodes(now, pending)
	}
	remaining := pending.expiresAt - now - answerMargin
	if pending.binds >= s.settings.MaxBinds || remaining <= 0 {
		return finalAnswer(pending)
	}
	selected := s.selectNode(now, pending)
	if selected == nil {
		return finalAnswer(pending)
	}
	timeout := s.bindTimeout(pending, remaining)
	return s.bind(now, pending, selected, timeout)
}

// shouldWaitForNodes reports whether the node table is empty and a further attempt is possible before startDeadline.
func (s *Scheduler) shouldWaitForNodes(now Millis, pending *workload) bool {
	return len(s.nodes.sorted) == 0 && now+emptyNodeListRetryInterval < pending.startDeadline
}

// waitForNodes returns a Wait after which the workload is scheduled again, unless it is withdrawn first.
func (s *Scheduler) waitForNodes(now Millis, pending *workload) Step {
	return Step{
		Kind:   Wait,
		WakeAt: now + emptyNodeListRetryInterval,
		NextStep: func(now Millis, r Result) Step {
			if r.Kind == Withdrawn {
				return Step{Kind: Done}
			}
			return s.schedule(now, pending)
		},
	}
}

// selectNode filters the nodes, excludes those reserved for other requests, and scores the rest. It returns nil if no
// node is left.
func (s *Scheduler) selectNode(now Millis, pending *workload) *node {
	ejected := s.health.ejected(now)
	reserved := s.reservations.against(now, pending)

	// Filter and reserve: find the candidates.
	var running []candidate
	others := make([]candidate, 0, len(s.nodes.sorted))
	for _, n := range s.nodes.sorted {
		if !s.filter.feasible(now, pending, n) || slices.Contains(ejected, n) || reserved.excludes(n) {
			continue
		}
		scored := candidate{node: n, load: s.load.loadWith(now, pending, n)}
		if n.runsService(pending.Service) {
			running = append(running, scored)
		} else {
			others = append(others, scored)
		}
	}

	// Score: select one of them.
	feasible := candidates{running: running, others: others}
	soleAllocator := s.settings.Allocators == 1
	return feasible.best(pending, soleAllocator, s.random)
}

// bindTimeout returns the timeout of the next bind. Unless it is the last one, it leaves time for another bind where
// the minimum timeouts allow it.
func (s *Scheduler) bindTimeout(pending *workload, remaining Millis) Millis {
	lastBind := pending.group.Idempotency == AtMostOnce || pending.binds+1 >= s.settings.MaxBinds
	if lastBind {
		return remaining
	}
	usual := bindTimeoutFactor * median(s.health.confirmations)
	return min(remaining, max(minBindTimeout, remaining/remainingTimeDivisor, usual))
}

// bind records an offer of the workload to n and returns the step that sends it.
func (s *Scheduler) bind(now Millis, pending *workload, n *node, timeout Millis) Step {
	pending.binds++
	sent := n.addBind(now, pending)
	n.changes.add(now, pending.request())
	s.slowStart.recordSent(now, n)
	return Step{
		Kind:     Bind,
		Node:     n.ID,
		Timeout:  timeout,
		AnswerBy: pending.expiresAt - answerMargin,
		NextStep: s.resultHandler(sent),
	}
}
