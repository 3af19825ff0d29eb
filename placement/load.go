// Load estimates the load of a node: the cores and the memory in use on it.
//
// Inputs: load reports, which are out of date on arrival and may lack values, and the usage ratio of this allocator's
// workloads (cores in use per core requested). Changes of the requested cores since a report are multiplied by that
// ratio.
//
// Cost of an error: if the estimate is too low, the node is overloaded and every workload on it is slowed; if it is too
// high, workloads are rejected that could have been served.

package placement

import "math"

// loadEstimator estimates the resources in use on nodes.
type loadEstimator struct {
	settings *Settings
	nodes    *nodeTable
	// usageSamples are the last maxUsageSamples usage ratios of this allocator's workloads.
	usageSamples []usageRatio
	// meanUsage is the mean of usageSamples, or defaultUsageRatio before the first.
	meanUsage usageRatio
	// mean is the mean load of the fleet at the time meanAt. meanLoad caches it here.
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

// recordReport adds a load report to the history of n. The cores in use are the first of these values that the report
// provides: the size of n less the spare cores (only with Settings.ReportsUsage), the utilization times the size of n,
// the requested cores times the mean usage ratio.
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

// recordUsage adds the usage ratio of one workload to the samples and updates their mean.
func (l *loadEstimator) recordUsage(ratio usageRatio) {
	l.usageSamples = appendBounded(l.usageSamples, ratio, maxUsageSamples)
	sum := usageRatio(0)
	for _, sample := range l.usageSamples {
		sum += sample
	}
	l.meanUsage = sum / usageRatio(len(l.usageSamples))
}

// usedCores returns the cores in use on n according to the last load report, adjusted by the changes since, at the mean
// usage ratio. known is false without a fresh report that contains the value.
func (l *loadEstimator) usedCores(now Millis, n *node) (cores float64, known bool) {
	latest := n.reports.latest(now)
	if latest == nil || math.IsNaN(latest.used.Cores) {
		return 0, false
	}
	requestedSince := n.changes.sumSince(latest.at - reportLag).Cores
	return max(0, latest.used.Cores+requestedSince*float64(l.meanUsage)), true
}

// usedMemory returns the memory in use on n, or 0 without a fresh load report that contains it.
func (l *loadEstimator) usedMemory(now Millis, n *node) float64 {
	latest := n.reports.latest(now)
	if latest == nil || math.IsNaN(latest.used.Memory) {
		return 0
	}
	return max(0, latest.used.Memory+n.changes.sumSince(latest.at-reportLag).Memory)
}

// loadWith returns the load of n with the workload added, which is assumed to use all the cores that it requests. For a
// node without a fresh load report, the mean load of the other nodes is assumed. The load of a node without cores is
// infinite.
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

// meanLoad returns the mean load of the ready nodes with fresh load reports, or 0 if there are none. It is computed
// once for each value of now, because one decision may use it for many nodes.
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
