package placement

import "slices"

// dueMigrations returns the workloads to move off overloaded nodes now, at most one a node.
func dueMigrations(now Millis, nodes *nodeTable, f *filter) (ids []WorkloadID) {
	for _, n := range nodes.sorted {
		if b := migrationCandidate(now, n, nodes, f); b != nil {
			n.lastMigration = now
			ids = append(ids, b.workload.ID)
		}
	}
	return ids
}

// migrationCandidate returns a bind to move off n, or nil: n stays overloaded, and another node is feasible.
func migrationCandidate(now Millis, n *node, nodes *nodeTable, f *filter) *bind {
	if now-n.lastMigration < migrationInterval || !overloaded(now, n) {
		return nil
	}
	var worst *bind // uses most beyond its request
	excess := func(b *bind) float64 { return b.usedCores - b.workload.Cores }
	for _, b := range n.binds {
		if b.state == bindRunning && b.workload.group.Idempotency != AtMostOnce && b.usedCores > b.workload.Cores &&
			(worst == nil || excess(b) > excess(worst)) {
			worst = b
		}
	}
	if worst == nil || !slices.ContainsFunc(nodes.sorted, func(other *node) bool {
		return other != n && f.feasible(now, worst.workload, other)
	}) {
		return nil
	}
	return worst
}

// overloaded reports whether n was above the cap for the whole migration window, and is by a fresh report.
func overloaded(now Millis, n *node) bool {
	if len(n.reports) == 0 || now-n.reports.lastAt() > 2*healthCheckAfter {
		return false
	}
	since, count := now, 0
	for _, r := range slices.Backward(n.reports) {
		if !(r.used.Cores > loadCap*n.size.Cores) { // also where the report lacks the value (NaN)
			break
		}
		since, count = r.at, count+1
	}
	return count >= migrationReports && now-since >= migrationWindow
}
