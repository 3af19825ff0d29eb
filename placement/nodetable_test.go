package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Rule 4: a snapshot without a node that was warming up made the table forget what had been sent to it, and the next
// snapshot renewed its whole budget.
func TestNodeTable_NodeMissingForAMomentKeepsItsWarmUpBudget(t *testing.T) {
	scheduler := newFleet(t, 0)
	scheduler.settings.WarmUpDuration = 10e3
	scheduler.settings.InitialRate = 1
	scheduler.slowStart.bindsPerWindow = 1
	scheduler.slowStart.window = 2000
	scheduler.slowStart.startedAt = -9e3
	warming := entry(1, Ready)
	warming.StartedAt = -1
	scheduler.UpdateNodes(0, Snapshot, []Node{warming})
	scheduler.Schedule(0, requestOneCore(idempotent, 5000)).NextStep(10, Result{Kind: RejectedByNode})
	scheduler.UpdateNodes(20, Snapshot, nil)
	scheduler.Maintain(20)
	scheduler.UpdateNodes(30, Snapshot, []Node{warming})
	assert.False(t, scheduler.slowStart.allows(30, scheduler.node(1)))
	scheduler.UpdateNodes(40, Snapshot, nil)
	scheduler.Maintain(40)
	scheduler.Maintain(3000)
	assert.Empty(t, scheduler.nodes.byID, "dropped once nothing of it counts any more")
}
