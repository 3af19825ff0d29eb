// Health decides which nodes are ejected as outliers, and which are checked.
//
// Observed: failed contacts in a row, binds that are unanswered for much longer than usual, when a node was last
// heard of, and how many requests this allocator got. The unknown outcome of a bind whose workload was withdrawn is
// no failed contact: clients that withdraw hundreds at once had nodes ejected for seconds.
//
// Cost of an error: a node that fails and stays in use takes binds that are lost, and looks idle while it does. A
// node that is ejected in vain is capacity lost; at most a part of the fleet is ejected, since more failures have a
// common cause. Health checks are paid for by requests: where each allocator has few of them, checking all nodes
// without a recent report would fill the nodes' queues with checks alone, and a fleet without requests needs none.
// An allocator with few requests knows most nodes by the list alone and takes the mean load for them.

package placement

import (
	"cmp"
	"slices"
)

// failureCount counts failed contacts with a node in a row.
type failureCount struct {
	consecutive int
	last        Millis // when a contact last failed; a success does not reset it
}

// add counts a failed contact.
func (f *failureCount) add(now Millis) {
	f.consecutive++
	f.last = now
}

// reset records a contact that did not fail.
func (f *failureCount) reset() {
	f.consecutive = 0
}

// ejects reports whether the failures eject the node, for a time that doubles with each.
func (f *failureCount) ejects(now Millis) bool {
	if f.consecutive == 0 {
		return false
	}
	doublings := min(f.consecutive-1, ejectionDoublings)
	return now-f.last < ejectionTime*Millis(int(1)<<doublings)
}

// healthMonitor decides which nodes are ejected as outliers, and which to check.
type healthMonitor struct {
	settings *Settings
	nodes    *nodeTable
	// seed orders nodes that are due for a check alike, differently at every allocator.
	seed uint64
	// checkCredit is how many health checks our requests have paid for that are not sent yet.
	checkCredit float64
	// confirmations are how long the last maxConfirmations binds took to be confirmed.
	confirmations []Millis
}

// ejected returns the nodes with failed contacts, then those with an overdue bind; at most part of the fleet.
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

// hasOverdueBind reports whether a bind to n has been unanswered for longer than limit. Each decision asks it of every
// node, and few of them have an unanswered bind at a time.
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

// longestConfirmation returns the longest of the last confirmation times.
func (h *healthMonitor) longestConfirmation() Millis {
	if len(h.confirmations) == 0 {
		return defaultConfirmationTime
	}
	return slices.Max(h.confirmations)
}

// recordConfirmation records how long a bind took to be confirmed.
func (h *healthMonitor) recordConfirmation(took Millis) {
	h.confirmations = appendBounded(h.confirmations, took, maxConfirmations)
}

// earnCredit counts a request, which pays for health checks. At most one check of each node is saved up.
func (h *healthMonitor) earnCredit() {
	h.checkCredit = min(h.checkCredit+healthChecksPerRequest, float64(len(h.nodes.sorted)))
}

// dueChecks returns the nodes to check: those without contact for longest, as far as our requests have paid for
// it; else the checks of many allocators would fill the nodes' queues.
func (h *healthMonitor) dueChecks(now Millis) (ids []NodeID) {
	if !h.settings.HealthChecksAllowed || h.checkCredit < 1 {
		return nil
	}
	due := h.withoutContact(now)
	paidFor := min(len(due), int(h.checkCredit))
	for _, n := range due[:paidFor] {
		n.lastHealthCheck = now
		ids = append(ids, n.ID)
	}
	h.checkCredit -= float64(paidFor)
	return ids
}

// withoutContact returns the ready nodes without contact for a while, those without it for longest first.
func (h *healthMonitor) withoutContact(now Millis) (due []*node) {
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

// lastContact returns when n last reported, or a contact last failed or was begun: a check in flight is not repeated at
// once.
func (n *node) lastContact() Millis {
	return max(n.reports.lastAt(), n.failures.last, n.lastHealthCheck)
}
