package simulation

import (
	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// deployRestartTime is the time, in ms, until a node that was stopped for a deploy restarts.
const deployRestartTime = placement.Millis(300)

func (r *Run) planNodeCrash(fault plannedFault) { r.crash(r.nodes, fault) }
func (r *Run) planNodePause(fault plannedFault) { r.pauseRepeatedly(r.nodes, fault) }

func (r *Run) planNodeSlow(fault plannedFault) {
	r.duringFault(fault, fault.Share,
		func(n *emulator.Node) { n.Slowdown = fault.Size },
		func(n *emulator.Node) { n.Slowdown = 1 })
}

func (r *Run) planGroupThrottled(fault plannedFault) {
	r.duringFault(fault, fault.Share,
		func(n *emulator.Node) { n.ThrottledGroup = fault.Group },
		func(n *emulator.Node) { n.ThrottledGroup = "" })
}

func (r *Run) planLoadUnderreported(fault plannedFault) {
	r.duringFault(fault, fault.Share,
		func(n *emulator.Node) { n.UnderreportedShare = fault.Size },
		func(n *emulator.Node) { n.UnderreportedShare = 0 })
}

// planUsageSurge schedules a surge of resource use on all nodes. The fault's share is the share of services affected.
func (r *Run) planUsageSurge(fault plannedFault) {
	surge := emulator.UsageSurge{Share: fault.Share, Factor: fault.Size}
	if fault.Kind == scenario.UsageOverrun {
		surge.Group = fault.Group
	}
	const allNodes = 1
	r.duringFault(fault, allNodes,
		func(n *emulator.Node) { n.Surge = surge },
		func(n *emulator.Node) { n.Surge = emulator.UsageSurge{} })
}

// planNoisyNeighbour schedules a program outside the allocators' control that alternates between using cores for one
// interval of the fault and being idle for one.
func (r *Run) planNoisyNeighbour(fault plannedFault) {
	for _, process := range r.sample(r.nodes, fault.Share) {
		shift := fault.Interval * placement.Millis(r.rng.Float64())
		for at := fault.from + shift; at < fault.until; at += 2 * fault.Interval {
			end := min(fault.until, at+fault.Interval)
			r.onNode(process, at, func(_ placement.Millis, n *emulator.Node) { n.NeighbourShare = fault.Size })
			r.onNode(process, end, func(_ placement.Millis, n *emulator.Node) { n.NeighbourShare = 0 })
		}
	}
}

func (r *Run) planStartsNeverHappen(fault plannedFault) {
	for _, process := range r.sample(r.nodes, fault.Share) {
		r.onNode(process, fault.from, func(_ placement.Millis, n *emulator.Node) { n.StartsBlocked = true })
		r.onNode(process, fault.until, func(now placement.Millis, n *emulator.Node) { n.UnblockStarts(now) })
	}
}

func (r *Run) planCacheLoss(fault plannedFault) {
	for _, process := range r.sample(r.nodes, fault.Share) {
		r.onNode(process, fault.from, func(_ placement.Millis, n *emulator.Node) { n.DropCachedPrograms(fault.Size) })
	}
}

// planRollingDeploy drains nodes in batches, kills each at the end of its drain time, and restarts it after
// deployRestartTime.
func (r *Run) planRollingDeploy(fault plannedFault) {
	r.inBatches(fault, func(process *network.Interceptor, at placement.Millis) {
		stop := at + fault.DrainTime
		r.onNode(process, at, func(now placement.Millis, n *emulator.Node) { n.Drain(now, true) })
		r.drains[process] = append(r.drains[process], oracle.Span{From: at, Until: stop})
		r.host.RunAt(process, stop, process.Kill)
		r.host.RunAt(process, stop+deployRestartTime, process.Restart)
	})
}

// planNodePreemption kills nodes in batches, and restarts each after the fault's duration.
func (r *Run) planNodePreemption(fault plannedFault) {
	r.inBatches(fault, func(process *network.Interceptor, at placement.Millis) {
		r.host.RunAt(process, at, process.Kill)
		r.host.RunAt(process, at+fault.Duration, process.Restart)
	})
}

// inBatches calls plan for a share of the nodes, with the start of their batch. The fault's size is the share of all
// nodes in one batch.
func (r *Run) inBatches(fault plannedFault, plan func(process *network.Interceptor, at placement.Millis)) {
	nodes := r.sample(r.nodes, fault.Share)
	batch := max(1, int(fault.Size*float64(len(r.nodes))))
	for i, process := range nodes {
		plan(process, fault.from+placement.Millis(i/batch)*fault.Interval)
	}
}

// duringFault schedules calls of begin and end on a share of the nodes for the start and the end of the fault.
func (r *Run) duringFault(fault plannedFault, share float64, begin, end func(*emulator.Node)) {
	for _, process := range r.sample(r.nodes, share) {
		r.onNode(process, fault.from, func(_ placement.Millis, n *emulator.Node) { begin(n) })
		r.onNode(process, fault.until, func(_ placement.Millis, n *emulator.Node) { end(n) })
	}
}
