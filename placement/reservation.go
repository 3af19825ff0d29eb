package placement

import (
	"math"
	"slices"
)

type request struct {
	at      Millis
	size    resources
	retried bool
}

// reservations keeps capacity for groups of higher priority weight, as a full fleet that admits all rejects
// what is worth most. It counts in slots, places for the largest such request. As many are kept as were
// requested lately, at least one; while there are fewer, the nodes with most fill up no further. Other
// allocators are taken to be like us. Within a group, first requests come before retried ones.
type reservations struct {
	groups   []group
	capacity *capacityEstimator
	window   Millis  // over which our own requests are counted
	scale    float64 // requests of all allocators within reservationWindow for each of ours within window
}

func newReservations(groups []group, capacity *capacityEstimator) *reservations {
	allocators := float64(capacity.settings.Allocators)
	times := min(allocators, maxReservationScale)
	return &reservations{groups, capacity, reservationWindow * Millis(times), allocators / times}
}

// against returns a function that reports whether a node is reserved against wl.
func (r *reservations) against(now Millis, wl *workload) func(*node) bool {
	slot, higher, first := r.competing(now, wl)
	if slot.Cores <= 0 || slot.Memory <= 0 {
		return func(*node) bool { return false }
	}
	most := float64(len(r.capacity.nodes.sorted)) * maxReservedShare
	required := max(1, min(r.slotsFor(higher, slot), most)+r.slotsFor(first, slot))
	free, total := r.freeSlots(now, slot)
	if total < required {
		reserved := mostSlots(free, int(required))
		return func(n *node) bool { return reserved[n] }
	}
	return func(n *node) bool {
		before := r.capacity.available(now, n)
		after := r.slotsOn(now, n, resources{before.Cores - wl.Cores, before.Memory - wl.Memory}, slot)
		lost := max(0, math.Floor(r.slotsOn(now, n, before, slot))) - max(0, math.Floor(after))
		return total-lost < required
	}
}

// competing returns recent requests of higher weight and, if wl is retried, first ones of equal weight.
func (r *reservations) competing(now Millis, wl *workload) (largest resources, higher, first []resources) {
	for i := range r.groups {
		g := &r.groups[i]
		equal := g.PriorityWeight == wl.group.PriorityWeight
		if g.PriorityWeight < wl.group.PriorityWeight || equal && !wl.Retried {
			continue
		}
		for _, o := range g.requests {
			recent := now-o.at < r.window
			if equal && (o.retried || !recent) {
				continue
			}
			largest = resources{max(largest.Cores, o.size.Cores), max(largest.Memory, o.size.Memory)}
			if recent && g.PriorityWeight > wl.group.PriorityWeight {
				higher = append(higher, o.size)
			} else if recent {
				first = append(first, o.size)
			}
		}
	}
	return largest, higher, first
}

// slotsFor returns how many slots requests of those sizes take, scaled to all allocators.
func (r *reservations) slotsFor(sizes []resources, slot resources) (slots float64) {
	for _, size := range sizes {
		slots += r.scale * max(size.Cores/slot.Cores, size.Memory/slot.Memory)
	}
	return math.Ceil(slots)
}

// slotsOn returns how many slots the given capacity of n holds within the caps.
func (r *reservations) slotsOn(now Millis, n *node, capacity, slot resources) float64 {
	used, _ := r.capacity.usedCores(now, n)
	return min(capacity.Cores/slot.Cores, capacity.Memory/slot.Memory, (loadCap*n.size.Cores-used)/slot.Cores,
		(memoryCap*n.size.Memory-r.capacity.usedMemory(now, n))/slot.Memory)
}

// freeSlots returns the slots of each ready node, and the sum of the whole ones.
func (r *reservations) freeSlots(now Millis, slot resources) (free []nodeSlots, total float64) {
	free = make([]nodeSlots, 0, len(r.capacity.nodes.sorted))
	for _, n := range r.capacity.nodes.sorted {
		if n.State == Ready {
			slots := r.slotsOn(now, n, r.capacity.available(now, n), slot)
			free, total = append(free, nodeSlots{n, slots}), total+max(0, math.Floor(slots))
		}
	}
	return free, total
}

type nodeSlots struct {
	node  *node
	slots float64
}

// mostSlots returns count of the nodes, those with the most slots; of equal ones the first.
func mostSlots(free []nodeSlots, count int) map[*node]bool {
	count = min(count, len(free))
	sorted := make([]float64, len(free)) // sorting the numbers is cheaper than sorting the nodes
	for i, f := range free {
		sorted[i] = f.slots
	}
	slices.Sort(sorted)
	chosen, least, equal := make(map[*node]bool, count), math.Inf(1), 0
	if count > 0 {
		least = sorted[len(free)-count]
		above, _ := slices.BinarySearch(sorted, math.Nextafter(least, math.Inf(1)))
		equal = count - (len(free) - above)
	}
	for _, f := range free {
		if f.slots > least || f.slots == least && equal > 0 {
			chosen[f.node] = true
		}
		if f.slots == least {
			equal--
		}
	}
	return chosen
}
