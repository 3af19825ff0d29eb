// Schedule decides the next step of a pending workload: a bind, a wait for the first node, or the final answer.
//
// Observed: the time that the client still waits, the binds made so far, and how long confirmations take.
//
// A bind goes through the phases filter (filter.go, health.go), reserve (reservation.go), score (score.go) and bind.
// The phases confirm and retry follow its result (outcome.go).
//
// Cost of an error: a bind timeout that is too short gives up a start that was on its way, and one that is too long
// leaves no time for a further bind; either way the client may get no start in time.

package placement

import "slices"

// Schedule takes a new workload and returns its first step.
func (s *Scheduler) Schedule(now Millis, requested Workload) Step {
	if int(requested.Group) >= len(s.groups) {
		return Step{Kind: Rejected}
	}
	s.health.earnCredit()
	g := &s.groups[requested.Group]
	pending := &workload{
		Workload:  requested,
		group:     g,
		startBy:   now + g.LatencyObjective,
		expiresAt: now + requested.PendingTimeout,
	}
	g.requests = appendBounded(g.requests, request{
		at:      now,
		size:    pending.request(),
		retried: requested.Retried,
	}, maxGroupRequests)
	return s.schedule(now, pending)
}

// Adopt takes over a workload that runs already. The list and the reports count it: no change is recorded.
func (s *Scheduler) Adopt(now Millis, running Workload, id NodeID) Step {
	g := &group{Group: Group{RequiredKind: AnyKind}} // for a group that the settings no longer name
	if int(running.Group) < len(s.groups) {
		g = &s.groups[running.Group]
	}
	adopted := s.nodes.getOrAdd(id).addBind(now, &workload{Workload: running, group: g})
	adopted.advance(bindRunning)
	s.placed[running.ID] = adopted
	return s.awaitEnd(adopted)
}

// schedule offers the workload to the best node, waits while no node is known, or gives the final answer.
func (s *Scheduler) schedule(now Millis, pending *workload) Step {
	if s.shouldAwaitNodes(now, pending) {
		return s.awaitNodes(now, pending)
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

// shouldAwaitNodes reports whether no node is known yet, and one may still come in time for the workload.
func (s *Scheduler) shouldAwaitNodes(now Millis, pending *workload) bool {
	return len(s.nodes.sorted) == 0 && now+emptyListRetry < pending.startBy
}

// awaitNodes has the workload scheduled again after emptyListRetry, unless it is withdrawn meanwhile.
func (s *Scheduler) awaitNodes(now Millis, pending *workload) Step {
	return Step{
		Kind:   Wait,
		WakeAt: now + emptyListRetry,
		NextStep: func(now Millis, r Result) Step {
			if r.Kind == Withdrawn {
				return Step{Kind: Done}
			}
			return s.schedule(now, pending)
		},
	}
}

// selectNode filters the nodes, leaves out what is reserved against the workload, and scores the rest. It returns
// nil where no node is left.
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

// bindTimeout returns how long the next bind may take. One that another bind may follow leaves time for that.
func (s *Scheduler) bindTimeout(pending *workload, remaining Millis) Millis {
	lastBind := pending.group.Idempotency == AtMostOnce || pending.binds+1 >= s.settings.MaxBinds
	if lastBind {
		return remaining
	}
	usual := bindTimeoutFactor * median(s.health.confirmations)
	return min(remaining, max(minBindTimeout, remaining/bindsInRemainingTime, usual))
}

// bind offers the workload to n.
func (s *Scheduler) bind(now Millis, pending *workload, n *node, timeout Millis) Step {
	pending.binds++
	sent := n.addBind(now, pending)
	n.changes.add(now, pending.request())
	s.slowStart.recordSent(now, n)
	return Step{
		Kind:     Bind,
		Node:     n.ID,
		Timeout:  timeout,
		NextStep: s.resultOf(sent),
	}
}
