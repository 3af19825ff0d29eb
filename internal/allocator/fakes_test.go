package allocator

import (
	"fmt"

	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// fakeHost is a host that writes down what the engine wants.
type fakeHost struct{ actions []string }

func (h *fakeHost) add(format string, args ...any) {
	h.actions = append(h.actions, fmt.Sprintf(format, args...))
}

func (h *fakeHost) Bind(id placement.WorkloadID, bind int, n placement.NodeID, _ placement.Millis) {
	h.add("bind %d.%d to %d", id, bind, n)
}

func (h *fakeHost) Stop(id placement.WorkloadID, bind int, _ placement.NodeID, r StopReason, onlyPending bool) {
	h.add("stop %d.%d %d %v", id, bind, r, onlyPending)
}
func (h *fakeHost) CheckHealth(n placement.NodeID) { h.add("health check %d", n) }
func (h *fakeHost) SubscribeNodes()                { h.add("subscribe") }
func (h *fakeHost) Answer(id placement.WorkloadID, v Verdict, _ placement.NodeID) {
	h.add("answer %d %s", id, v)
}

func (h *fakeHost) NotifyEnded(id placement.WorkloadID, _ placement.NodeID, migrating bool, r placement.Reason) {
	h.add("ended %d %v %d", id, migrating, r)
}
func (h *fakeHost) Forget(placement.WorkloadID) {}
func (h *fakeHost) Wake(placement.Millis)       {}

// take returns what was wanted since the last call.
func (h *fakeHost) take() []string {
	actions := h.actions
	h.actions = nil
	return actions
}

// The groups of the test engines' settings.
const (
	idempotent placement.GroupID = iota
	atMostOnce
)

func testSettings() placement.Settings {
	group := placement.Group{LatencyObjective: 1000, PriorityWeight: 1, RequiredKind: -1}
	once := group
	once.Idempotency = placement.AtMostOnce
	return placement.Settings{
		Allocators: 1, Groups: []placement.Group{group, once}, NodeKinds: []placement.NodeKind{{Cores: 10, Memory: 20}},
		MaxBinds: 3, EntriesCarryCapacity: true, ReportsUsage: true,
	}
}

// fakeModule is the placement module with the results of its steps written down, and with maintenance to order.
type fakeModule struct {
	Module
	results     []placement.Result
	maintenance placement.Maintenance
}

func (m *fakeModule) Schedule(now placement.Millis, w placement.Workload) placement.Step {
	return m.record(m.Module.Schedule(now, w))
}

func (m *fakeModule) record(s placement.Step) placement.Step {
	if next := s.NextStep; next != nil {
		s.NextStep = func(now placement.Millis, r placement.Result) placement.Step {
			m.results = append(m.results, r)
			return m.record(next(now, r))
		}
	}
	return s
}

func (m *fakeModule) Maintain(now placement.Millis) placement.Maintenance {
	maintenance := m.maintenance
	maintenance.NextAt = now + 1000
	return maintenance
}

// newTestEngine returns a started engine that knows that many empty nodes of 10 cores.
func newTestEngine(nodes int) (*Engine, *fakeHost) {
	return startTestEngine(nodes, nil)
}

// newTestEngineWithFakeModule is newTestEngine on a fake module.
func newTestEngineWithFakeModule(nodes int) (*Engine, *fakeHost, *fakeModule) {
	m := &fakeModule{Module: placement.New(testSettings(), 1)}
	e, h := startTestEngine(nodes, m)
	return e, h, m
}

func startTestEngine(nodes int, m Module) (*Engine, *fakeHost) {
	h := &fakeHost{}
	e := New(testSettings(), 1, h, Options{EnforceTimeouts: true, Log: eventlog.New(100), Module: m})
	e.Start(0)
	var entries []placement.Node
	for i := range nodes {
		entries = append(entries, placement.Node{
			ID: placement.NodeID(i + 1), Cell: placement.CellID(i), StartedAt: placement.DistantPast,
			FreeCores: 10, FreeMemory: 20,
		})
	}
	e.UpdateNodes(0, placement.Snapshot, entries)
	return e, h
}

// request returns a small workload whose client waits for 6 s.
func request(id placement.WorkloadID, g placement.GroupID) placement.Workload {
	return placement.Workload{ID: id, Service: 1, Group: g, Cores: 1, Memory: 1, PendingTimeout: 6000}
}

func ended() placement.Result { return placement.Result{Kind: placement.Ended} }
