// Reservation decides which nodes are excluded for a workload because their capacity is reserved for requests of higher
// value.
//
// Inputs: the recent requests to this allocator by group, size and whether they are retries, the number of allocators,
// and the estimates of capacity and load.
//
// If a full fleet accepts all requests alike, it rejects requests of the highest value, above all large ones, which
// need their capacity on one node. Slots of the size of the largest request of higher priority weight are therefore
// reserved: as many as the recent requests of that kind take, and at least one. While there are fewer free slots
// than that, the nodes with the most slots get no other workloads, so that free capacity accumulates on single nodes.
// The requests to this allocator are an estimate of those to all allocators: they are counted over a longer time and
// multiplied, and the reserved slots are limited so that a part of the fleet stays open. Among groups of equal weight,
// first requests have precedence over retries: most of the value of a short workload comes from a first start within
// the latency objective, which a retry cannot achieve.
//
// Cost of an error: a slot too many leaves capacity idle if few requests of higher weight follow, and retries wait
// longer on a fleet that stays full; a slot too few rejects a request of higher value than the one that took its place.

package placement

import (
	"iter"
	"math"
	"slices"
)

// request is the record of a request to this allocator that reservations count.
type request struct {
	at      Millis
	size    resources
	retried bool
}

// slots is a number of slots. A slot is the capacity for one request of a given size. The number has a fraction if the
// last slot is partial, and is negative for a node above its caps.
type slots float64

// whole returns the number of whole slots, at least 0.
func (s slots) whole() slots {
	return slots(max(0, math.Floor(float64(s))))
}

// reservations reserves capacity for groups of higher priority weight, and for first requests over retries.
type reservations struct {
	groups   []group
	nodes    *nodeTable
	capacity *capacityEstimator
	load     *loadEstimator
	// window is the time over which the requests to this allocator are counted.
	window Millis
	// requestMultiplier is the estimated number of requests to all allocators within reservationWindow per request to
	// this allocator within window. All allocators are assumed to receive equally many.
	requestMultiplier float64
}

// newReservations returns reservations that count the requests in groups; the scheduler adds requests there. window
// is reservationWindow times the number of allocators, up to maxReservationWindows. If there are more allocators,
// requestMultiplier grows instead.
func newReservations(
	settings *Settings, groups []group, nodes *nodeTable, capacity *capacityEstimator, load *loadEstimator,
) *reservations {
	allocators := float64(settings.Allocators)
	windows := min(allocators, maxReservationWindows)
	return &reservations{
		groups:            groups,
		nodes:             nodes,
		capacity:          capacity,
		load:              load,
		window:            reservationWindow * Millis(windows),
		requestMultiplier: allocators / windows,
	}
}

// reservationKind is the way in which a reservation protects its slots.
type reservationKind uint8

const (
	nothingReserved reservationKind = iota // no request has precedence over the workload
	nodesReserved                          // too few free slots: the nodes with the most slots are excluded
	slotsReserved                          // enough free slots: the workload must leave the required number
)

// reservation is the reserved capacity that one decision for a workload must not use.
type reservation struct {
	reservations *reservations
	now          Millis
	workload     *workload
	kind         reservationKind
	// nodes are the excluded nodes; valid for nodesReserved.
	nodes map[*node]bool
	// slot is the size of a slot; valid for slotsReserved.
	slot resources
	// free is the number of whole slots on ready nodes; valid for slotsReserved.
	free slots
	// required is the number of slots that must stay free; valid for slotsReserved.
	required slots
}

// against returns the reservation that applies to the workload.
func (r *reservations) against(now Millis, w *workload) reservation {
	reserved := reservation{
		reservations: r,
		now:          now,
		workload:     w,
		kind:         nothingReserved,
	}
	slot := r.slotSize(now, w)
	if slot.Cores <= 0 || slot.Memory <= 0 {
		return reserved
	}
	required := r.requiredSlots(r.competingDemand(now, w, slot))
	free := r.freeSlots(now, slot)
	if free.whole < required {
		reserved.kind = nodesReserved
		reserved.nodes = nodesWithMostSlots(free.byNode, int(required))
		return reserved
	}
	reserved.kind = slotsReserved
	reserved.slot = slot
	reserved.free = free.whole
	reserved.required = required
	return reserved
}

// excludes reports whether the reservation excludes n for its workload.
func (reserved *reservation) excludes(n *node) bool {
	switch reserved.kind {
	case nothingReserved:
		return false
	case nodesReserved:
		return reserved.nodes[n]
	case slotsReserved:
	}
	taken := reserved.reservations.slotsTaken(reserved.now, reserved.workload, n, reserved.slot)
	return reserved.free-taken < reserved.required
}

// precedence states which requests of a group have precedence over a workload.
type precedence uint8

const (
	nonePrecede  precedence = iota // the group has lower weight, or equal weight and the workload is not a retry
	firstPrecede                   // first requests only: the group has equal weight and the workload is a retry
	allPrecede                     // all requests: the group has higher weight
)

// precedenceOver returns which requests of g have precedence over the workload.
func (g *group) precedenceOver(w *workload) precedence {
	weight := w.group.PriorityWeight
	switch {
	case g.PriorityWeight > weight:
		return allPrecede
	case g.PriorityWeight == weight && w.Retried:
		return firstPrecede
	}
	return nonePrecede
}

// preceding returns the requests of all groups with any precedence over the workload, each with the precedence of its
// group. It does not filter by precedence: with firstPrecede, the caller must skip the retries.
func (r *reservations) preceding(w *workload) iter.Seq2[precedence, *request] {
	return func(yield func(precedence, *request) bool) {
		for i := range r.groups {
			g := &r.groups[i]
			p := g.precedenceOver(w)
			if p == nonePrecede {
				continue
			}
			for j := range g.requests {
				if !yield(p, &g.requests[j]) {
					return
				}
			}
		}
	}
}

// slotSize returns the largest number of cores and the largest amount of memory among the requests with precedence over
// the workload, or zero if there are none. For groups of equal weight only recent requests count. For groups of higher
// weight older ones count too, because at least one slot is always reserved for these groups.
func (r *reservations) slotSize(now Millis, w *workload) (slot resources) {
	for p, req := range r.preceding(w) {
		if p == allPrecede || r.isRecent(now, req) && !req.retried {
			slot = slot.elementwiseMax(req.size)
		}
	}
	return slot
}

// demand is the estimated number of slots that the recent requests with precedence over a workload take, at all
// allocators.
type demand struct {
	higherWeight  slots // requests in groups of higher priority weight
	firstRequests slots // first requests in groups of equal weight; 0 if the workload is not a retry
}

// competingDemand returns the demand of the requests with precedence over the workload, in slots of the given size.
func (r *reservations) competingDemand(now Millis, w *workload, slot resources) demand {
	var higherWeight, firstRequests float64 // number of slots, with fractions
	for p, req := range r.preceding(w) {
		if !r.isRecent(now, req) {
			continue
		}
		atAllAllocators := r.requestMultiplier * req.size.dividedBy(slot)
		switch {
		case p == allPrecede:
			higherWeight += atAllAllocators
		case !req.retried:
			firstRequests += atAllAllocators
		}
	}
	return demand{
		higherWeight:  slots(math.Ceil(higherWeight)),
		firstRequests: slots(math.Ceil(firstRequests)),
	}
}

// isRecent reports whether a request is within the window over which requests are counted.
func (r *reservations) isRecent(now Millis, req *request) bool {
	return now-req.at < r.window
}

// requiredSlots returns the number of slots to reserve. Those for groups of higher weight are limited to
// maxReservedSlotsPerNode times the number of nodes, so that a part of the fleet stays open.
func (r *reservations) requiredSlots(competing demand) slots {
	limit := slots(float64(len(r.nodes.sorted)) * maxReservedSlotsPerNode)
	return max(minReservedSlots, min(competing.higherWeight, limit)+competing.firstRequests)
}

// slotsTaken returns the number of whole slots on n that the workload would take.
func (r *reservations) slotsTaken(now Millis, w *workload, n *node, slot resources) slots {
	before := r.capacity.available(now, n)
	after := resources{
		Cores:  before.Cores - w.Cores,
		Memory: before.Memory - w.Memory,
	}
	return r.slotsOn(now, n, before, slot).whole() - r.slotsOn(now, n, after, slot).whole()
}

// slotsOn returns the number of slots on n that fit both in the available resources and below the caps on load and
// memory.
func (r *reservations) slotsOn(now Millis, n *node, available, slot resources) slots {
	usedCores, _ := r.load.usedCores(now, n)
	usedMemory := r.load.usedMemory(now, n)
	return slots(min(
		available.Cores/slot.Cores,
		available.Memory/slot.Memory,
		(defaultLoadCap*n.size.Cores-usedCores)/slot.Cores,
		(memoryCap*n.size.Memory-usedMemory)/slot.Memory,
	))
}

// nodeSlots is the number of free slots on a node.
type nodeSlots struct {
	node  *node
	slots slots
}

// fleetSlots is the number of free slots in the fleet.
type fleetSlots struct {
	byNode []nodeSlots // entry per ready node, ordered by ID
	whole  slots       // sum of the whole slots of each node
}

// freeSlots returns the free slots on the ready nodes.
func (r *reservations) freeSlots(now Millis, slot resources) fleetSlots {
	free := fleetSlots{byNode: make([]nodeSlots, 0, len(r.nodes.sorted))}
	for _, n := range r.nodes.sorted {
		if n.State != Ready {
			continue
		}
		onNode := r.slotsOn(now, n, r.capacity.available(now, n), slot)
		free.byNode = append(free.byNode, nodeSlots{node: n, slots: onNode})
		free.whole += onNode.whole()
	}
	return free
}

// nodesWithMostSlots returns the count nodes with the most slots, or all if there are fewer. Among nodes with equally
// many, the first ones in free are selected.
func nodesWithMostSlots(free []nodeSlots, count int) map[*node]bool {
	count = min(count, len(free))
	selected := make(map[*node]bool, count)
	if count == 0 {
		return selected
	}
	least, ties := selectionThreshold(free, count)
	for _, onNode := range free {
		switch {
		case onNode.slots > least:
			selected[onNode.node] = true
		case onNode.slots == least && ties > 0:
			selected[onNode.node] = true
			ties--
		}
	}
	return selected
}

// selectionThreshold returns the threshold for the selection of the count nodes with the most slots: least is the
// smallest number of slots among them, ties the number of them that have exactly that many. It sorts the numbers only,
// which is cheaper than sorting the nodes.
func selectionThreshold(free []nodeSlots, count int) (least slots, ties int) {
	sorted := make([]slots, len(free))
	for i, onNode := range free {
		sorted[i] = onNode.slots
	}
	slices.Sort(sorted)
	least = sorted[len(sorted)-count]
	nextAbove := slots(math.Nextafter(float64(least), math.Inf(1)))
	firstAbove, _ := slices.BinarySearch(sorted, nextAbove)
	above := len(sorted) - firstAbove
	return least, count - above
}
