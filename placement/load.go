// Load decides how loaded a node counts as: the cores and the memory in use on it.
//
// Observed: load reports, which are late and may lack values, and what our own workloads were seen to use of the
// cores that they request. What our workloads changed since a report counts at that ratio.
//
// Cost of an error: a load that is too low crowds a node, and every workload on it is slowed; one that is too
// high rejects workloads that would have been served.

package placement

import "math"

// loadEstimator estimates what is in use on nodes.
type loadEstimator struct {
	settings *Settings
	nodes    *nodeTable
	// usageSamples are the last maxUsageSamples usage ratios of our workloads.
	usageSamples []usageRatio
	// meanUsage is the mean of usageSamples, or defaultUsageRatio before the first.
	meanUsage usageRatio
	// mean is the mean load of the fleet, as of meanAt.
	mean   utilization
	meanAt Millis
}

func newLoadEstimator(settings *Settings, nodes *nodeTable) *loadEstimator {
	return &loadEstimator{
		settings:  settings,
		nodes:     nodes,
		meanUsage: defaultUsageRatio,
		meanAt:    DistantPast,
	}
}

// recordReport adds a load report of n to its history. The cores in use are the first of these that the report has the
// values for: the size of n less what is spare, where spare counts what is not in use; the utilization; the requested
// cores at the mean usage ratio.
func (l *loadEstimator) recordReport(now Millis, n *node, reported LoadReport) {
	received := receivedReport{
		at:    now,
		used:  resources{Cores: math.NaN(), Memory: math.NaN()},
		spare: resources{Cores: reported.SpareCores, Memory: reported.SpareMemory},
	}
	if l.settings.ReportsUsage {
		received.used.Cores = n.size.Cores - reported.SpareCores
		received.used.Memory = n.size.Memory - reported.SpareMemory
	}
	if math.IsNaN(received.used.Cores) {
		received.used.Cores = reported.Utilization * n.size.Cores
	}
	if math.IsNaN(received.used.Cores) {
		requested := n.size.Cores - reported.SpareCores
		received.used.Cores = requested * float64(l.meanUsage)
	}
	n.reports.add(now, received)
}

// recordUsage takes the ratio of used to requested cores of one workload.
func (l *loadEstimator) recordUsage(ratio usageRatio) {
	l.usageSamples = appendBounded(l.usageSamples, ratio, maxUsageSamples)
	sum := usageRatio(0)
	for _, sample := range l.usageSamples {
		sum += sample
	}
	l.meanUsage = sum / usageRatio(len(l.usageSamples))
}

// usedCores returns the cores in use on n, if a report is fresh. Later changes count at the mean usage ratio.
func (l *loadEstimator) usedCores(now Millis, n *node) (cores float64, known bool) {
	latest := n.reports.latest(now)
	if latest == nil || math.IsNaN(latest.used.Cores) {
		return 0, false
	}
	requestedSince := n.changes.since(latest.at - reportLag).Cores
	return max(0, latest.used.Cores+requestedSince*float64(l.meanUsage)), true
}

// usedMemory returns the memory in use on n, or 0 without a fresh report.
func (l *loadEstimator) usedMemory(now Millis, n *node) float64 {
	latest := n.reports.latest(now)
	if latest == nil || math.IsNaN(latest.used.Memory) {
		return 0
	}
	return max(0, latest.used.Memory+n.changes.since(latest.at-reportLag).Memory)
}

// loadWith returns the load that n would have with the workload, which is taken to use all cores that it requests. A
// node without a fresh report takes the mean load of the others.
func (l *loadEstimator) loadWith(now Millis, w *workload, n *node) utilization {
	if n.size.Cores <= 0 {
		return utilization(math.Inf(1))
	}
	used, known := l.usedCores(now, n)
	if !known {
		used = float64(l.meanLoad(now)) * n.size.Cores
	}
	return utilization((used + w.Cores) / n.size.Cores)
}

// meanLoad returns the mean load of the ready nodes with fresh reports. It is computed once for each time, since
// many nodes without a report ask for it in one decision.
func (l *loadEstimator) meanLoad(now Millis) utilization {
	if l.meanAt == now {
		return l.mean
	}
	sum := 0.0
	reporting := 0.0
	for _, n := range l.nodes.sorted {
		used, known := l.usedCores(now, n)
		if known && n.State == Ready && n.size.Cores > 0 {
			sum += used / n.size.Cores
			reporting++
		}
	}
	l.meanAt = now
	l.mean = utilization(sum / max(1, reporting))
	return l.mean
}
