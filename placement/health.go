package placement

import (
	"cmp"
	"slices"
)

// failureCount counts failed contacts with a node in a row.
type failureCount struct {
	consecutive int
	last        Millis
}

func (f *failureCount) record(now Millis, failed bool) {
	if failed {
		f.consecutive, f.last = f.consecutive+1, now
	} else {
		f.consecutive = 0
	}
}

// eject reports whether the failures keep the node out of use, for a time that doubles with each.
func (f *failureCount) eject(now Millis) bool {
	return f.consecutive > 0 && now-f.last < ejectionTime*Millis(int(1)<<min(f.consecutive-1, ejectionDoublings))
}

// healthMonitor decides which nodes are ejected as outliers, and which to check.
type healthMonitor struct {
	settings      *Settings
	nodes         *nodeTable
	seed          uint64
	checkCredit   float64  // checks that our requests have paid for and that are not sent yet
	confirmations []Millis // how long the last ones took
}

// ejected returns the nodes with failed contacts, then those with an overdue bind; at most part of the fleet.
func (h *healthMonitor) ejected(now Millis) []*node {
	var suspects [2][]*node // with failed contacts, with an overdue bind
	ready, limit := 0, unresponsiveAfter+h.longestConfirmation()
	for _, n := range h.nodes.sorted {
		if n.State != Ready {
			continue
		}
		ready++
		switch {
		case n.failures.eject(now):
			suspects[0] = append(suspects[0], n)
		case hasOverdue(n.binds, now, limit):
			suspects[1] = append(suspects[1], n)
		}
	}
	all := slices.Concat(suspects[0], suspects[1])
	return all[:min(len(all), ready/minNodesPerEjection)]
}

func hasOverdue(binds []*bind, now, limit Millis) bool {
	return slices.ContainsFunc(binds, func(b *bind) bool { return b.state == bindSent && now-b.sentAt > limit })
}

func (h *healthMonitor) longestConfirmation() Millis {
	if len(h.confirmations) > 0 {
		return slices.Max(h.confirmations)
	}
	return defaultConfirmationTime
}

func (h *healthMonitor) earnCredit() {
	h.checkCredit = min(h.checkCredit+healthChecksPerRequest, float64(len(h.nodes.sorted)))
}

// dueChecks returns the nodes to check: those without contact for longest, as far as our requests have paid
// for it; else the checks of many allocators would fill the nodes' queues.
func (h *healthMonitor) dueChecks(now Millis) (ids []NodeID) {
	if !h.settings.HealthChecksAllowed || h.checkCredit < 1 {
		return nil
	}
	var due []*node
	lastContact := func(n *node) Millis { return max(n.reports.lastAt(), n.failures.last, n.lastHealthCheck) }
	for _, n := range h.nodes.sorted {
		if n.State == Ready && now-lastContact(n) > healthCheckAfter {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(x, y *node) int {
		if c := cmp.Compare(lastContact(x), lastContact(y)); c != 0 {
			return c
		}
		return cmp.Compare(hash(h.seed, uint64(x.ID)), hash(h.seed, uint64(y.ID)))
	})
	for _, n := range due[:min(len(due), int(h.checkCredit))] {
		n.lastHealthCheck = now
		ids = append(ids, n.ID)
	}
	h.checkCredit -= float64(len(ids))
	return ids
}
