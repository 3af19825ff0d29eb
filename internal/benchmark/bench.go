// Package benchmark measures how fast an allocator decides: the module alone, the engine beside it, and the whole
// path over loopback sockets, in one run, so that the ratios hold on any machine.
package benchmark

import (
	"fmt"
	conf "grebeglade/config"
	"runtime"
	"slices"
	"time"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/internal/replay"
	"grebeglade/placement"
)

// Fleet is what decisions are measured on: nodes of 64 cores, each with residents of ours.
type Fleet struct {
	Nodes, Residents int

	trace replay.Sink // nil for none

	state conf.State // where binds are written down, if it has a directory
	once  bool       // every workload is run-once
}

const (
	cores, memory = 64, 256
	services      = 50
	rounds        = 5 // of each, in turn; the median counts
)

// Rates are decisions a second at one size, and the ratios to the module alone.
type Rates struct {
	Nodes         int     `json:"nodes"`
	Residents     int     `json:"residents"`
	Module        float64 `json:"module_per_second"`
	Engine        float64 `json:"engine_per_second"`
	EngineRatio   float64 `json:"engine_ratio"`
	Sockets       float64 `json:"sockets_per_second,omitempty"`
	SocketsRatio  float64 `json:"sockets_ratio,omitempty"`
	OfferMedianMs float64 `json:"ask_to_offer_median_ms,omitempty"` // at half of the sockets' rate
	Offer99Ms     float64 `json:"ask_to_offer_p99_ms,omitempty"`
	LateSends     int     `json:"late_sends"` // asks that the tool itself sent over 1 ms late
}

func settings(allocators int) placement.Settings {
	return placement.Settings{
		Allocators: allocators, NodeKinds: []placement.NodeKind{{Cores: cores, Memory: memory}}, MaxBinds: 3, EntriesCarryCapacity: true,
		ReportsUsage: true, WarmUpDuration: 15e3, WarmUpBudget: 24, OverloadWindow: 2e3,
		Groups: []placement.Group{{LatencyObjective: 1e3, PriorityWeight: 1, FullServiceUtilization: 0.8, DegradationRange: 0.2, RequiredKind: -1}},
	}
}

func (f Fleet) entries() []placement.Node {
	nodes := make([]placement.Node, f.Nodes)
	for i := range nodes {
		nodes[i] = placement.Node{
			ID: placement.NodeID(i + 1), Cell: placement.CellID(i / 8), StartedAt: placement.DistantPast,
			FreeCores: cores / 2, FreeMemory: memory / 2,
		}
	}
	return nodes
}

func workload(id placement.WorkloadID) placement.Workload {
	return placement.Workload{ID: id, Service: placement.ServiceID(id % services), Cores: 0.5, Memory: 1, PendingTimeout: 6000}
}

var load = placement.LoadReport{SpareCores: cores * 0.6, SpareMemory: memory * 0.6, Backlog: 0, Utilization: 0.4}

// module carries workloads from ask to end with the module alone, and returns how many a second.
func (f Fleet) module(long time.Duration) float64 {
	a := placement.New(settings(1), 1)
	a.UpdateNodes(0, placement.Snapshot, f.entries())
	id := placement.WorkloadID(0)
	for n := range f.Nodes {
		for range f.Residents {
			id++
			a.Adopt(0, workload(id), placement.NodeID(n+1))
		}
	}
	return f.rate(long, func(now placement.Millis, id placement.WorkloadID) {
		s := a.Schedule(now, workload(id))
		l := load
		if s.Kind == placement.Bind {
			s = s.NextStep(now, placement.Result{Kind: placement.Confirmed, Load: &l})
			s.NextStep(now, placement.Result{Kind: placement.Ended})
		}
	}, func(now placement.Millis) { a.Maintain(now) }, id)
}

// rate calls one for workload after workload, a millisecond of the module's time apart.
func (f Fleet) rate(
	long time.Duration, one func(placement.Millis, placement.WorkloadID), chores func(placement.Millis), id placement.WorkloadID,
) float64 {
	began, n := time.Now(), 0
	for now := placement.Millis(0); ; now++ {
		if int(now)%250 == 0 {
			chores(now)
		}
		id++
		n++
		one(now, id)
		if n%64 == 0 && time.Since(began) > long {
			return float64(n) / time.Since(began).Seconds()
		}
	}
}

// nowhere is a world that remembers the last bind only.
type nowhere struct {
	node placement.NodeID
	bind int
}

func (w *nowhere) Bind(_ placement.WorkloadID, bind int, n placement.NodeID, _ placement.Millis) {
	w.bind, w.node = bind, n
}
func (*nowhere) Stop(placement.WorkloadID, int, placement.NodeID, allocator.StopReason, bool) {}
func (*nowhere) CheckHealth(placement.NodeID)                                                 {}
func (*nowhere) SubscribeNodes()                                                              {}
func (*nowhere) Answer(placement.WorkloadID, allocator.Verdict, placement.NodeID)             {}
func (*nowhere) NotifyEnded(placement.WorkloadID, placement.NodeID, bool, placement.Reason)   {}
func (*nowhere) Forget(placement.WorkloadID)                                                  {}
func (*nowhere) Wake(placement.Millis)                                                        {}

// engine does the same through the engine, with its record and its timers.
func (f Fleet) engine(long time.Duration) float64 {
	w := &nowhere{}
	e := allocator.New(settings(1), 1, w, allocator.Options{EnforceTimeouts: true, Log: eventlog.New(1 << 14)})
	e.Start(0)
	e.UpdateNodes(0, placement.Snapshot, f.entries())
	id := placement.WorkloadID(0)
	for n := range f.Nodes {
		for range f.Residents {
			id++
			e.Adopt(0, workload(id), placement.NodeID(n+1))
		}
	}
	return f.rate(long, func(now placement.Millis, id placement.WorkloadID) {
		l := load
		e.Schedule(now, workload(id))
		e.BindConfirmed(now, id, w.bind, &l)
		e.BindEnded(now, id, w.bind, w.node, placement.Result{Kind: placement.Ended})
	}, e.Tick, id)
}

// Measure measures one size, each part in turn, several times over.
func Measure(f Fleet, long time.Duration, sockets bool) (Rates, error) {
	r := Rates{Nodes: f.Nodes, Residents: f.Residents}
	var modules, engines, overSockets, ratios, socketRatios []float64
	for range rounds {
		m, e := f.module(long), f.engine(long)
		modules, engines, ratios = append(modules, m), append(engines, e), append(ratios, e/m)
		if sockets {
			s, err := f.sockets(long)
			if err != nil {
				return r, err
			}
			overSockets, socketRatios = append(overSockets, s), append(socketRatios, s/m)
		}
	}
	r.Module, r.Engine, r.EngineRatio = median(modules), median(engines), median(ratios)
	if !sockets {
		return r, nil
	}
	r.Sockets, r.SocketsRatio = median(overSockets), median(socketRatios)
	waits, late, err := f.latency(2*long, r.Sockets/2)
	if err != nil {
		return r, err
	}
	r.OfferMedianMs, r.Offer99Ms, r.LateSends = waits.median, waits.p99, late
	return r, nil
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// Memory is what an allocator holds for its residents.
type Memory struct {
	Residents int     `json:"residents"`
	Bytes     uint64  `json:"bytes"`
	Each      float64 `json:"bytes_each"`
}

// Held measures the memory of so many residents, on the wire's side too.
func Held(residents int) (Memory, error) {
	before := live()
	p, err := filled(residents)
	if err != nil {
		return Memory{}, err
	}
	after := live()
	if p.WorkloadCount() != residents {
		return Memory{}, fmt.Errorf("%d of %d workloads are held", p.WorkloadCount(), residents)
	}
	runtime.KeepAlive(p)
	m := Memory{Residents: residents, Bytes: after - min(before, after)}
	m.Each = float64(m.Bytes) / float64(residents)
	return m, nil
}

func live() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
