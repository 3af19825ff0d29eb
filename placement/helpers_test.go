package placement

import "testing"

const (
	restartable GroupID = iota
	runOnce
	dedupAll
	dedupCell
)

func entry(id NodeID, state NodeState) Node {
	return Node{ID: id, State: state, Cell: CellID(id), Born: LongAgo, FreeCores: 10, FreeMemory: 20}
}

// fleet is an allocator that knows that many empty machines of 10 cores and 20 of memory.
func fleet(t *testing.T, machines int) *Allocator {
	t.Helper()
	group := Group{Target: 1000, Utility: 1, DedupWindow: 5000, Kind: -1}
	groups := []Group{group, group, group, group}
	groups[runOnce].Effect, groups[runOnce].Utility = RunOnce, 5
	groups[dedupAll].Effect, groups[dedupAll].DedupScope = Deduplicated, ScopeAll
	groups[dedupCell].Effect, groups[dedupCell].DedupScope = Deduplicated, ScopeCell
	a := New(Settings{
		Allocators: 1, Groups: groups, Kinds: []Kind{{10, 20}}, MaxBinds: 3, RoomInList: true, ReportsUse: true,
		ConfirmsRunning: true,
	}, 1)
	for id := range machines {
		a.List(0, Changes, []Node{entry(NodeID(id+1), Ready)})
	}
	return a
}

// heard has a machine report so many cores in use.
func heard(a *Allocator, now Millis, id NodeID, used float64) {
	a.Report(now, id, Load{SpareCores: 10 - used, SpareMemory: 20})
}

func newAsk(a *Allocator, g GroupID, cores, memory float64) *workload {
	return &workload{Workload: Workload{Service: 1, Cores: cores, Memory: memory, Group: g}, group: &a.groups[g],
		due: 1000, expires: 6000}
}
