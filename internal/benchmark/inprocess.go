package benchmark

import (
	"time"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

const (
	maintenanceInterval = 250 // ms of the module's time
	clockCheckInterval  = 64  // decisions between two looks at the clock
	eventLogSize        = 1 << 14
)

// moduleRate returns how many decisions a second the placement module makes.
func (f Fleet) moduleRate(length time.Duration) float64 {
	m := placement.New(settings(), 1)
	m.UpdateNodes(0, placement.Snapshot, f.nodes())
	last := f.adoptResidents(func(w placement.Workload, node placement.NodeID) { m.Adopt(0, w, node) })
	decide := func(now placement.Millis, id placement.WorkloadID) {
		step := m.Schedule(now, workload(id))
		load := loadReport
		if step.Kind == placement.Bind {
			step = step.NextStep(now, placement.Result{Kind: placement.Confirmed, Load: &load})
			step.NextStep(now, placement.Result{Kind: placement.Ended})
		}
	}
	return decisionRate(length, last, decide, func(now placement.Millis) { m.Maintain(now) })
}

// engineRate returns how many decisions a second the engine makes, with its timers and its event log.
func (f Fleet) engineRate(length time.Duration) float64 {
	host := &lastBind{}
	e := allocator.New(settings(), 1, host, allocator.Options{EnforceTimeouts: true, Log: eventlog.New(eventLogSize)})
	e.Start(0)
	e.UpdateNodes(0, placement.Snapshot, f.nodes())
	last := f.adoptResidents(func(w placement.Workload, node placement.NodeID) { e.Adopt(0, w, node) })
	decide := func(now placement.Millis, id placement.WorkloadID) {
		load := loadReport
		e.Schedule(now, workload(id))
		e.BindConfirmed(now, id, host.bind, &load)
		e.BindEnded(now, id, host.bind, host.node, placement.Result{Kind: placement.Ended})
	}
	return decisionRate(length, last, decide, e.Tick)
}

// adoptResidents adopts the residents of each node, and returns the id of the last.
func (f Fleet) adoptResidents(adopt func(placement.Workload, placement.NodeID)) (last placement.WorkloadID) {
	for n := range f.Nodes {
		for range f.Residents {
			last++
			adopt(workload(last), placement.NodeID(n+1))
		}
	}
	return last
}

// decisionRate calls decide for one workload after the other, from the one after last on and a millisecond of the module's
// time apart, and returns how many a second it gets through.
func decisionRate(
	length time.Duration, last placement.WorkloadID,
	decide func(placement.Millis, placement.WorkloadID), maintain func(placement.Millis),
) float64 {
	start, decisions := time.Now(), 0
	for now := placement.Millis(0); ; now++ {
		if int(now)%maintenanceInterval == 0 {
			maintain(now)
		}
		last++
		decisions++
		decide(now, last)
		if decisions%clockCheckInterval == 0 && time.Since(start) > length {
			return float64(decisions) / time.Since(start).Seconds()
		}
	}
}

// lastBind is a host of an engine that keeps the last bind and ignores all other actions.
type lastBind struct {
	node placement.NodeID
	bind int
}

func (h *lastBind) Bind(_ placement.WorkloadID, bind int, node placement.NodeID, _ placement.Millis) {
	h.bind, h.node = bind, node
}

func (*lastBind) Stop(placement.WorkloadID, int, placement.NodeID, allocator.StopReason, bool) {}
func (*lastBind) CheckHealth(placement.NodeID)                                                 {}
func (*lastBind) SubscribeNodes()                                                              {}
func (*lastBind) Answer(placement.WorkloadID, allocator.Verdict, placement.NodeID)             {}
func (*lastBind) NotifyEnded(placement.WorkloadID, placement.NodeID, bool, placement.Reason)   {}
func (*lastBind) Forget(placement.WorkloadID)                                                  {}
func (*lastBind) Wake(placement.Millis)                                                        {}
