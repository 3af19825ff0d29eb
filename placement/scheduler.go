package placement

import (
	"math"
	"slices"
)

// workload is a request that is pending or placed.
type workload struct {
	Workload
	group     *group
	startBy   Millis // end of the latency objective
	expiresAt Millis // end of the pending timeout
	binds     int
	uncertain *bind   // first bind that may have run
	excluded  []*node // nodes that rejected it or could not be reached
	withdrawn bool
}

func (wl *workload) size() resources { return resources{wl.Cores, wl.Memory} }

// bindState is how far a bind is known to have come. It never goes back.
type bindState uint8

const (
	bindSent bindState = iota
	bindConfirmed
	bindRunning
)

// bind is one offer of a workload to a node, until its end is known.
type bind struct {
	workload  *workload
	node      *node
	sentAt    Millis
	state     bindState
	usedCores float64 // as last reported; NaN before
}

func (b *bind) advance(to bindState) { b.state = max(b.state, to) }

// group is a priority group: its settings, what follows from them, and its last requests.
type group struct {
	Group
	loadCap         float64 // load up to which a node takes its workloads
	fullServiceLoad float64 // load up to which they are served in full
	requests        []request
}

func newGroup(g Group) group {
	limit, full := loadCap, loadCap
	if g.FullServiceUtilization > 0 {
		limit = min(1, g.FullServiceUtilization+degradationLimit*g.DegradationRange)
		full = g.FullServiceUtilization
	}
	return group{Group: g, loadCap: limit, fullServiceLoad: full}
}

// Scheduler places workloads by what this one allocator has seen. It belongs to one goroutine.
type Scheduler struct {
	settings     *Settings
	groups       []group
	random       *random
	nodes        *nodeTable
	capacity     *capacityEstimator
	slowStart    *slowStart
	health       *healthMonitor
	reservations *reservations
	filter       *filter
	subscription *subscription
	placed       map[WorkloadID]*bind
}

// New returns a scheduler that knows no nodes yet. The same settings, seed and calls give the same decisions.
func New(settings Settings, seed uint64) *Scheduler {
	settings.Allocators = max(1, settings.Allocators, settings.Ordinal+1)
	settings.Ordinal = max(0, settings.Ordinal)
	s := &Scheduler{settings: &settings, random: &random{seed: seed}, placed: map[WorkloadID]*bind{}}
	for _, g := range settings.Groups {
		s.groups = append(s.groups, newGroup(g))
	}
	s.nodes = &nodeTable{kinds: settings.NodeKinds, byID: map[NodeID]*node{}}
	s.capacity = &capacityEstimator{
		settings: &settings, nodes: s.nodes, usageShare: defaultUsageShare, meanAt: DistantPast,
	}
	s.slowStart = newSlowStart(&settings)
	s.health = &healthMonitor{settings: &settings, nodes: s.nodes, seed: seed}
	s.filter = &filter{s.capacity, s.slowStart}
	s.reservations = newReservations(s.groups, s.capacity)
	renewAfter := min(resubscribeAfter, settings.PollInterval/2)
	s.subscription = &subscription{settings: &settings, random: s.random, renewAfter: renewAfter}
	return s
}

// Schedule takes a new workload and returns its first step.
func (s *Scheduler) Schedule(now Millis, w Workload) Step {
	if int(w.Group) >= len(s.groups) {
		return Step{Kind: Rejected}
	}
	g := &s.groups[w.Group]
	s.health.earnCredit()
	wl := &workload{Workload: w, group: g, startBy: now + g.LatencyObjective, expiresAt: now + w.PendingTimeout}
	g.requests = appendBounded(g.requests, request{now, wl.size(), w.Retried}, maxGroupRequests)
	return s.schedule(now, wl)
}

// Adopt takes over a workload that runs already. The list and the reports count it: no change is recorded.
func (s *Scheduler) Adopt(now Millis, w Workload, id NodeID) Step {
	g := &group{Group: Group{RequiredKind: AnyKind}}
	if int(w.Group) < len(s.groups) {
		g = &s.groups[w.Group]
	}
	b := recordBind(now, &workload{Workload: w, group: g}, s.nodes.get(id))
	b.advance(bindRunning)
	s.placed[w.ID] = b
	return s.awaitEnd(b)
}

// UpdateNodes takes a message of the node list. A failed poll has no entries.
func (s *Scheduler) UpdateNodes(now Millis, kind NodeUpdateKind, entries []Node) {
	if kind == PollFailed {
		s.subscription.failed(now)
		return
	}
	if kind != CachedSnapshot {
		s.subscription.received(now)
	}
	s.nodes.update(now, kind != Delta, entries)
}

// ReportLoad takes a load report of a node; one of an unknown node is ignored.
func (s *Scheduler) ReportLoad(now Millis, id NodeID, l LoadReport) {
	if n := s.nodes.byID[id]; n != nil {
		s.capacity.recordReport(now, n, l)
	}
}

// HealthChecked takes the result of a health check; report is nil where none came with the answer.
func (s *Scheduler) HealthChecked(now Millis, id NodeID, answered bool, report *LoadReport) {
	if n := s.nodes.byID[id]; n != nil {
		n.failures.record(now, !answered)
	}
	if answered && report != nil {
		s.ReportLoad(now, id, *report)
	}
}

// ReportUsage takes an observation of a placed workload; one of another workload, or NaN, is ignored.
func (s *Scheduler) ReportUsage(_ Millis, id WorkloadID, kind UsageKind, value float64) {
	b := s.placed[id]
	if b == nil || math.IsNaN(value) {
		return
	}
	switch kind {
	case Running:
		b.advance(bindRunning)
	case CoresUsed:
		b.usedCores = value
		if b.workload.Cores > 0 {
			s.capacity.recordUsage(value / b.workload.Cores)
		}
	}
}

// Maintain returns what is to be done beside the steps of workloads. It is called again at NextAt.
func (s *Scheduler) Maintain(now Millis) Maintenance {
	if now < s.slowStart.startedAt {
		s.slowStart.startedAt = now
		s.subscription.start(now)
	}
	s.nodes.prune(now, s.slowStart.window)
	return Maintenance{
		NextAt: now + maintenanceInterval, Subscribe: s.subscription.due(now),
		HealthChecks: s.health.dueChecks(now), Migrations: dueMigrations(now, s.nodes, s.filter),
	}
}

// schedule offers wl to the best node, waits while no node is known, or gives the final answer.
func (s *Scheduler) schedule(now Millis, wl *workload) Step {
	if len(s.nodes.sorted) == 0 && now+emptyListRetry < wl.startBy {
		return s.waitForNodes(now, wl)
	}
	remaining := wl.expiresAt - now - answerMargin
	if wl.binds >= s.settings.MaxBinds || remaining <= 0 {
		return finalAnswer(wl)
	}
	n := s.selectNode(now, wl)
	if n == nil {
		return finalAnswer(wl)
	}
	timeout := remaining
	if wl.group.Idempotency != AtMostOnce && wl.binds+1 < s.settings.MaxBinds { // a further bind needs time too
		timeout = min(timeout, max(minBindTimeout, remaining/2, bindTimeoutFactor*median(s.health.confirmations)))
	}
	wl.binds++
	b := recordBind(now, wl, n)
	n.changes.add(now, wl.size())
	if s.slowStart.warmingUp(now, n) {
		n.warmUpBinds = append(n.warmUpBinds, now)
	}
	return Step{Kind: Bind, Node: n.ID, Timeout: timeout, NextStep: s.continuation(b)}
}

func (s *Scheduler) waitForNodes(now Millis, wl *workload) Step {
	return Step{Kind: Wait, WakeAt: now + emptyListRetry, NextStep: func(now Millis, r Result) Step {
		if r.Kind == Withdrawn {
			return Step{Kind: Done}
		}
		return s.schedule(now, wl)
	}}
}

// selectNode filters and scores the nodes; it returns nil where none is feasible.
func (s *Scheduler) selectNode(now Millis, wl *workload) *node {
	ejected, reserved := s.health.ejected(now), s.reservations.against(now, wl)
	var running []candidate
	others := make([]candidate, 0, len(s.nodes.sorted))
	for _, n := range s.nodes.sorted {
		if !s.filter.feasible(now, wl, n) || slices.Contains(ejected, n) || reserved(n) {
			continue
		}
		if c := (candidate{n, s.capacity.load(now, wl, n)}); n.runsService(wl.Service) {
			running = append(running, c)
		} else {
			others = append(others, c)
		}
	}
	return bestCandidate(wl, running, others, s.settings.Allocators == 1, s.random)
}

func recordBind(now Millis, wl *workload, n *node) *bind {
	b := &bind{workload: wl, node: n, sentAt: now, usedCores: math.NaN()}
	n.binds = append(n.binds, b)
	return b
}

func (s *Scheduler) releaseBind(now Millis, b *bind) {
	n, wl := b.node, b.workload
	n.binds = slices.DeleteFunc(n.binds, func(o *bind) bool { return o == b })
	n.changes.add(now, resources{-wl.Cores, -wl.Memory})
	if s.placed[wl.ID] == b {
		delete(s.placed, wl.ID)
	}
}

func (s *Scheduler) awaitEnd(b *bind) Step { return Step{Kind: AwaitEnd, NextStep: s.continuation(b)} }

// continuation returns the function that takes the result of a bind.
func (s *Scheduler) continuation(b *bind) func(Millis, Result) Step {
	return func(now Millis, r Result) Step {
		wl := b.workload
		if r.Load != nil {
			s.ReportLoad(now, b.node.ID, *r.Load)
		}
		s.slowStart.countArrival(now, b, r.Kind)
		switch r.Kind {
		case Confirmed:
			s.confirm(now, b)
			return s.awaitEnd(b)
		case Withdrawn:
			wl.withdrawn = true
			return s.awaitEnd(b)
		}
		s.releaseBind(now, b)
		if r.Kind == Ended {
			return Step{Kind: Done}
		}
		s.recordFailure(now, b, r)
		switch {
		case wl.withdrawn || r.Final:
			return Step{Kind: Done}
		case wl.uncertain != nil && wl.group.Idempotency == AtMostOnce:
			return finalAnswer(wl)
		}
		return s.schedule(now, wl)
	}
}

func (s *Scheduler) confirm(now Millis, b *bind) {
	n, wl := b.node, b.workload
	b.advance(bindConfirmed)
	s.health.confirmations = appendBounded(s.health.confirmations, now-b.sentAt, maxConfirmations)
	n.failures.record(now, false)
	n.rejections = slices.DeleteFunc(n.rejections, func(r rejection) bool { return r.group == wl.group })
	if s.settings.ConfirmsRunning {
		b.advance(bindRunning)
	}
	s.placed[wl.ID] = b
}

// recordFailure records why a bind failed. It may have run unless the result proves otherwise.
func (s *Scheduler) recordFailure(now Millis, b *bind, r Result) {
	n, wl := b.node, b.workload
	switch r.Kind {
	case RejectedByNode:
		n.failures.record(now, false)
		n.rejections = appendBounded(n.rejections, rejection{now, wl.group, wl.size(), r.Reason}, maxRejections)
		wl.excluded = append(wl.excluded, n)
	case NotDelivered:
		n.failures.record(now, true)
		wl.excluded = append(wl.excluded, n)
	case NotAttempted:
		wl.binds = s.settings.MaxBinds
	default:
		// Clients that withdraw hundreds of workloads at once had nodes ejected: a withdrawal says nothing of them.
		if !wl.withdrawn {
			n.failures.record(now, true)
		}
		if wl.uncertain == nil {
			wl.uncertain = b
		}
	}
}

// finalAnswer answers a workload that gets no further bind. Rejected promises that a retry by the client is
// harmless, so a workload that may run is rejected only where every node recognizes a repeat.
func finalAnswer(wl *workload) Step {
	g := wl.group
	unsafe := g.Idempotency == AtMostOnce || g.Idempotency == IdempotentByKey && g.KeyScope != ScopeAll
	if wl.uncertain != nil && unsafe {
		return Step{Kind: Unschedulable}
	}
	return Step{Kind: Rejected}
}
