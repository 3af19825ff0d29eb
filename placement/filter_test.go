package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFeasible_CapacityAndLoadCap(t *testing.T) {
	for _, c := range []struct {
		name      string
		cores     float64
		memory    float64
		usedCores float64
		want      bool
	}{
		{"fits: feasible", 1, 1, 1, true},
		{"cores do not fit: not feasible", 11, 1, 0, false},
		{"memory does not fit: not feasible", 1, 21, 0, false},
		{"load over the cap: not feasible", 2, 1, 8, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 1)
			reportUsed(scheduler, 0, 1, c.usedCores)
			pending := pendingWorkload(scheduler, idempotent, c.cores, c.memory)
			assert.Equal(t, c.want, scheduler.filter.feasible(0, pending, scheduler.node(1)))
		})
	}
}

// Rule 3 of internal/simulation/audit: no bind goes to a node that drains, is removed, or is missing from a snapshot.
func TestFeasible_OnlyReadyNodes(t *testing.T) {
	scheduler := newFleet(t, 2)
	pending := pendingWorkload(scheduler, idempotent, 1, 1)
	scheduler.UpdateNodes(1, Delta, []Node{entry(1, Draining)})
	assert.False(t, scheduler.filter.feasible(1, pending, scheduler.node(1)), "draining")
	scheduler.UpdateNodes(2, Snapshot, []Node{entry(1, Ready)})
	assert.True(t, scheduler.filter.feasible(2, pending, scheduler.node(1)), "ready again")
	assert.False(t, scheduler.filter.feasible(2, pending, scheduler.node(2)), "missing from the snapshot")
}

func TestMayRepeat_OnlyWithinKeyScopeAndWindow(t *testing.T) {
	for _, c := range []struct {
		name string
		now  Millis
		node NodeID
		want bool
	}{
		{"same cell, within the window: may repeat", 4000, 1, true},
		{"another cell: may not", 4000, 2, false},
		{"after the window: may not", 5000, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 2)
			pending := pendingWorkload(scheduler, keyedInCell, 1, 1)
			pending.firstUncertain = &bind{
				workload: pending,
				node:     scheduler.node(1),
				sentAt:   0,
			}
			assert.Equal(t, c.want, mayRepeat(c.now, pending, scheduler.node(c.node)))
		})
	}
}

// Rule 5 of internal/simulation/audit: the number of workloads of a service in one spread scope never exceeds the
// limit.
func TestSpreadAllows_AtMostMaxPerScope(t *testing.T) {
	for _, c := range []struct {
		name      string
		scope     Scope
		sameNode  bool
		otherNode bool // whether a node in another cell of the same zone is allowed
	}{
		{"node: another node is allowed", ScopeNode, false, true},
		{"cell: another cell is allowed", ScopeCell, false, true},
		{"zone: no node of the zone is allowed", ScopeZone, false, false},
		{"none: all nodes are allowed", ScopeNone, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 2)
			pending := pendingWorkload(scheduler, idempotent, 1, 1)
			pending.group.SpreadScope = c.scope
			pending.group.MaxPerScope = 1
			scheduler.node(1).addBind(0, pending)
			assert.Equal(t, c.sameNode, scheduler.filter.spreadAllows(pending, scheduler.node(1)))
			assert.Equal(t, c.otherNode, scheduler.filter.spreadAllows(pending, scheduler.node(2)))
		})
	}
}
