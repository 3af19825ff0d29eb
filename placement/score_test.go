package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSelectNode_LeastLoadedThenTheOneThatRunsTheService(t *testing.T) {
	s := newFleet(t, 2)
	reportUsed(s, 0, 1, 1)
	reportUsed(s, 0, 2, 5)
	wl := pendingWorkload(s, 0, 1, 1)
	assert.Equal(t, NodeID(1), s.selectNode(0, wl).ID)
	s.node(2).addBind(0, wl).advance(bindRunning)
	assert.Equal(t, NodeID(2), s.selectNode(0, wl).ID)
}

func TestSelectNode_UncrowdedNodesOfTheServiceThenCrowdedThenOthers(t *testing.T) {
	s := newFleet(t, 3)
	s.groups[0].fullServiceLoad, s.groups[0].loadCap = 0.6, 0.9
	wl := pendingWorkload(s, 0, 1, 1)
	for id, used := range map[NodeID]float64{1: 2, 2: 7, 3: 4} {
		reportUsed(s, 0, id, used)
	}
	s.node(2).addBind(0, wl).advance(bindRunning)
	assert.Equal(t, NodeID(2), s.selectNode(0, wl).ID, "crowded, but it runs the service")
	s.node(3).addBind(0, wl).advance(bindRunning)
	for range 20 {
		assert.Equal(t, NodeID(3), s.selectNode(0, wl).ID)
	}
}

func TestSelectNode_AllocatorsAgreeOnTheFirstNodeOfAService(t *testing.T) {
	picks := map[ServiceID]NodeID{}
	for seed := range uint64(4) {
		s := newFleet(t, 6)
		s.random.seed, s.settings.Allocators = seed, 4
		for service := range ServiceID(20) {
			wl := pendingWorkload(s, 0, 1, 1)
			wl.Service = service
			n := s.selectNode(0, wl).ID
			if seed > 0 {
				assert.Equal(t, picks[service], n)
			}
			picks[service] = n
		}
	}
}

func TestSelectNode_FirstNodeOfAServiceIsTheRoomierOfTwoInAnyZone(t *testing.T) {
	s := newFleet(t, 2)
	s.settings.Allocators = 300
	for i, n := range s.nodes.sorted {
		n.Zone, n.FreeCores = ZoneID(i), float64(4+i)
	}
	for service := range ServiceID(9) {
		wl := pendingWorkload(s, 0, 1, 1)
		wl.Service = service
		assert.Equal(t, NodeID(2), s.selectNode(0, wl).ID, "in another zone than ours")
	}
}
