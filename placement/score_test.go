package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSelectNode_RunningNodeBeforeLeastLoaded(t *testing.T) {
	scheduler := newFleet(t, 2)
	reportUsed(scheduler, 0, 1, 1)
	reportUsed(scheduler, 0, 2, 5)
	pending := pendingWorkload(scheduler, idempotent, 1, 1)
	assert.Equal(t, NodeID(1), scheduler.selectNode(0, pending).ID, "least loaded")
	scheduler.node(2).addBind(0, pending).advance(bindRunning)
	assert.Equal(t, NodeID(2), scheduler.selectNode(0, pending).ID, "runs the service")
}

func TestSelectNode_PrefersRunningNodesWithFullService(t *testing.T) {
	scheduler := newFleet(t, 3)
	scheduler.groups[idempotent].fullServiceLoad = 0.6
	scheduler.groups[idempotent].loadCap = 0.9
	pending := pendingWorkload(scheduler, idempotent, 1, 1)
	for id, used := range map[NodeID]float64{1: 2, 2: 7, 3: 4} {
		reportUsed(scheduler, 0, id, used)
	}
	scheduler.node(2).addBind(0, pending).advance(bindRunning)
	assert.Equal(t, NodeID(2), scheduler.selectNode(0, pending).ID, "above the full-service load, but runs the service")
	scheduler.node(3).addBind(0, pending).advance(bindRunning)
	for range 20 {
		assert.Equal(t, NodeID(3), scheduler.selectNode(0, pending).ID)
	}
}

func TestSelectNode_AllocatorsSelectTheSameFirstNodeOfAService(t *testing.T) {
	selected := map[ServiceID]NodeID{}
	for seed := range uint64(4) {
		scheduler := newFleet(t, 6)
		scheduler.random.seed = seed
		scheduler.settings.Allocators = 4
		for service := range ServiceID(20) {
			pending := pendingWorkload(scheduler, idempotent, 1, 1)
			pending.Service = service
			id := scheduler.selectNode(0, pending).ID
			if seed > 0 {
				assert.Equal(t, selected[service], id)
			}
			selected[service] = id
		}
	}
}

func TestSelectNode_FirstNodeOfAServiceIsTheOneWithMoreCapacityInAnyZone(t *testing.T) {
	scheduler := newFleet(t, 2)
	scheduler.settings.Allocators = 300
	for i, n := range scheduler.nodes.sorted {
		n.Zone = ZoneID(i)
		n.FreeCores = float64(4 + i)
	}
	for service := range ServiceID(9) {
		pending := pendingWorkload(scheduler, idempotent, 1, 1)
		pending.Service = service
		assert.Equal(t, NodeID(2), scheduler.selectNode(0, pending).ID, "more capacity, in a zone other than the allocator's")
	}
}
