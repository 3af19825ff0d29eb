package placement

import "math"

// resources is an amount of a node's resources.
type resources struct{ Cores, Memory float64 }

// change is a step in what our own workloads request of a node; a changeLog holds a node's recent ones.
type change struct {
	at Millis
	resources
}

type changeLog []change

func (l *changeLog) add(at Millis, r resources) { *l = append(*l, change{at, r}) }

// since sums the changes later than that time.
func (l changeLog) since(at Millis) (sum resources) {
	for _, c := range l {
		if c.at > at {
			sum.Cores += c.Cores
			sum.Memory += c.Memory
		}
	}
	return sum
}

// report is a load report with NaN for values that it lacks; a reportHistory holds a node's last ones.
type report struct {
	at    Millis
	used  resources // in use
	spare resources // as reported: not requested, or not in use where the settings say so
}

type reportHistory []report

// latest returns the last report while it is fresh enough to count.
func (h reportHistory) latest(now Millis) (report, bool) {
	if now-h.lastAt() > reportMaxAge {
		return report{}, false
	}
	return h[len(h)-1], true
}

// lastAt returns when the last report came, or DistantPast before the first.
func (h reportHistory) lastAt() Millis {
	if len(h) == 0 {
		return DistantPast
	}
	return h[len(h)-1].at
}

// add appends r. It replaces the last where reports are dense: those kept cover the migration window.
func (h *reportHistory) add(now Millis, r report) {
	if last := len(*h) - 1; last > 0 && now-(*h)[last-1].at < migrationWindow/(maxReports-2) {
		*h = (*h)[:last]
	}
	*h = appendBounded(*h, r, maxReports)
}

// capacityEstimator estimates what nodes have available and in use.
type capacityEstimator struct {
	settings    *Settings
	nodes       *nodeTable
	usageShares []float64
	usageShare  float64 // of the requested cores that workloads use: the mean of usageShares
	mean        float64 // load of the fleet, as of meanAt
	meanAt      Millis
}

func (c *capacityEstimator) recordReport(now Millis, n *node, l LoadReport) {
	r := report{at: now, used: resources{math.NaN(), math.NaN()}, spare: resources{l.SpareCores, l.SpareMemory}}
	if c.settings.ReportsUsage {
		r.used = resources{n.size.Cores - l.SpareCores, n.size.Memory - l.SpareMemory}
	}
	if math.IsNaN(r.used.Cores) {
		r.used.Cores = l.Utilization * n.size.Cores
	}
	if math.IsNaN(r.used.Cores) {
		r.used.Cores = (n.size.Cores - l.SpareCores) * c.usageShare
	}
	n.reports.add(now, r)
}

// recordUsage takes the share of its requested cores that a workload uses.
func (c *capacityEstimator) recordUsage(share float64) {
	c.usageShares = appendBounded(c.usageShares, share, maxUsageSamples)
	sum := 0.0
	for _, v := range c.usageShares {
		sum += v
	}
	c.usageShare = sum / float64(len(c.usageShares))
}

// available returns the resources of n that nobody has requested: as listed or reported, less what our own
// workloads changed since, and at most what they leave. With neither, all allocators are taken to be like us.
func (c *capacityEstimator) available(now Millis, n *node) resources {
	var ours resources
	for _, b := range n.binds {
		ours.Cores += b.workload.Cores
		ours.Memory += b.workload.Memory
	}
	left := resources{n.size.Cores - ours.Cores, n.size.Memory - ours.Memory}
	if c.settings.EntriesCarryCapacity {
		since := n.changes.since(max(n.listedAt-discoveryLag, now-discoverySettling))
		return resources{min(left.Cores, n.FreeCores-since.Cores), min(left.Memory, n.FreeMemory-since.Memory)}
	}
	if r, ok := n.reports.latest(now); ok && !c.settings.ReportsUsage {
		since := n.changes.since(r.at - reportLag)
		return resources{min(left.Cores, r.spare.Cores-since.Cores), min(left.Memory, r.spare.Memory-since.Memory)}
	}
	allocators := float64(c.settings.Allocators)
	return resources{n.size.Cores - ours.Cores*allocators, n.size.Memory - ours.Memory*allocators}
}

// usedCores returns the cores in use on n, if a report is fresh. Later changes count at the usage share.
func (c *capacityEstimator) usedCores(now Millis, n *node) (float64, bool) {
	r, ok := n.reports.latest(now)
	if !ok || math.IsNaN(r.used.Cores) {
		return 0, false
	}
	return max(0, r.used.Cores+n.changes.since(r.at-reportLag).Cores*c.usageShare), true
}

// usedMemory returns the memory in use on n, or 0 without a fresh report.
func (c *capacityEstimator) usedMemory(now Millis, n *node) float64 {
	r, ok := n.reports.latest(now)
	if !ok || math.IsNaN(r.used.Memory) {
		return 0
	}
	return max(0, r.used.Memory+n.changes.since(r.at-reportLag).Memory)
}

// load returns ρ: the cores in use and those that wl requests, as a share of the node's cores.
func (c *capacityEstimator) load(now Millis, wl *workload, n *node) float64 {
	if n.size.Cores <= 0 {
		return math.Inf(1)
	}
	used, ok := c.usedCores(now, n)
	if !ok {
		used = c.meanLoad(now) * n.size.Cores
	}
	return (used + wl.Cores) / n.size.Cores
}

// meanLoad returns the mean load of the ready nodes with fresh reports, computed once for each time.
func (c *capacityEstimator) meanLoad(now Millis) float64 {
	if c.meanAt == now {
		return c.mean
	}
	sum, count := 0.0, 0.0
	for _, n := range c.nodes.sorted {
		if used, ok := c.usedCores(now, n); ok && n.State == Ready && n.size.Cores > 0 {
			sum, count = sum+used/n.size.Cores, count+1
		}
	}
	c.meanAt, c.mean = now, sum/max(1, count)
	return c.mean
}
