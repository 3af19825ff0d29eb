package placement

import "math"

// Scheduler places workloads by what this one allocator has seen. It belongs to one goroutine.
type Scheduler struct {
	settings *Settings
	// groups are the priority groups by GroupID.
	groups []group
	// random breaks ties and spreads polls.
	random *random

	// What is known of the fleet.

	nodes    *nodeTable
	capacity *capacityEstimator
	load     *loadEstimator
	// placed are the confirmed binds, by the id of their workload.
	placed map[WorkloadID]*bind

	// The decisions, each in a file of its own.

	slowStart    *slowStart
	health       *healthMonitor
	filter       *filter
	reservations *reservations
	subscription *subscription
}

// New returns a scheduler that knows no nodes yet. The same settings, seed and calls give the same decisions.
func New(settings Settings, seed uint64) *Scheduler {
	settings.Allocators = max(1, settings.Allocators, settings.Ordinal+1)
	settings.Ordinal = max(0, settings.Ordinal)
	groups := make([]group, 0, len(settings.Groups))
	for _, g := range settings.Groups {
		groups = append(groups, newGroup(g))
	}
	nodes := &nodeTable{
		kinds: settings.NodeKinds,
		byID:  map[NodeID]*node{},
	}
	rng := &random{seed: seed}
	capacity := &capacityEstimator{settings: &settings}
	load := newLoadEstimator(&settings, nodes)
	slowStart := newSlowStart(&settings)
	return &Scheduler{
		settings:  &settings,
		groups:    groups,
		random:    rng,
		nodes:     nodes,
		capacity:  capacity,
		load:      load,
		placed:    map[WorkloadID]*bind{},
		slowStart: slowStart,
		health: &healthMonitor{
			settings: &settings,
			nodes:    nodes,
			seed:     seed,
		},
		filter: &filter{
			nodes:     nodes,
			capacity:  capacity,
			load:      load,
			slowStart: slowStart,
		},
		reservations: newReservations(&settings, groups, nodes, capacity, load),
		subscription: newSubscription(&settings, rng),
	}
}

// UpdateNodes takes a message of the node list. After a failed poll the nodes stay as they are.
func (s *Scheduler) UpdateNodes(now Millis, kind NodeUpdateKind, entries []Node) {
	switch kind {
	case PollFailed:
		s.subscription.failed(now)
		return
	case CachedSnapshot: // kept by the allocator itself: it says nothing of the subscription
	case Delta, Snapshot:
		s.subscription.received(now)
	}
	complete := kind != Delta
	s.nodes.update(now, complete, entries)
}

// ReportLoad takes a load report of a node; one of an unknown node is ignored.
func (s *Scheduler) ReportLoad(now Millis, id NodeID, l LoadReport) {
	if n := s.nodes.byID[id]; n != nil {
		s.load.recordReport(now, n, l)
	}
}

// HealthChecked takes the result of a health check; report is nil where none came with the answer.
func (s *Scheduler) HealthChecked(now Millis, id NodeID, answered bool, report *LoadReport) {
	n := s.nodes.byID[id]
	if n == nil {
		return
	}
	if !answered {
		n.failures.add(now)
		return
	}
	n.failures.reset()
	if report != nil {
		s.load.recordReport(now, n, *report)
	}
}

// ReportUsage takes an observation of a placed workload; one of another workload, or NaN, is ignored.
func (s *Scheduler) ReportUsage(_ Millis, id WorkloadID, kind UsageKind, value float64) {
	observed := s.placed[id]
	if observed == nil || math.IsNaN(value) {
		return
	}
	switch kind {
	case Running:
		observed.advance(bindRunning)
	case CoresUsed:
		observed.usedCores = value
		if observed.workload.Cores > 0 {
			s.load.recordUsage(usageRatio(value / observed.workload.Cores))
		}
	}
}

// Maintain returns what is to be done beside the steps of workloads. It is called again at NextAt.
func (s *Scheduler) Maintain(now Millis) Maintenance {
	if now < s.slowStart.startedAt { // the first call
		s.slowStart.startedAt = now
		s.subscription.start(now)
	}
	s.nodes.prune(now, s.slowStart.window)
	subscribe := s.subscription.due(now)
	healthChecks := s.health.dueChecks(now)
	migrations := dueMigrations(now, s.filter)
	return Maintenance{
		Migrations:   migrations,
		HealthChecks: healthChecks,
		Subscribe:    subscribe,
		NextAt:       now + maintenanceInterval,
	}
}
