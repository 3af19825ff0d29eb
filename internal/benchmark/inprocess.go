package benchmark

import (
	"time"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

const (
	maintenanceInterval = 250 // ms of the module's clock
	clockCheckInterval  = 64  // decisions between two reads of the wall clock
	eventLogSize        = 1 << 14
)

// inProcess is a subject that is measured without sockets: the placement module alone, or the engine with its module.
type inProcess interface {
	// decide runs a new workload from its request to its end.
	decide(now placement.Millis, id placement.WorkloadID)
	// maintain runs the periodic maintenance.
	maintain(now placement.Millis)
}

// bareModule is the placement module alone.
type bareModule struct{ scheduler *placement.Scheduler }

// startModule returns a placement module with the fleet's nodes, which has adopted the residents.
func (f Fleet) startModule() *bareModule {
	scheduler := placement.New(settings(), 1)
	scheduler.UpdateNodes(0, placement.Snapshot, f.nodes())
	f.adoptResidents(func(w placement.Workload, node placement.NodeID) { scheduler.Adopt(0, w, node) })
	return &bareModule{scheduler: scheduler}
}

func (m *bareModule) decide(now placement.Millis, id placement.WorkloadID) {
	step := m.scheduler.Schedule(now, workload(id))
	load := loadReport
	if step.Kind == placement.Bind {
		step = step.NextStep(now, placement.Result{Kind: placement.Confirmed, Load: &load})
		step.NextStep(now, placement.Result{Kind: placement.Ended})
	}
}

func (m *bareModule) maintain(now placement.Millis) { m.scheduler.Maintain(now) }

// fullEngine is the engine with its timers and its event log.
type fullEngine struct {
	engine *allocator.Engine
	host   *lastBind
}

// startEngine returns an engine with the fleet's nodes, which has adopted the residents.
func (f Fleet) startEngine() *fullEngine {
	host := &lastBind{}
	engine := allocator.New(settings(), 1, host, allocator.Options{
		EnforceTimeouts: true,
		Log:             eventlog.New(eventLogSize),
	})
	engine.Start(0)
	engine.UpdateNodes(0, placement.Snapshot, f.nodes())
	f.adoptResidents(func(w placement.Workload, node placement.NodeID) { engine.Adopt(0, w, node) })
	return &fullEngine{engine: engine, host: host}
}

func (e *fullEngine) decide(now placement.Millis, id placement.WorkloadID) {
	load := loadReport
	e.engine.Schedule(now, workload(id))
	e.engine.BindConfirmed(now, id, e.host.bind, &load)
	e.engine.BindEnded(now, id, e.host.bind, e.host.node, placement.Result{Kind: placement.Ended})
}

func (e *fullEngine) maintain(now placement.Millis) { e.engine.Tick(now) }

// adoptResidents adopts the residents of each node. Their ids are 1 to lastResident.
func (f Fleet) adoptResidents(adopt func(placement.Workload, placement.NodeID)) {
	var last placement.WorkloadID
	for i := range f.Nodes {
		for range f.Residents {
			last++
			adopt(workload(last), placement.NodeID(i+1))
		}
	}
}

// lastResident returns the highest id of a resident.
func (f Fleet) lastResident() placement.WorkloadID {
	return placement.WorkloadID(f.Nodes * f.Residents)
}

// decisions makes decisions in sequence, 1 ms of the module's clock apart, with the periodic maintenance between them.
type decisions struct {
	subject inProcess
	now     placement.Millis
	last    placement.WorkloadID // id of the latest workload
}

// decisions returns the sequence of decisions of a subject that has adopted the fleet's residents.
func (f Fleet) decisions(subject inProcess) *decisions {
	return &decisions{subject: subject, last: f.lastResident()}
}

// next makes one decision.
func (d *decisions) next() {
	if int(d.now)%maintenanceInterval == 0 {
		d.subject.maintain(d.now)
	}
	d.last++
	d.subject.decide(d.now, d.last)
	d.now++
}

// rate makes decisions for a duration, and returns their number per second.
func (d *decisions) rate(length time.Duration) float64 {
	start := time.Now()
	for made := 1; ; made++ {
		d.next()
		if made%clockCheckInterval == 0 && time.Since(start) > length {
			return float64(made) / time.Since(start).Seconds()
		}
	}
}

// lastBind is an engine's host that records the last bind and ignores all other actions.
type lastBind struct {
	node placement.NodeID
	bind int
}

func (h *lastBind) Bind(_ placement.WorkloadID, bind int, node placement.NodeID, _ placement.Millis) {
	h.node = node
	h.bind = bind
}

func (*lastBind) Stop(placement.WorkloadID, int, placement.NodeID, allocator.StopReason, bool) {}
func (*lastBind) CheckHealth(placement.NodeID)                                                 {}
func (*lastBind) SubscribeNodes()                                                              {}
func (*lastBind) Answer(placement.WorkloadID, allocator.Verdict, placement.NodeID)             {}
func (*lastBind) NotifyEnded(placement.WorkloadID, placement.NodeID, bool, placement.Reason)   {}
func (*lastBind) Forget(placement.WorkloadID)                                                  {}
func (*lastBind) Wake(placement.Millis)                                                        {}
