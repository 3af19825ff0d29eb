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
	requested := n.ownRequests()
	upperBound := resources{
		Cores:  n.size.Cores - requested.Cores,
		Memory: n.size.Memory - requested.Memory,
	}
	if c.settings.EntriesCarryCapacity {
		changed := n.changes.sumSince(max(n.listedAt-discoveryLag, now-discoverySettleTime))
		return resources{
			Cores:  min(upperBound.Cores, n.FreeCores-changed.Cores),
			Memory: min(upperBound.Memory, n.FreeMemory-changed.Memory),
		}
	}
	if latest := n.reports.latest(now); latest != nil && !c.settings.ReportsUsage {
		changed := n.changes.sumSince(latest.at - reportLag)
		return resources{
			Cores:  min(upperBound.Cores, latest.spare.Cores-changed.Cores),
			Memory: min(upperBound.Memory, latest.spare.Memory-changed.Memory),
		}
	}
	allocators := float64(c.settings.Allocators)
	return resources{
		Cores:  n.size.Cores - requested.Cores*allocators,
		Memory: n.size.Memory - requested.Memory*allocators,
	}
}

// ownRequests returns the resources that this allocator's binds to n request.
func (n *node) ownRequests() (sum resources) {
	for _, b := range n.binds {
		sum.Cores += b.workload.Cores
		sum.Memory += b.workload.Memory
	}
	return sum
}
