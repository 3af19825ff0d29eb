// Reservation decides which nodes are kept from a workload, for requests that are worth more.
//
// Observed: the requests that this allocator got lately, by group and size and whether they were retried, the number of
// allocators, and the estimates of capacity and load.
//
// A full fleet that admits all alike rejects what is worth most, above all large requests that need their capacity
// in one piece. Slots for the largest request of higher priority weight are kept, as many as were requested from us
// lately and one at least. While there are fewer, the nodes with most slots fill up no further, so that capacity
// builds up in one piece. Our requests stand for those of all allocators: they are counted over longer and
// multiplied, and where they are many a part of the fleet stays open. Within a group, first requests come before
// retried ones: a first start in time earns most of a short workload's value, and a retry cannot earn that any more.
//
// Cost of an error: a slot too many leaves capacity idle where little of higher weight follows, and retried requests
// wait longer on a fleet that stays full; one too few rejects a request that is worth more than what took its place.

package placement

import (
	"iter"
	"math"
	"slices"
)

// request is a request that this allocator got, as reservations count it.
type request struct {
	at      Millis
	size    resources
	retried bool
}

// slots is a number of places for one request of the size that a reservation is made for. It has a fraction where
// a place fits in part, and is negative where a node is beyond its caps.
type slots float64

// whole returns how many whole places there are.
func (s slots) whole() slots {
	return slots(max(0, math.Floor(float64(s))))
}

// reservations keeps capacity for groups of higher priority weight, and for first requests against retried ones.
type reservations struct {
	groups   []group
	nodes    *nodeTable
	capacity *capacityEstimator
	load     *loadEstimator
	// window is the time over which our own requests are counted.
	window Millis
	// requestsPerOurs is how many requests all allocators get within reservationWindow, for each of ours within
	// window: others are taken to be like us.
	requestsPerOurs float64
}

// newReservations returns reservations that count the requests in groups, to which the scheduler adds them. The more
// allocators there are, the longer our own requests are counted, and the more requests of others each stands for.
func newReservations(
	settings *Settings, groups []group, nodes *nodeTable, capacity *capacityEstimator, load *loadEstimator,
) *reservations {
	allocators := float64(settings.Allocators)
	windows := min(allocators, maxReservationScale)
	return &reservations{
		groups:          groups,
		nodes:           nodes,
		capacity:        capacity,
		load:            load,
		window:          reservationWindow * Millis(windows),
		requestsPerOurs: allocators / windows,
	}
}

// reservationKind says how a reservation keeps its slots.
type reservationKind uint8

const (
	nothingReserved reservationKind = iota // no request competes with the workload
	nodesReserved                          // there are too few slots: the nodes with most of them fill up no further
	slotsReserved                          // there are enough: the workload must leave as many as are required
)

// reservation is what is kept from one workload at one time.
type reservation struct {
	reservations *reservations
	now          Millis
	workload     *workload
	kind         reservationKind
	// nodes are those kept, for nodesReserved.
	nodes map[*node]bool
	// slot is the size that slots are counted for, for slotsReserved.
	slot resources
	// free is the number of whole slots on ready nodes, for slotsReserved.
	free slots
	// required is the number of slots to keep, for slotsReserved.
	required slots
}

// against returns what is reserved against the workload.
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

// excludes reports whether n is kept from the workload that the reservation was made against.
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

// precedence says which requests of a group come before a workload.
type precedence uint8

const (
	nonePrecede  precedence = iota // the group has lower weight, or equal weight and the workload is a first request
	firstPrecede                   // the first requests of a group of equal weight, as the workload is a retried one
	allPrecede                     // the group has higher weight
)

// precedenceOver returns which requests of g come before the workload.
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

// preceding returns the requests that come before the workload, each with the precedence of its group: the retried ones
// of a group of equal weight too.
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

// slotSize returns the size of the largest request that competes with the workload, in cores and in memory; zero where
// there is none. Of groups of higher weight it counts older requests too, as one slot is always kept for them.
func (r *reservations) slotSize(now Millis, w *workload) (slot resources) {
	for p, req := range r.preceding(w) {
		if p == allPrecede || r.isRecent(now, req) && !req.retried {
			slot = slot.atLeast(req.size)
		}
	}
	return slot
}

// demand is how many slots the recent requests take that compete with a workload, at all allocators.
type demand struct {
	higherWeight  slots // for groups of higher priority weight
	firstRequests slots // for first requests of equal weight, against a retried one
}

// competingDemand counts the requests that compete with the workload, in slots of that size.
func (r *reservations) competingDemand(now Millis, w *workload, slot resources) demand {
	var higherWeight, firstRequests float64 // in slots, fractions included
	for p, req := range r.preceding(w) {
		if !r.isRecent(now, req) {
			continue
		}
		atAllAllocators := r.requestsPerOurs * req.size.dividedBy(slot)
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

// isRecent reports whether a request is new enough for capacity to be kept for others like it.
func (r *reservations) isRecent(now Millis, req *request) bool {
	return now-req.at < r.window
}

// requiredSlots returns how many slots to keep. Those for groups of higher weight leave a part of the fleet open.
func (r *reservations) requiredSlots(competing demand) slots {
	limit := slots(float64(len(r.nodes.sorted)) * maxReservedSlotsPerNode)
	return max(minReservedSlots, min(competing.higherWeight, limit)+competing.firstRequests)
}

// slotsTaken returns how many whole slots on n the workload would take.
func (r *reservations) slotsTaken(now Millis, w *workload, n *node, slot resources) slots {
	before := r.capacity.available(now, n)
	after := resources{
		Cores:  before.Cores - w.Cores,
		Memory: before.Memory - w.Memory,
	}
	return r.slotsOn(now, n, before, slot).whole() - r.slotsOn(now, n, after, slot).whole()
}

// slotsOn returns how many slots n holds within the caps, if so much of its capacity is available.
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

// nodeSlots is how many slots a node holds.
type nodeSlots struct {
	node  *node
	slots slots
}

// fleetSlots is how many slots the fleet holds.
type fleetSlots struct {
	byNode []nodeSlots // of the ready nodes, by id
	whole  slots       // the sum of the whole ones
}

// freeSlots counts the slots on the ready nodes.
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

// nodesWithMostSlots returns count of the nodes, those with the most slots; of equal ones the first.
func nodesWithMostSlots(free []nodeSlots, count int) map[*node]bool {
	count = min(count, len(free))
	selected := make(map[*node]bool, count)
	if count == 0 {
		return selected
	}
	least, ties := leastSelected(free, count)
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

// leastSelected returns the least slots of the count nodes that have the most, and how many of those count nodes
// have just so many. It sorts the numbers alone, which is cheaper than to sort the nodes.
func leastSelected(free []nodeSlots, count int) (least slots, ties int) {
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
