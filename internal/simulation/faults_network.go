package simulation

import (
	"math/rand/v2"
	"slices"

	"grebeglade/internal/simulation/network"
	"grebeglade/placement"
)

// frameFaultStream is the random source of the frame faults of one process.
const frameFaultStream = 3

// partsPerMillion is the unit of a clock skew's size.
const partsPerMillion = 1e6

// planZoneCut cuts off all nodes of a zone.
func (r *Run) planZoneCut(fault plannedFault) {
	for i, process := range r.nodes {
		if r.specs[i].Zone == fault.Zone {
			r.cut(process, fault, process.Cut)
		}
	}
}

// planOneWayCut cuts off nodes in one direction: every other one cannot send, the others cannot receive.
func (r *Run) planOneWayCut(fault plannedFault) {
	for i, process := range r.sample(r.nodes, fault.Share) {
		out := i%2 == 0
		r.cut(process, fault, func(placement.Millis) { process.CutDirection(out) })
	}
}

// cut cuts off a process until the fault ends. Its connections break after network.CutTimeout.
func (r *Run) cut(process *network.Interceptor, fault plannedFault, begin func(now placement.Millis)) {
	r.host.RunAt(process, fault.from, begin)
	r.host.RunAt(process, fault.from+network.CutTimeout, process.BreakConnections)
	r.host.RunAt(process, fault.until, process.Heal)
}

// planClockSkew has clocks run at another rate, drawn up to the fault's size in either direction.
func (r *Run) planClockSkew(fault plannedFault) {
	for _, process := range r.sample(r.everyone(), fault.Share) {
		rate := 1 + fault.Size/partsPerMillion*(2*r.rng.Float64()-1)
		r.host.RunAt(process, fault.from, func(now placement.Millis) { process.SetClock(now, rate, 0) })
		r.host.RunAt(process, fault.until, func(now placement.Millis) { process.SetClock(now, 1, 0) })
	}
}

// planClockStep steps clocks ahead. Allocators and clients read a monotonic clock.
func (r *Run) planClockStep(fault plannedFault) {
	step := placement.Millis(fault.Size)
	withWallClock := slices.Concat(r.nodes, []*network.Interceptor{r.discovery})
	for _, process := range r.sample(withWallClock, fault.Share) {
		r.host.RunAt(process, fault.from, func(now placement.Millis) { process.SetClock(now, 1, step) })
	}
}

// planFramesDuplicated duplicates frames, but for those to clients: the first rule is about answers that come twice.
func (r *Run) planFramesDuplicated(fault plannedFault) {
	targets := slices.Concat(r.nodes, r.allocators, []*network.Interceptor{r.discovery})
	r.injectFrameFaults(targets, fault, network.FrameFaults{Duplicate: true})
}

func (r *Run) planFramesDelayed(fault plannedFault) {
	r.injectFrameFaults(r.everyone(), fault, network.FrameFaults{Delay: placement.Millis(fault.Size)})
}

func (r *Run) planFramesReordered(fault plannedFault) {
	r.injectFrameFaults(r.everyone(), fault, network.FrameFaults{Delay: placement.Millis(fault.Size), Reorder: true})
}

// injectFrameFaults applies faults to the fault's share of the frames that reach these processes.
func (r *Run) injectFrameFaults(targets []*network.Interceptor, fault plannedFault, faults network.FrameFaults) {
	for _, process := range targets {
		own := faults
		own.Share = fault.Share
		own.Random = rand.New(rand.NewPCG(r.rng.Uint64(), frameFaultStream))
		schedule := func(at placement.Millis, do func(now placement.Millis)) { r.host.RunAt(process, at, do) }
		r.host.RunAt(process, fault.from, func(placement.Millis) { process.SetFrameFaults(&own, schedule) })
		r.host.RunAt(process, fault.until, func(placement.Millis) { process.SetFrameFaults(nil, schedule) })
	}
}
