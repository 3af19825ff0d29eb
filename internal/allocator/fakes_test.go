package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// The actions that a fakeHost records: one type for each method of Actions that the tests check.
type (
	// bound is a call of Bind.
	bound struct {
		workload placement.WorkloadID
		bind     int
		node     placement.NodeID
	}
	// stopped is a call of Stop.
	stopped struct {
		workload    placement.WorkloadID
		bind        int
		reason      StopReason
		onlyPending bool
	}
	// healthChecked is a call of CheckHealth.
	healthChecked struct{ node placement.NodeID }
	// subscribed is a call of SubscribeNodes.
	subscribed struct{}
	// answered is a call of Answer.
	answered struct {
		workload placement.WorkloadID
		verdict  Verdict
	}
	// notifiedEnded is a call of NotifyEnded.
	notifiedEnded struct {
		workload  placement.WorkloadID
		migrating bool
		reason    placement.Reason
	}
)

// fakeHost is a Host that records the engine's actions.
type fakeHost struct{ actions []any }

func (h *fakeHost) record(action any) { h.actions = append(h.actions, action) }

func (h *fakeHost) Bind(id placement.WorkloadID, bind int, node placement.NodeID, _ placement.Millis) {
	h.record(bound{
		workload: id,
		bind:     bind,
		node:     node,
	})
}

func (h *fakeHost) Stop(
	id placement.WorkloadID, bind int, _ placement.NodeID, reason StopReason, onlyPending bool,
) {
	h.record(stopped{
		workload:    id,
		bind:        bind,
		reason:      reason,
		onlyPending: onlyPending,
	})
}

func (h *fakeHost) CheckHealth(node placement.NodeID) { h.record(healthChecked{node: node}) }

func (h *fakeHost) SubscribeNodes() { h.record(subscribed{}) }

func (h *fakeHost) Answer(id placement.WorkloadID, verdict Verdict, _ placement.NodeID) {
	h.record(answered{workload: id, verdict: verdict})
}

func (h *fakeHost) NotifyEnded(
	id placement.WorkloadID, _ placement.NodeID, migrating bool, reason placement.Reason,
) {
	h.record(notifiedEnded{
		workload:  id,
		migrating: migrating,
		reason:    reason,
	})
}

func (h *fakeHost) Forget(placement.WorkloadID) {}
func (h *fakeHost) Wake(placement.Millis)       {}

// take returns the actions recorded since the previous call of take.
func (h *fakeHost) take() []any {
	actions := h.actions
	h.actions = nil
	return actions
}

// actionsOf returns the actions of type T, in order.
func actionsOf[T any](actions []any) []T {
	var found []T
	for _, action := range actions {
		if one, ok := action.(T); ok {
			found = append(found, one)
		}
	}
	return found
}

// The groups in testSettings.
const (
	idempotent placement.GroupID = iota
	atMostOnce
)

// pendingTimeout is the pending timeout of the workloads that newWorkload returns, in ms.
const pendingTimeout = placement.Millis(6000)

// answerMargin is the time between the module's final answer and the end of the pending timeout, in ms.
const answerMargin = placement.Millis(20)

// testNode is the capacity of each node in the tests.
var testNode = placement.NodeKind{Cores: 10, Memory: 20}

func testSettings() placement.Settings {
	group := placement.Group{
		LatencyObjective: 1000,
		PriorityWeight:   1,
		RequiredKind:     placement.AnyKind,
	}
	once := group
	once.Idempotency = placement.AtMostOnce
	return placement.Settings{
		Allocators:           1,
		Groups:               []placement.Group{group, once},
		NodeKinds:            []placement.NodeKind{testNode},
		MaxBinds:             3,
		EntriesCarryCapacity: true,
		ReportsUsage:         true,
	}
}

// fakeModule wraps a placement module. It records the results of steps and returns the test's maintenance actions.
type fakeModule struct {
	Module
	results     []placement.Result
	maintenance placement.Maintenance
}

// fakeMaintenanceInterval is the interval between two calls of fakeModule.Maintain, in ms.
const fakeMaintenanceInterval = placement.Millis(1000)

func (m *fakeModule) Schedule(now placement.Millis, requested placement.Workload) placement.Step {
	return m.recordResults(m.Module.Schedule(now, requested))
}

// recordResults wraps a step so that its result and the results of all following steps are recorded.
func (m *fakeModule) recordResults(step placement.Step) placement.Step {
	if next := step.NextStep; next != nil {
		step.NextStep = func(now placement.Millis, result placement.Result) placement.Step {
			m.results = append(m.results, result)
			return m.recordResults(next(now, result))
		}
	}
	return step
}

func (m *fakeModule) Maintain(now placement.Millis) placement.Maintenance {
	maintenance := m.maintenance
	maintenance.NextAt = now + fakeMaintenanceInterval
	return maintenance
}

// newTestEngine returns a started engine with the given number of empty nodes, whose ids start at 1.
func newTestEngine(nodes int) (*Engine, *fakeHost) {
	return startTestEngine(nodes, nil)
}

// newTestEngineWithFakeModule is newTestEngine with a fakeModule.
func newTestEngineWithFakeModule(nodes int) (*Engine, *fakeHost, *fakeModule) {
	module := &fakeModule{Module: placement.New(testSettings(), 1)}
	engine, host := startTestEngine(nodes, module)
	return engine, host, module
}

// startTestEngine returns a started engine with the module, or with the default placement module if it is nil.
func startTestEngine(nodes int, module Module) (*Engine, *fakeHost) {
	host := &fakeHost{}
	engine := New(testSettings(), 1, host, Options{
		EnforceTimeouts: true,
		Log:             eventlog.New(100),
		Module:          module,
	})
	engine.Start(0)
	var entries []placement.Node
	for i := range nodes {
		entries = append(entries, placement.Node{
			ID:         placement.NodeID(i + 1),
			Cell:       placement.CellID(i),
			StartedAt:  placement.DistantPast,
			FreeCores:  testNode.Cores,
			FreeMemory: testNode.Memory,
		})
	}
	engine.UpdateNodes(0, placement.Snapshot, entries)
	return engine, host
}

// newWorkload returns a workload that uses a small share of a test node.
func newWorkload(id placement.WorkloadID, group placement.GroupID) placement.Workload {
	return placement.Workload{
		ID:             id,
		Service:        1,
		Group:          group,
		Cores:          1,
		Memory:         1,
		PendingTimeout: pendingTimeout,
	}
}

// endedResult returns the result for a placed workload that has ended.
func endedResult() placement.Result { return placement.Result{Kind: placement.Ended} }
