package placement

import "testing"

const (
	restartable GroupID = iota
	runOnce
	dedupAll
	dedupCell
)

func entry(id NodeID, state NodeState) Node {
	return Node{ID: id, State: state, Cell: CellID(id), StartedAt: DistantPast, FreeCores: 10, FreeMemory: 20}
}

// fleet is an allocator that knows that many empty machines of 10 cores and 20 of memory.
func fleet(t *testing.T, machines int) *Scheduler {
	t.Helper()
	group := Group{LatencyObjective: 1000, PriorityWeight: 1, KeyWindow: 5000, RequiredKind: -1}
	groups := []Group{group, group, group, group}
	groups[runOnce].Idempotency, groups[runOnce].PriorityWeight = AtMostOnce, 5
	groups[dedupAll].Idempotency, groups[dedupAll].KeyScope = IdempotentByKey, ScopeAll
	groups[dedupCell].Idempotency, groups[dedupCell].KeyScope = IdempotentByKey, ScopeCell
	a := New(Settings{
		Allocators: 1, Groups: groups, NodeKinds: []NodeKind{{10, 20}}, MaxBinds: 3, EntriesCarryCapacity: true, ReportsUsage: true,
		ConfirmsRunning: true,
	}, 1)
	for id := range machines {
		a.UpdateNodes(0, Delta, []Node{entry(NodeID(id+1), Ready)})
	}
	return a
}

// heard has a machine report so many cores in use.
func heard(a *Scheduler, now Millis, id NodeID, used float64) {
	a.ReportLoad(now, id, LoadReport{SpareCores: 10 - used, SpareMemory: 20})
}

func newAsk(a *Scheduler, g GroupID, cores, memory float64) *workload {
	return &workload{Workload: Workload{Service: 1, Cores: cores, Memory: memory, Group: g}, group: &a.groups[g],
		due: 1000, expires: 6000}
}
