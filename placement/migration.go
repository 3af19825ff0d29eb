// Migration decides which placed workloads are moved off overloaded nodes.
//
// Observed: a node's load reports over the migration window, what our workloads there were seen to use, and whether
// another node is feasible for them.
//
// Cost of an error: a workload that is moved in vain loses the time of a restart; one that is not moved, or too
// late, keeps every workload on the node slow. Workloads that must not start twice are never moved.

package placement

import "slices"

// dueMigrations returns the workloads to move off overloaded nodes now, at most one for each node.
func dueMigrations(now Millis, f *filter) (ids []WorkloadID) {
	for _, n := range f.nodes.sorted {
		if moved := migrationCandidate(now, n, f); moved != nil {
			n.lastMigration = now
			ids = append(ids, moved.workload.ID)
		}
	}
	return ids
}

// migrationCandidate returns the bind to move off n, or nil where there is none: n is not overloaded, its last
// migration is too recent, no workload may be moved, or no other node is feasible.
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

// furthestOverRequest returns the bind to n that uses most cores beyond its request, of those that may be moved;
// nil where none uses more than it requests.
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

// overusesCores reports whether the workload was seen to use more cores than it requests.
func (b *bind) overusesCores() bool {
	return b.usedCores > b.workload.Cores
}

// excessCores returns the cores that the workload uses beyond its request.
func (b *bind) excessCores() float64 {
	return b.usedCores - b.workload.Cores
}

// feasibleElsewhere reports whether the workload may go to a node other than current.
func (f *filter) feasibleElsewhere(now Millis, w *workload, current *node) bool {
	return slices.ContainsFunc(f.nodes.sorted, func(other *node) bool {
		return other != current && f.feasible(now, w, other)
	})
}

// overloaded reports whether n was above the threshold for the whole migration window, and is by a recent report.
func (n *node) overloaded(now Millis) bool {
	if len(n.reports) == 0 || now-n.reports.lastAt() > overloadReportMaxAge {
		return false
	}
	since := now
	reports := 0
	for _, report := range slices.Backward(n.reports) {
		if !(report.used.Cores > overloadThreshold*n.size.Cores) { // also where the report lacks the value (NaN)
			break
		}
		since = report.at
		reports++
	}
	return reports >= migrationReports && now-since >= migrationWindow
}
