// Capacity decides how much of a node is available to new requests.
//
// Observed: the node's size, the free capacity that the node list or the load reports show, and the requests
// that our own workloads have added and released. The list and the reports are late, so what our workloads
// changed since is applied to them. Where neither shows free capacity, the number of allocators: all are taken to
// have requested as much as we have.
//
// Cost of an error: an estimate that is too high sends a bind that the node rejects, and the workload loses the
// time of that bind; one that is too low leaves capacity idle while workloads are rejected.

package placement

// change is a step in what our own workloads request of a node.
type change struct {
	at    Millis
	added resources // negative where a workload has ended
}

// changeLog holds the recent changes of a node, oldest first.
type changeLog []change

// add records a change.
func (l *changeLog) add(at Millis, added resources) {
	*l = append(*l, change{at: at, added: added})
}

// since sums the changes later than that time.
func (l changeLog) since(at Millis) (sum resources) {
	for _, c := range l {
		if c.at > at {
			sum.Cores += c.added.Cores
			sum.Memory += c.added.Memory
		}
	}
	return sum
}

// capacityEstimator estimates what nobody has requested of a node.
type capacityEstimator struct {
	settings *Settings
}

// available returns the resources of n that nobody has requested: as listed or reported, less what our own
// workloads changed since, and at most what they leave. With neither, all allocators are taken to have requested as
// much as we have.
func (c *capacityEstimator) available(now Millis, n *node) resources {
	requested := n.requestedByUs()
	unrequested := resources{
		Cores:  n.size.Cores - requested.Cores,
		Memory: n.size.Memory - requested.Memory,
	}
	if c.settings.EntriesCarryCapacity {
		changed := n.changes.since(max(n.listedAt-discoveryLag, now-discoverySettling))
		return resources{
			Cores:  min(unrequested.Cores, n.FreeCores-changed.Cores),
			Memory: min(unrequested.Memory, n.FreeMemory-changed.Memory),
		}
	}
	if latest := n.reports.latest(now); latest != nil && !c.settings.ReportsUsage {
		changed := n.changes.since(latest.at - reportLag)
		return resources{
			Cores:  min(unrequested.Cores, latest.spare.Cores-changed.Cores),
			Memory: min(unrequested.Memory, latest.spare.Memory-changed.Memory),
		}
	}
	allocators := float64(c.settings.Allocators)
	return resources{
		Cores:  n.size.Cores - requested.Cores*allocators,
		Memory: n.size.Memory - requested.Memory*allocators,
	}
}

// requestedByUs returns what our own workloads on n request.
func (n *node) requestedByUs() (sum resources) {
	for _, b := range n.binds {
		sum.Cores += b.workload.Cores
		sum.Memory += b.workload.Memory
	}
	return sum
}
