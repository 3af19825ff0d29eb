// Health decides which nodes are ejected as outliers and which nodes get a health check.
//
// Inputs: consecutive failed contacts, binds that are unanswered for much longer than usual, the time of the last
// contact with each node, and the number of requests that this allocator received. The unknown outcome of a bind whose
// workload was withdrawn does not count as a failed contact: otherwise a client that withdraws hundreds of workloads
// simultaneously causes nodes to be ejected for seconds.
//
// Cost of an error: a failed node that is not ejected looks idle, and the binds sent to it are lost. A healthy node
// that is ejected is lost capacity; only a part of the fleet can be ejected, because more failures probably have a
// common cause. The number of health checks is limited by the number of requests: if many allocators with few requests
// each checked all nodes without a recent report, the checks alone would fill the nodes' queues, and a fleet without
// requests needs no checks. An allocator with few requests therefore has load reports of few nodes and assumes the mean
// load for the others.

package placement

import (
	"cmp"
	"slices"
)

// failureCount counts consecutive failed contacts with a node.
type failureCount struct {
	consecutive int
	last        Millis // time of the last failed contact; reset does not change it
}

// add records a failed contact.
func (f *failureCount) add(now Millis) {
	f.consecutive++
	f.last = now
}

// reset records a successful contact.
func (f *failureCount) reset() {
	f.consecutive = 0
}

// ejects reports whether the node is ejected because of its failures. The ejection time starts at ejectionTime and
// doubles with each consecutive failure, up to ejectionDoublings times.
func (f *failureCount) ejects(now Millis) bool {
	if f.consecutive == 0 {
		return false
	}
	doublings := min(f.consecutive-1, ejectionDoublings)
	return now-f.last < ejectionTime*Millis(int(1)<<doublings)
}

// healthMonitor decides which nodes are ejected and which nodes get a health check.
type healthMonitor struct {
	settings *Settings
	nodes    *nodeTable
	// seed determines the order of checks of nodes with the same last contact. It differs between allocators, so that
	// they do not all check the same nodes first.
	seed uint64
	// checkCredit is the number of health checks that may be sent now. Requests add to it, checks subtract from it.
	checkCredit float64
	// confirmations are the confirmation times of the last maxConfirmations confirmed binds.
	confirmations []Millis
}

// ejected returns the ejected nodes: those with failed contacts first, then those with an overdue bind. It returns at
// most one node per minNodesPerEjection ready nodes.
func (h *healthMonitor) ejected(now Millis) []*node {
	var failing []*node
	var unresponsive []*node
	ready := 0
	limit := unresponsiveAfter + h.longestConfirmation()
	for _, n := range h.nodes.sorted {
		if n.State != Ready {
			continue
		}
		ready++
		switch {
		case n.failures.ejects(now):
			failing = append(failing, n)
		case n.hasOverdueBind(now, limit):
			unresponsive = append(unresponsive, n)
		}
	}
	outliers := slices.Concat(failing, unresponsive)
	return outliers[:min(len(outliers), ready/minNodesPerEjection)]
}

// hasOverdueBind reports whether a bind to n has been unanswered for longer than limit. Every decision calls it for
// every node, so it returns early for the nodes without unanswered binds, which are most of them.
func (n *node) hasOverdueBind(now, limit Millis) bool {
	if n.unanswered == 0 {
		return false
	}
	for _, b := range n.binds {
		if b.overdue(now, limit) {
			return true
		}
	}
	return false
}

// longestConfirmation returns the longest recent confirmation time, or defaultConfirmationTime before the first.
func (h *healthMonitor) longestConfirmation() Millis {
	if len(h.confirmations) == 0 {
		return defaultConfirmationTime
	}
	return slices.Max(h.confirmations)
}

// recordConfirmation records the time from the offer of a bind to its confirmation.
func (h *healthMonitor) recordConfirmation(took Millis) {
	h.confirmations = appendBounded(h.confirmations, took, maxConfirmations)
}

// addCheckCredit adds the health checks that one request allows to the credit, which is at most one check per node.
func (h *healthMonitor) addCheckCredit() {
	h.checkCredit = min(h.checkCredit+healthChecksPerRequest, float64(len(h.nodes.sorted)))
}

// dueChecks returns the nodes to check now, those with the oldest contact first, and subtracts them from the credit.
// Without the limit by credit, the checks of many allocators would fill the nodes' queues.
func (h *healthMonitor) dueChecks(now Millis) (ids []NodeID) {
	if !h.settings.HealthChecksAllowed || h.checkCredit < 1 {
		return nil
	}
	due := h.nodesWithoutContact(now)
	allowed := min(len(due), int(h.checkCredit))
	for _, n := range due[:allowed] {
		n.lastHealthCheck = now
		ids = append(ids, n.ID)
	}
	h.checkCredit -= float64(allowed)
	return ids
}

// nodesWithoutContact returns the ready nodes without contact for longer than healthCheckAfter, those with the oldest
// contact first.
func (h *healthMonitor) nodesWithoutContact(now Millis) (due []*node) {
	for _, n := range h.nodes.sorted {
		if n.State == Ready && now-n.lastContact() > healthCheckAfter {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(x, y *node) int {
		if order := cmp.Compare(x.lastContact(), y.lastContact()); order != 0 {
			return order
		}
		return cmp.Compare(hash(h.seed, uint64(x.ID)), hash(h.seed, uint64(y.ID)))
	})
	return due
}

// lastContact returns the time of the last load report of n, failed contact with it or health check sent to it. Checks
// count from when they are sent, so that a check in flight is not repeated.
func (n *node) lastContact() Millis {
	return max(n.reports.lastAt(), n.failures.last, n.lastHealthCheck)
}
