package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Rule 4 of internal/simulation/audit: if a snapshot lacks a node that is warming up, the node's table entry must
// survive. Otherwise the binds sent to it are lost from the count, and the next snapshot with the node renews its whole
// budget.
func TestNodeTable_NodeBrieflyMissingKeepsItsWarmUpCount(t *testing.T) {
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
	assert.Empty(t, scheduler.nodes.byID, "removed after the warm-up window")
}
