package emulator

import (
	"cmp"
	"slices"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Salts that are added to a service's ID, so that numbers derived from the ID differ for each purpose.
const (
	coreUseSalt   = 0
	memoryUseSalt = 1
	surgeSalt     = 2
	restartSalt   = 3
)

// minAvailableCores is the least divisor in the ratio of demanded to available cores. It keeps the ratio finite.
const minAvailableCores = 0.1

// report evicts tasks while memory is exceeded, measures the load, sends the node's registration, and repeats after the
// report interval.
func (n *Node) report(now placement.Millis) {
	for n.memoryUsed() > n.spec.Memory && len(n.tasks.all) > 0 {
		n.endTask(now, n.evictionCandidate(), pb.Reason_EVICTED)
	}
	n.load = loadReport{values: n.measureLoad(), measuredAt: now}
	n.register(now)
	n.timers.Schedule(now+n.model.ReportInterval, n.report)
}

// measureLoad returns the present load, less the share that UnderreportedShare omits.
func (n *Node) measureLoad() *pb.Load {
	spareCores := n.spec.Cores - n.coresUsed()
	spareMemory := n.spec.Memory - n.memoryUsed()
	backlog := float64(len(n.admission.queue) + n.tasks.startBacklog())
	utilization := min(1, n.coreDemand())
	if hidden := n.UnderreportedShare; hidden > 0 {
		spareCores += hidden * (n.spec.Cores - spareCores)
		spareMemory += hidden * (n.spec.Memory - spareMemory)
		backlog *= 1 - hidden
		utilization *= 1 - hidden
	}
	return &pb.Load{
		SpareCores:  &spareCores,
		SpareMemory: &spareMemory,
		Backlog:     &backlog,
		Utilization: &utilization,
	}
}

// loadReport is the last measured load of a node.
type loadReport struct {
	values     *pb.Load // nil before the first measurement
	measuredAt placement.Millis
}

// at returns the load with its age as of now, or nil before the first measurement.
func (r loadReport) at(now placement.Millis) *pb.Load {
	if r.values == nil {
		return nil
	}
	return &pb.Load{
		SpareCores:  r.values.SpareCores,
		SpareMemory: r.values.SpareMemory,
		Backlog:     r.values.Backlog,
		Utilization: r.values.Utilization,
		AgeMs:       float64(now - r.measuredAt),
	}
}

// coresUsed returns the cores in use, at most those of the machine.
func (n *Node) coresUsed() float64 {
	used := n.NeighbourShare*n.spec.Cores + float64(n.tasks.startsInProgress)
	for _, t := range n.tasks.all {
		used += t.cores * n.Surge.factor(t)
	}
	return min(used, n.spec.Cores)
}

// coreDemand returns the ratio of the cores that tasks demand to those available to them. Above 1 they contend.
func (n *Node) coreDemand() float64 {
	demand := float64(n.tasks.startsInProgress)
	for _, t := range n.tasks.all {
		demand += t.cores * n.Surge.factor(t)
	}
	return demand / max(minAvailableCores, n.spec.Cores*(1-n.NeighbourShare))
}

// memoryUsed returns the memory in use, which may exceed that of the machine.
func (n *Node) memoryUsed() float64 {
	used := 0.0
	for _, t := range n.tasks.all {
		used += t.memory * n.Surge.factor(t)
	}
	return used
}

// evictionCandidate returns the task with the lowest eviction rank and, among those, the most memory above its request.
func (n *Node) evictionCandidate() *Task {
	excess := func(t *Task) float64 { return t.memory*n.Surge.factor(t) - t.Offer.Request.Memory }
	return slices.MinFunc(n.tasks.all, func(x, y *Task) int {
		return cmp.Or(
			cmp.Compare(x.group.EvictionRank, y.group.EvictionRank),
			cmp.Compare(excess(y), excess(x)),
		)
	})
}

// CoreUseFactor returns the ratio, between 0.5 and 1.5, of a service's use of cores to the mean of its group.
func CoreUseFactor(service uint64) float64 { return serviceFactor(service + coreUseSalt) }

// MemoryUseFactor returns the ratio, between 0.5 and 1.5, of a service's use of memory to the mean of its group.
func MemoryUseFactor(service uint64) float64 { return serviceFactor(service + memoryUseSalt) }

// serviceFactor returns a factor between 0.5 and 1.5 that depends on the service alone.
func serviceFactor(service uint64) float64 {
	return 0.5 + float64((service*0x9e3779b97f4a7c15)>>40&1023)/1023
}

// serviceQuantile returns a number between 0 and 1 that depends on the service alone.
func serviceQuantile(service uint64) float64 { return serviceFactor(service) - 0.5 }
