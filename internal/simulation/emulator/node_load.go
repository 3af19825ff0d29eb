package emulator

import (
	"cmp"
	"slices"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// report evicts tasks while memory is exceeded, measures the load, registers it, and repeats after the report interval.
func (n *Node) report(now placement.Millis) {
	for used := n.memoryUsed(); used > n.spec.Memory && len(n.tasks) > 0; used = n.memoryUsed() {
		n.endTask(now, n.evictionCandidate(), pb.Reason_EVICTED)
	}
	cores := n.coresUsed()
	spare := n.spec.Cores - cores
	memory := n.spec.Memory - n.memoryUsed()
	backlog := float64(len(n.queue) + len(n.pendingStarts) + n.startsInProgress)
	utilization := min(1, n.coreDemand())
	if n.UnderreportedShare > 0 {
		spare = spare + n.UnderreportedShare*(n.spec.Cores-spare)
		memory = memory + n.UnderreportedShare*(n.spec.Memory-memory)
		backlog = backlog * (1 - n.UnderreportedShare)
		utilization = utilization * (1 - n.UnderreportedShare)
	}
	n.load = &pb.Load{
		SpareCores:  &spare,
		SpareMemory: &memory,
		Backlog:     &backlog,
		Utilization: &utilization,
	}
	n.loadAt = now
	n.register(now)
	n.timers.Schedule(now+n.model.ReportInterval, n.report)
}

// loadNow returns the last load report with its age, or nil before the first one.
func (n *Node) loadNow(now placement.Millis) *pb.Load {
	if n.load == nil {
		return nil
	}
	return &pb.Load{
		SpareCores:  n.load.SpareCores,
		SpareMemory: n.load.SpareMemory,
		Backlog:     n.load.Backlog,
		Utilization: n.load.Utilization,
		AgeMs:       float64(now - n.loadAt),
	}
}

// requestedCapacity returns the cores and memory that the accepted tasks request.
func (n *Node) requestedCapacity() (cores, memory float64) {
	for _, t := range n.tasks {
		cores += t.Offer.Request.Cores
		memory += t.Offer.Request.Memory
	}
	return cores, memory
}

// coresUsed returns the cores in use, at most those of the machine.
func (n *Node) coresUsed() float64 {
	used := n.NeighbourShare*n.spec.Cores + float64(n.startsInProgress)
	for _, t := range n.tasks {
		used += t.cores * n.surgeFactor(t)
	}
	return min(used, n.spec.Cores)
}

// coreDemand returns the ratio of the cores that tasks demand to those available to them. Above 1 they contend.
func (n *Node) coreDemand() float64 {
	demand := float64(n.startsInProgress)
	for _, t := range n.tasks {
		demand += t.cores * n.surgeFactor(t)
	}
	return demand / max(0.1, n.spec.Cores*(1-n.NeighbourShare))
}

// memoryUsed returns the memory in use, which may exceed that of the machine.
func (n *Node) memoryUsed() float64 {
	used := 0.0
	for _, t := range n.tasks {
		used += t.memory * n.surgeFactor(t)
	}
	return used
}

// evictionCandidate returns the task to evict first: of the lowest rank, then of the highest use above its request.
func (n *Node) evictionCandidate() *Task {
	return slices.MinFunc(n.tasks, func(x, y *Task) int {
		return cmp.Or(cmp.Compare(x.group.EvictionRank, y.group.EvictionRank),
			cmp.Compare(y.memory*n.surgeFactor(y)-y.Offer.Request.Memory, x.memory*n.surgeFactor(x)-x.Offer.Request.Memory))
	})
}

// ServiceFactor returns a factor between 0.5 and 1.5 that depends on the service alone.
func ServiceFactor(service uint64) float64 {
	return 0.5 + float64((service*0x9e3779b97f4a7c15)>>40&1023)/1023
}
