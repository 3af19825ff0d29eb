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
	group := &s.groups[requested.Group]
	pending := &workload{
		Workload:  requested,
		group:     group,
		startBy:   now + group.LatencyObjective,
		expiresAt: now + requested.PendingTimeout,
	}
	group.requests = appendBounded(group.requests, request{
		at:      now,
		size:    pending.request(),
		retried: requested.Retried,
	}, maxGroupRequests)
	return s.schedule(now, pending)
}

// Adopt takes over a workload that runs already. The list and the reports count it: no change is recorded.
func (s *Scheduler) Adopt(now Millis, w Workload, id NodeID) Step {
	itsGroup := &group{Group: Group{RequiredKind: AnyKind}} // for a group that the settings no longer name
	if int(w.Group) < len(s.groups) {
		itsGroup = &s.groups[w.Group]
	}
	adopted := s.nodes.get(id).addBind(now, &workload{Workload: w, group: itsGroup})
	adopted.advance(bindRunning)
	s.placed[w.ID] = adopted
	return s.awaitEnd(adopted)
}

// schedule offers the workload to the best node, waits while no node is known, or gives the final answer.
func (s *Scheduler) schedule(now Millis, workload *workload) Step {
	if s.shouldAwaitNodes(now, workload) {
		return s.awaitNodes(now, workload)
	}
	remaining := workload.expiresAt - now - answerMargin
	if workload.binds >= s.settings.MaxBinds || remaining <= 0 {
		return finalAnswer(workload)
	}
	selected := s.selectNode(now, workload)
	if selected == nil {
		return finalAnswer(workload)
	}
	timeout := s.bindTimeout(workload, remaining)
	return s.bind(now, workload, selected, timeout)
}

// shouldAwaitNodes reports whether no node is known yet, and one may still come in time for the workload.
func (s *Scheduler) shouldAwaitNodes(now Millis, workload *workload) bool {
	return len(s.nodes.sorted) == 0 && now+emptyListRetry < workload.startBy
}

// awaitNodes has the workload scheduled again in a moment, unless it is withdrawn meanwhile.
func (s *Scheduler) awaitNodes(now Millis, workload *workload) Step {
	return Step{
		Kind:   Wait,
		WakeAt: now + emptyListRetry,
		NextStep: func(now Millis, r Result) Step {
			if r.Kind == Withdrawn {
				return Step{Kind: Done}
			}
			return s.schedule(now, workload)
		},
	}
}

// selectNode filters the nodes, leaves out what is reserved against the workload, and scores the rest. It returns
// nil where no node is left.
func (s *Scheduler) selectNode(now Millis, workload *workload) *node {
	ejected := s.health.ejected(now)
	reserved := s.reservations.against(now, workload)

	// Filter and reserve: find the candidates.
	var running []candidate
	others := make([]candidate, 0, len(s.nodes.sorted))
	for _, n := range s.nodes.sorted {
		if !s.filter.feasible(now, workload, n) || slices.Contains(ejected, n) || reserved.excludes(n) {
			continue
		}
		scored := candidate{node: n, load: s.load.loadWith(now, workload, n)}
		if n.runsService(workload.Service) {
			running = append(running, scored)
		} else {
			others = append(others, scored)
		}
	}

	// Score: select one of them.
	feasible := candidates{running: running, others: others}
	soleAllocator := s.settings.Allocators == 1
	return feasible.best(workload, soleAllocator, s.random)
}

// bindTimeout returns how long the next bind may take. One that another bind may follow leaves time for that.
func (s *Scheduler) bindTimeout(workload *workload, remaining Millis) Millis {
	lastBind := workload.group.Idempotency == AtMostOnce || workload.binds+1 >= s.settings.MaxBinds
	if lastBind {
		return remaining
	}
	usual := bindTimeoutFactor * median(s.health.confirmations)
	return min(remaining, max(minBindTimeout, remaining/bindsInRemainingTime, usual))
}

// bind offers the workload to n.
func (s *Scheduler) bind(now Millis, workload *workload, n *node, timeout Millis) Step {
	workload.binds++
	sent := n.addBind(now, workload)
	n.changes.add(now, workload.request())
	s.slowStart.recordSent(now, n)
	return Step{
		Kind:     Bind,
		Node:     n.ID,
		Timeout:  timeout,
		NextStep: s.resultOf(sent),
	}
}
