package placement

import "testing"

// Groups of newFleet.
const (
	idempotent GroupID = iota
	atMostOnce
	keyedEverywhere
	keyedInCell
)

// Size of the nodes of newFleet.
const (
	nodeCores  = 10.0
	nodeMemory = 20.0
)

// newFleet returns a scheduler with the given number of empty nodes, numbered from 1, each in its own cell.
func newFleet(t *testing.T, nodes int) *Scheduler {
	t.Helper()
	scheduler := New(Settings{
		Allocators:           1,
		Groups:               fleetGroups(),
		NodeKinds:            []NodeKind{{Cores: nodeCores, Memory: nodeMemory}},
		MaxBinds:             3,
		EntriesCarryCapacity: true,
		ReportsUsage:         true,
		ConfirmsRunning:      true,
	}, 1)
	for id := range nodes {
		scheduler.UpdateNodes(0, Delta, []Node{entry(NodeID(id+1), Ready)})
	}
	return scheduler
}

// fleetGroups returns the groups of newFleet, indexed by GroupID. atMostOnce has a higher weight than the others.
func fleetGroups() []Group {
	group := Group{
		LatencyObjective: 1000,
		PriorityWeight:   1,
		KeyWindow:        5000,
		RequiredKind:     AnyKind,
	}
	groups := []Group{group, group, group, group}
	groups[atMostOnce].Idempotency = AtMostOnce
	groups[atMostOnce].PriorityWeight = 5
	groups[keyedEverywhere].Idempotency = IdempotentByKey
	groups[keyedEverywhere].KeyScope = ScopeAll
	groups[keyedInCell].Idempotency = IdempotentByKey
	groups[keyedInCell].KeyScope = ScopeCell
	return groups
}

// entry returns the node list entry of an empty node. Its start time is DistantPast, so that it does not warm up.
func entry(id NodeID, state NodeState) Node {
	return Node{
		ID:         id,
		State:      state,
		Cell:       CellID(id),
		StartedAt:  DistantPast,
		FreeCores:  nodeCores,
		FreeMemory: nodeMemory,
	}
}

// node returns the node with that ID.
func (s *Scheduler) node(id NodeID) *node { return s.nodes.byID[id] }

// reportUsed records a load report of the node with the given number of cores in use.
func reportUsed(scheduler *Scheduler, now Millis, id NodeID, used float64) {
	scheduler.ReportLoad(now, id, LoadReport{SpareCores: nodeCores - used, SpareMemory: nodeMemory})
}

// requestOneCore returns a request for one core and one unit of memory.
func requestOneCore(group GroupID, pendingTimeout Millis) Workload {
	return Workload{
		Group:          group,
		Cores:          1,
		Memory:         1,
		PendingTimeout: pendingTimeout,
	}
}

// pendingWorkload returns a workload of service 1 that was requested at time 0.
func pendingWorkload(scheduler *Scheduler, group GroupID, cores, memory float64) *workload {
	return &workload{
		Workload: Workload{
			Service: 1,
			Group:   group,
			Cores:   cores,
			Memory:  memory,
		},
		group:         &scheduler.groups[group],
		startDeadline: 1000,
		expiresAt:     6000,
	}
}

// isReserved reports whether n is excluded for the workload because of a reservation.
func isReserved(scheduler *Scheduler, now Millis, w *workload, n *node) bool {
	reserved := scheduler.reservations.against(now, w)
	return reserved.excludes(n)
}
