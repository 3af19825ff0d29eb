package placement

import "testing"

// Groups of newFleet.
const (
	idempotent GroupID = iota
	atMostOnce
	keyedEverywhere
	keyedInCell
)

func entry(id NodeID, state NodeState) Node {
	return Node{ID: id, State: state, Cell: CellID(id), StartedAt: DistantPast, FreeCores: 10, FreeMemory: 20}
}

// newFleet returns a scheduler that knows that many empty nodes of 10 cores and 20 of memory, each in a cell
// of its own.
func newFleet(t *testing.T, nodes int) *Scheduler {
	t.Helper()
	group := Group{LatencyObjective: 1000, PriorityWeight: 1, KeyWindow: 5000, RequiredKind: AnyKind}
	groups := []Group{group, group, group, group}
	groups[atMostOnce].Idempotency, groups[atMostOnce].PriorityWeight = AtMostOnce, 5
	groups[keyedEverywhere].Idempotency, groups[keyedEverywhere].KeyScope = IdempotentByKey, ScopeAll
	groups[keyedInCell].Idempotency, groups[keyedInCell].KeyScope = IdempotentByKey, ScopeCell
	s := New(Settings{
		Allocators: 1, Groups: groups, NodeKinds: []NodeKind{{10, 20}}, MaxBinds: 3, EntriesCarryCapacity: true,
		ReportsUsage: true, ConfirmsRunning: true,
	}, 1)
	for id := range nodes {
		s.UpdateNodes(0, Delta, []Node{entry(NodeID(id+1), Ready)})
	}
	return s
}

// node returns the node of that id.
func (s *Scheduler) node(id NodeID) *node { return s.nodes.byID[id] }

// reportUsed has a node report so many cores in use.
func reportUsed(s *Scheduler, now Millis, id NodeID, used float64) {
	s.ReportLoad(now, id, LoadReport{SpareCores: 10 - used, SpareMemory: 20})
}

func pendingWorkload(s *Scheduler, g GroupID, cores, memory float64) *workload {
	return &workload{
		Workload: Workload{Service: 1, Cores: cores, Memory: memory, Group: g}, group: &s.groups[g],
		startBy: 1000, expiresAt: 6000,
	}
}

// isReserved reports whether n is kept from the workload.
func isReserved(s *Scheduler, now Millis, workload *workload, n *node) bool {
	reserved := s.reservations.against(now, workload)
	return reserved.excludes(n)
}
