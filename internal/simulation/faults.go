package simulation

import (
	"math"
	"slices"

	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// plannedFault is a fault with its start and end by the host's clock.
type plannedFault struct {
	scenario.Fault
	from  placement.Millis
	until placement.Millis
}

// faultPlanners holds a function for each kind of fault that schedules it. Targets are chosen at random.
var faultPlanners = map[scenario.FaultKind]func(*Run, plannedFault){
	scenario.NodeCrash:         (*Run).planNodeCrash,
	scenario.NodeSlow:          (*Run).planNodeSlow,
	scenario.NodePause:         (*Run).planNodePause,
	scenario.NoisyNeighbour:    (*Run).planNoisyNeighbour,
	scenario.RequestBurst:      (*Run).planRequestBurst,
	scenario.HotService:        (*Run).planUsageSurge,
	scenario.UsageOverrun:      (*Run).planUsageSurge,
	scenario.RollingDeploy:     (*Run).planRollingDeploy,
	scenario.CacheLoss:         (*Run).planCacheLoss,
	scenario.ServiceRestart:    (*Run).planServiceRestart,
	scenario.AllocatorPause:    (*Run).planAllocatorPause,
	scenario.AllocatorCrash:    (*Run).planAllocatorCrash,
	scenario.GroupThrottled:    (*Run).planGroupThrottled,
	scenario.NodePreemption:    (*Run).planNodePreemption,
	scenario.ZoneCut:           (*Run).planZoneCut,
	scenario.DiscoveryOverload: (*Run).planDiscoveryOverload,
	scenario.HotAllocator:      (*Run).planHotAllocator,
	scenario.ClientDisconnect:  (*Run).planClientDisconnect,
	scenario.OneWayCut:         (*Run).planOneWayCut,
	scenario.DiscoveryLate:     (*Run).planDiscoveryLate,
	scenario.DiscoveryStale:    (*Run).planDiscoveryStale,
	scenario.DiscoveryWrong:    (*Run).planDiscoveryWrong,
	scenario.DiscoveryEmpty:    (*Run).planDiscoveryEmpty,
	scenario.ClockSkew:         (*Run).planClockSkew,
	scenario.ClockStep:         (*Run).planClockStep,
	scenario.FramesDuplicated:  (*Run).planFramesDuplicated,
	scenario.FramesReordered:   (*Run).planFramesReordered,
	scenario.FramesDelayed:     (*Run).planFramesDelayed,
	scenario.LoadUnderreported: (*Run).planLoadUnderreported,
	scenario.StartsNeverHappen: (*Run).planStartsNeverHappen,
}

// planFault schedules a fault. Its kind must be one of scenario.FaultSpecs.
func (r *Run) planFault(fault scenario.Fault) {
	from := r.requestsStart + fault.At
	faultPlanners[fault.Kind](r, plannedFault{
		Fault: fault,
		from:  from,
		until: from + fault.Duration,
	})
}

// sample returns a random share of the processes, at least one if the share is above zero.
func (r *Run) sample(of []*network.Interceptor, share float64) []*network.Interceptor {
	drawn := slices.Clone(of)
	r.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	count := int(math.Ceil(share * float64(len(drawn))))
	return drawn[:min(len(drawn), count)]
}

// allProcesses returns all processes.
func (r *Run) allProcesses() []*network.Interceptor {
	return slices.Concat(r.nodes, r.allocators, r.clients, []*network.Interceptor{r.discovery})
}

// crash kills a share of the processes, and restarts them when the fault ends.
func (r *Run) crash(processes []*network.Interceptor, fault plannedFault) {
	for _, process := range r.sample(processes, fault.Share) {
		r.host.RunAt(process, fault.from, process.Kill)
		r.host.RunAt(process, fault.until, process.Restart)
	}
}

// pauseRepeatedly pauses a share of the processes once per interval, each with its own random offset. The fault's size
// is the duration of a pause in ms.
func (r *Run) pauseRepeatedly(processes []*network.Interceptor, fault plannedFault) {
	duration := placement.Millis(fault.Size)
	for _, process := range r.sample(processes, fault.Share) {
		begin := fault.from + fault.Interval*placement.Millis(r.rng.Float64())
		for at := begin; at < fault.until; at += fault.Interval {
			r.host.RunAt(process, at, func(now placement.Millis) { process.Pause(now, now+duration) })
			r.host.RunAt(process, at+duration, process.Resume)
		}
	}
}

// callHandler schedules a call of do on the process's goroutine, with the process's local time. It is skipped if the
// process does not run at that time.
func callHandler[H transport.FrameHandler](
	r *Run, process *network.Interceptor, at placement.Millis, do func(now placement.Millis, handler H),
) {
	r.host.RunAt(process, at, func(now placement.Millis) {
		if handler, ok := process.Handler().(H); ok {
			do(process.LocalTime(now), handler)
		}
	})
}

// onNode schedules a call of do on a node's goroutine.
func (r *Run) onNode(process *network.Interceptor, at placement.Millis, do func(placement.Millis, *emulator.Node)) {
	callHandler(r, process, at, do)
}

// onClients schedules a call of do for every client, on its goroutine.
func (r *Run) onClients(at placement.Millis, do func(placement.Millis, *emulator.Client)) {
	for _, process := range r.clients {
		callHandler(r, process, at, do)
	}
}

// onDiscovery schedules a call of do on the discovery service's goroutine.
func (r *Run) onDiscovery(at placement.Millis, do func(placement.Millis, *emulator.DiscoveryService)) {
	callHandler(r, r.discovery, at, do)
}
