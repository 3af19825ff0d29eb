package placement

import "math"

// Scheduler places workloads for one allocator, based on the observations of that allocator alone. It is not safe for
// concurrent use.
type Scheduler struct {
	settings *Settings
	// groups are the priority groups by GroupID.
	groups []group
	// random breaks ties and spreads polls.
	random *random

	// The state of the fleet, as observed or estimated.

	nodes    *nodeTable
	capacity *capacityEstimator
	load     *loadEstimator
	// placed are the confirmed binds, by workload ID.
	placed map[WorkloadID]*bind

	// The components that decide, each in its own file.

	slowStart    *slowStart
	health       *healthMonitor
	filter       *filter
	reservations *reservations
	subscription *subscription
}

// New returns a scheduler without nodes. The same settings, seed and calls give the same decisions. The number of
// allocators is raised to at least 1 and settings.Ordinal+1; a negative ordinal counts as 0.
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

// UpdateNodes applies a message of the node list. A failed poll does not change the nodes.
func (s *Scheduler) UpdateNodes(now Millis, kind NodeUpdateKind, entries []Node) {
	switch kind {
	case PollFailed:
		s.subscription.recordFailure(now)
		return
	case CachedSnapshot: // stored by the allocator itself, so it does not show that the subscription works
	case Delta, Snapshot:
		s.subscription.recordEvent(now)
	}
	complete := kind != Delta
	s.nodes.update(now, complete, entries)
}

// ReportLoad records a load report of a node. A report of a node that is not in the node table is ignored.
func (s *Scheduler) ReportLoad(now Millis, id NodeID, l LoadReport) {
	if n := s.nodes.byID[id]; n != nil {
		s.load.recordReport(now, n, l)
	}
}

// HealthChecked records the result of a health check. report is nil if the reply contains no load report. A result for
// a node that is not in the node table is ignored.
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

// ReportUsage records an observation of a placed workload. A value of NaN, and an observation of a workload that is not
// placed, are ignored.
func (s *Scheduler) ReportUsage(_ Millis, id WorkloadID, kind UsageKind, value float64) {
	observed := s.placed[id]
	if observed == nil || math.IsNaN(value) {
		return
	}
	observed.unverified = false
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

// Maintain performs the periodic work and returns the actions that the caller must take beside the steps of workloads.
// The caller must call it again at Maintenance.NextAt.
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
