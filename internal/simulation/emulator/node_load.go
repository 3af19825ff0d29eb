package emulator

import (
	"cmp"
	"slices"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// report measures the load every ReportEvery, evicts where memory has run out, and tells the list.
func (n *Node) report(now placement.Millis) {
	for used := n.memoryUsed(); used > n.spec.Memory && len(n.tasks) > 0; used = n.memoryUsed() {
		n.end(now, n.evictionCandidate(), pb.Why_EVICTED)
	}
	cores := n.coresUsed()
	spare, memory := n.spec.Cores-cores, n.spec.Memory-n.memoryUsed()
	backlog, util := float64(len(n.queue)+len(n.toStart)+n.starting), min(1, n.coreDemand())
	if n.UnderreportedShare > 0 {
		spare, memory = spare+n.UnderreportedShare*(n.spec.Cores-spare), memory+n.UnderreportedShare*(n.spec.Memory-memory)
		backlog, util = backlog*(1-n.UnderreportedShare), util*(1-n.UnderreportedShare)
	}
	n.load = &pb.Load{SpareCores: &spare, SpareMemory: &memory, Backlog: &backlog, Utilization: &util}
	n.loadAt = now
	n.register(now)
	n.timers.Schedule(now+n.model.ReportInterval, n.report)
}

// loadNow is the last report with its age.
func (n *Node) loadNow(now placement.Millis) *pb.Load {
	if n.load == nil {
		return nil
	}
	return &pb.Load{
		SpareCores: n.load.SpareCores, SpareMemory: n.load.SpareMemory, Backlog: n.load.Backlog,
		Utilization: n.load.Utilization, AgeMs: float64(now - n.loadAt),
	}
}

// requested returns the cores and memory that the accepted workloads request.
func (n *Node) requested() (cores, memory float64) {
	for _, t := range n.tasks {
		cores += t.Offer.Ask.Cores
		memory += t.Offer.Ask.Memory
	}
	return cores, memory
}

func (n *Node) coresUsed() float64 {
	used := n.NeighbourShare*n.spec.Cores + float64(n.starting)
	for _, t := range n.tasks {
		used += t.cores * n.surgeFactor(t)
	}
	return min(used, n.spec.Cores)
}

// busy is the cores that are wanted over those that are there; over 1 nobody gets all that it wants.
func (n *Node) coreDemand() float64 {
	wanted := float64(n.starting)
	for _, t := range n.tasks {
		wanted += t.cores * n.surgeFactor(t)
	}
	return wanted / max(0.1, n.spec.Cores*(1-n.NeighbourShare))
}

func (n *Node) memoryUsed() float64 {
	used := 0.0
	for _, t := range n.tasks {
		used += t.memory * n.surgeFactor(t)
	}
	return used
}

func (n *Node) evictionCandidate() *Task {
	return slices.MinFunc(n.tasks, func(x, y *Task) int {
		return cmp.Or(cmp.Compare(x.group.EvictionRank, y.group.EvictionRank),
			cmp.Compare(y.memory*n.surgeFactor(y)-y.Offer.Ask.Memory, x.memory*n.surgeFactor(x)-x.Offer.Ask.Memory))
	})
}

// ServiceFactor returns a factor between 0.5 and 1.5 that depends on the service alone.
func ServiceFactor(service uint64) float64 {
	return 0.5 + float64((service*0x9e3779b97f4a7c15)>>40&1023)/1023
}
