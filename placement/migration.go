// Migration decides which placed workloads are moved off overloaded nodes.
//
// Inputs: a node's load reports over migrationWindow, the core usage of this allocator's workloads on it, and whether
// another node is feasible for them.
//
// Cost of an error: an unnecessary migration costs the workload the time of a restart; without a migration, or with a
// late one, every workload on the node stays slow. AtMostOnce workloads are never migrated, because they must not start
// twice.

package placement

import "slices"

// dueMigrations returns the workloads to migrate now, at most one per node, and records the migration on the node.
func dueMigrations(now Millis, f *filter) (ids []WorkloadID) {
	for _, n := range f.nodes.sorted {
		if moved := migrationCandidate(now, n, f); moved != nil {
			n.lastMigration = now
			ids = append(ids, moved.workload.ID)
		}
	}
	return ids
}

// migrationCandidate returns the bind to migrate off n. It returns nil if n is not overloaded, its last migration is
// too recent, none of its workloads may be migrated, or no other node is feasible.
func migrationCandidate(now Millis, n *node, f *filter) *bind {
	if now-n.lastMigration < migrationInterval || !n.overloaded(now) {
		return nil
	}
	worst := n.furthestOverRequest()
	if worst == nil || !f.feasibleElsewhere(now, worst.workload, n) {
		return nil
	}
	return worst
}

// furthestOverRequest returns the bind to n whose workload uses the most cores in excess of its request, among those
// that may be migrated. It returns nil if none exceeds its request.
func (n *node) furthestOverRequest() *bind {
	var worst *bind
	for _, b := range n.binds {
		if b.state != bindRunning || b.workload.group.Idempotency == AtMostOnce {
			continue
		}
		if b.overusesCores() && (worst == nil || b.excessCores() > worst.excessCores()) {
			worst = b
		}
	}
	return worst
}

// overusesCores reports whether the workload used more cores than it requests at the last observation.
func (b *bind) overusesCores() bool {
	return b.usedCores > b.workload.Cores
}

// excessCores returns the number of cores in use by the workload in excess of its request.
func (b *bind) excessCores() float64 {
	return b.usedCores - b.workload.Cores
}

// feasibleElsewhere reports whether a node other than current is feasible for the workload.
func (f *filter) feasibleElsewhere(now Millis, w *workload, current *node) bool {
	return slices.ContainsFunc(f.nodes.sorted, func(other *node) bool {
		return other != current && f.feasible(now, w, other)
	})
}

// overloaded reports whether the load reports of n have been above overloadThreshold for at least migrationWindow. It
// returns false for fewer than minOverloadReports such reports, or if the last one is older than maxOverloadReportAge.
func (n *node) overloaded(now Millis) bool {
	if len(n.reports) == 0 || now-n.reports.lastAt() > maxOverloadReportAge {
		return false
	}
	since := now
	reports := 0
	for _, report := range slices.Backward(n.reports) {
		if !(report.used.Cores > overloadThreshold*n.size.Cores) { // also true if the report lacks the value (NaN)
			break
		}
		since = report.at
		reports++
	}
	return reports >= minOverloadReports && now-since >= migrationWindow
}
