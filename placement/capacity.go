// Capacity estimates how much of a node is available to new requests.
//
// Inputs: the node's size, its free capacity according to the node list or its load reports, and the resources that
// this allocator's binds have requested and released. The list and the reports are out of date on arrival, so this
// allocator's later changes are applied to them. If neither contains the free capacity, every allocator is assumed to
// have requested as much as this one.
//
// Cost of an error: if the estimate is too high, the node rejects the bind and the workload loses the time spent on
// it; if it is too low, workloads are rejected while capacity is idle.

package placement

// change is one change of the resources that this allocator's workloads request on a node.
type change struct {
	at    Millis
	delta resources // negative for a release
}

// changeLog lists the recent changes on a node, oldest first.
type changeLog []change

// add appends a change.
func (l *changeLog) add(at Millis, added resources) {
	*l = append(*l, change{at: at, delta: added})
}

// sumSince returns the sum of the changes made after start.
func (l changeLog) sumSince(start Millis) (sum resources) {
	for _, c := range l {
		if c.at > start {
			sum.Cores += c.delta.Cores
			sum.Memory += c.delta.Memory
		}
	}
	return sum
}

// capacityEstimator estimates the resources of a node that no workload of any allocator has requested.
type capacityEstimator struct {
	settings *Settings
}

// available returns the resources of n that no workload has requested: the listed or reported free capacity, adjusted
// by this allocator's later changes, and at most the size of n less this allocator's own requests. If the free capacity
// is neither listed nor reported, every allocator is assumed to have requested as much as this one.
func (c *capacityEstimator) available(now Millis, n *node) resources {
	own := n.ownRequests()
	if c.settings.EntriesCarryCapacity {
		free := resources{Cores: n.FreeCores, Memory: n.FreeMemory}
		changed := n.changes.sumSince(max(n.listedAt-discoveryLag, now-discoverySettleTime))
		return own.leave(n.size, free, changed)
	}
	if latest := n.reports.latest(now); latest != nil && !c.settings.ReportsUsage {
		changed := n.changes.sumSince(latest.at - reportLag)
		return own.leave(n.size, latest.spare, changed)
	}
	requested := own.known.plus(own.unverified)
	allocators := float64(c.settings.Allocators)
	return resources{
		Cores:  n.size.Cores - requested.Cores*allocators,
		Memory: n.size.Memory - requested.Memory*allocators,
	}
}

// ownRequests are the resources that this allocator's workloads on a node request.
type ownRequests struct {
	known      resources // workloads that were bound by this allocator, or that the node has reported on
	unverified resources // adopted workloads that the node has not reported on
}

// ownRequests returns the resources that this allocator's binds to n request.
func (n *node) ownRequests() (sum ownRequests) {
	for _, b := range n.binds {
		if b.unverified {
			sum.unverified = sum.unverified.plus(b.workload.request())
		} else {
			sum.known = sum.known.plus(b.workload.request())
		}
	}
	return sum
}

// leave returns the resources available on a node of the given size: its free resources, adjusted by the changes since,
// and at most its size less the own requests. Unverified requests count only as far as the free resources show that
// they, or others, are there.
func (own ownRequests) leave(size, free, changed resources) resources {
	return resources{
		Cores:  available(size.Cores, free.Cores, changed.Cores, own.known.Cores, own.unverified.Cores),
		Memory: available(size.Memory, free.Memory, changed.Memory, own.known.Memory, own.unverified.Memory),
	}
}

// available is ownRequests.leave for one resource.
func available(size, free, changed, known, unverified float64) float64 {
	requestedByAll := size - free
	own := known + min(unverified, max(0, requestedByAll-known))
	return min(size-own, free-changed)
}
