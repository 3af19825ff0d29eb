package simulation

import (
	"math/rand/v2"
	"slices"

	"grebeglade/internal/simulation/network"
	"grebeglade/placement"
)

// frameFaultStream is the stream number of the random source for the frame faults of a process.
const frameFaultStream = 3

// partsPerMillion is the unit of a clock skew's size.
const partsPerMillion = 1e6

// planZoneCut cuts all nodes of a zone off from the network.
func (r *Run) planZoneCut(fault plannedFault) {
	for i, process := range r.nodes {
		if r.specs[i].Zone == fault.Zone {
			r.cut(process, fault, process.Cut)
		}
	}
}

// planOneWayCut cuts nodes off in one direction: alternately, a node cannot send or cannot receive.
func (r *Run) planOneWayCut(fault plannedFault) {
	for i, process := range r.sample(r.nodes, fault.Share) {
		out := i%2 == 0
		r.cut(process, fault, func(placement.Millis) { process.CutDirection(out) })
	}
}

// cut cuts off a process until the fault ends. Its connections break after network.CutTimeout, if it is still cut off.
func (r *Run) cut(process *network.Interceptor, fault plannedFault, begin func(now placement.Millis)) {
	r.host.RunAt(process, fault.from, begin)
	r.host.RunAt(process, fault.from+network.CutTimeout, process.BreakConnections)
	r.host.RunAt(process, fault.until, process.Heal)
}

// planClockSkew changes the rates of clocks by a random amount, up to the fault's size in ppm in either direction.
func (r *Run) planClockSkew(fault plannedFault) {
	for _, process := range r.sample(r.allProcesses(), fault.Share) {
		rate := 1 + fault.Size/partsPerMillion*(2*r.rng.Float64()-1)
		r.host.RunAt(process, fault.from, func(now placement.Millis) { process.SetClock(now, rate, 0) })
		r.host.RunAt(process, fault.until, func(now placement.Millis) { process.SetClock(now, 1, 0) })
	}
}

// planClockStep steps clocks forward by the fault's size in ms. Allocators and clients are not affected, since they
// read a monotonic clock.
func (r *Run) planClockStep(fault plannedFault) {
	step := placement.Millis(fault.Size)
	withWallClock := slices.Concat(r.nodes, []*network.Interceptor{r.discovery})
	for _, process := range r.sample(withWallClock, fault.Share) {
		r.host.RunAt(process, fault.from, func(now placement.Millis) { process.SetClock(now, 1, step) })
	}
}

// planFramesDuplicated duplicates frames, except those to clients: an answer received twice violates rule 1.
func (r *Run) planFramesDuplicated(fault plannedFault) {
	targets := slices.Concat(r.nodes, r.allocators, []*network.Interceptor{r.discovery})
	r.injectFrameFaults(targets, fault, network.FrameFaults{Duplicate: true})
}

func (r *Run) planFramesDelayed(fault plannedFault) {
	r.injectFrameFaults(r.allProcesses(), fault, network.FrameFaults{Delay: placement.Millis(fault.Size)})
}

func (r *Run) planFramesReordered(fault plannedFault) {
	r.injectFrameFaults(r.allProcesses(), fault, network.FrameFaults{Delay: placement.Millis(fault.Size), Reorder: true})
}

// injectFrameFaults applies frame faults to a share of the frames that arrive at the target processes.
func (r *Run) injectFrameFaults(targets []*network.Interceptor, fault plannedFault, faults network.FrameFaults) {
	for _, process := range targets {
		processFaults := faults
		processFaults.Share = fault.Share
		processFaults.Random = rand.New(rand.NewPCG(r.rng.Uint64(), frameFaultStream))
		schedule := func(at placement.Millis, do func(now placement.Millis)) { r.host.RunAt(process, at, do) }
		r.host.RunAt(process, fault.from, func(placement.Millis) { process.SetFrameFaults(&processFaults, schedule) })
		r.host.RunAt(process, fault.until, func(placement.Millis) { process.SetFrameFaults(nil, schedule) })
	}
}
