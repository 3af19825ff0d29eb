package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFeasible_CapacityAndLoadCap(t *testing.T) {
	for name, c := range map[string]struct {
		cores, memory, used float64
		want                bool
	}{
		"fits":                 {1, 1, 1, true},
		"cores do not fit":     {11, 1, 0, false},
		"memory does not fit":  {1, 21, 0, false},
		"load is over the cap": {2, 1, 8, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFleet(t, 1)
			reportUsed(s, 0, 1, c.used)
			assert.Equal(t, c.want, s.filter.feasible(0, pendingWorkload(s, 0, c.cores, c.memory), s.node(1)))
		})
	}
}

// Rule 3: nothing goes to a node that drains, is removed, or is missing from a snapshot.
func TestFeasible_OnlyReadyNodes(t *testing.T) {
	s := newFleet(t, 2)
	s.UpdateNodes(1, Delta, []Node{entry(1, Draining)})
	assert.False(t, s.filter.feasible(1, pendingWorkload(s, 0, 1, 1), s.node(1)))
	s.UpdateNodes(2, Snapshot, []Node{entry(1, Ready)})
	assert.True(t, s.filter.feasible(2, pendingWorkload(s, 0, 1, 1), s.node(1)))
	assert.False(t, s.filter.feasible(2, pendingWorkload(s, 0, 1, 1), s.node(2)))
}

func TestMayRepeat_WithinKeyScopeAndWindow(t *testing.T) {
	s := newFleet(t, 2)
	wl := pendingWorkload(s, keyedInCell, 1, 1)
	wl.uncertain = &bind{workload: wl, node: s.node(1), sentAt: 0}
	assert.True(t, mayRepeat(4000, wl, s.node(1)))
	assert.False(t, mayRepeat(4000, wl, s.node(2)), "another cell")
	assert.False(t, mayRepeat(5000, wl, s.node(1)), "after the window")
}

// Rule 5: the workloads of a service in one scope never exceed its limit.
func TestSpreadAllows_AtMostMaxPerScope(t *testing.T) {
	for name, c := range map[string]struct {
		scope               Scope
		sameNode, otherNode bool
	}{
		"node": {ScopeNode, false, true},
		"cell": {ScopeCell, false, true},
		"zone": {ScopeZone, false, false},
		"none": {ScopeNone, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFleet(t, 2) // both in one zone
			wl := pendingWorkload(s, 0, 1, 1)
			wl.group.SpreadScope, wl.group.MaxPerScope = c.scope, 1
			s.node(1).addBind(0, wl)
			assert.Equal(t, c.sameNode, s.filter.spreadAllows(wl, s.node(1)))
			assert.Equal(t, c.otherNode, s.filter.spreadAllows(wl, s.node(2)))
		})
	}
}

func TestRejections_LackOfCapacityBlocksRequestsNoSmallerForAWhile(t *testing.T) {
	s := newFleet(t, 1)
	log := rejectionLog{{at: 0, size: resources{2, 2}, reason: InsufficientCores}}
	assert.True(t, log.block(1, pendingWorkload(s, 0, 2, 1)))
	assert.False(t, log.block(1, pendingWorkload(s, 0, 1, 1)))
	assert.False(t, log.block(capacityRejectionPause+1, pendingWorkload(s, 0, 2, 1)))
}

func TestRejections_WithoutReasonBlockOnlyTheGroup(t *testing.T) {
	s := newFleet(t, 1)
	log := rejectionLog{{at: 0, group: &s.groups[atMostOnce], reason: ReasonUnspecified}}
	assert.True(t, log.block(groupRejectionPause-1, pendingWorkload(s, atMostOnce, 1, 1)))
	assert.False(t, log.block(1, pendingWorkload(s, idempotent, 1, 1)), "others keep using the node")
	assert.False(t, log.block(groupRejectionPause, pendingWorkload(s, atMostOnce, 1, 1)), "it is tried again")
}
