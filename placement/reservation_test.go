package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReservations_RoomiestNodeIsKeptForLargeRequestsOfHigherWeight(t *testing.T) {
	s := newFleet(t, 2)
	s.node(1).FreeCores, s.node(2).FreeCores = 6.5, 3
	s.groups[atMostOnce].requests = []request{{size: resources{6, 6}}}
	reserved := s.reservations.against(60e3, pendingWorkload(s, 0, 1, 1))
	assert.True(t, reserved(s.node(1)))
	assert.False(t, reserved(s.node(2)))
	assert.False(t, s.reservations.against(60e3, pendingWorkload(s, atMostOnce, 1, 1))(s.node(1)),
		"not from the group of higher weight itself")
	s.node(1).FreeCores = 5
	assert.True(t, s.reservations.against(60e3, pendingWorkload(s, 0, 1, 1))(s.node(1)),
		"capacity builds up where most of it is")
}

func TestReservations_FirstRequestsComeBeforeRetriedOnes(t *testing.T) {
	s := newFleet(t, 1)
	s.node(1).FreeCores = 2.5
	s.groups[idempotent].requests = []request{{size: resources{2, 2}}, {size: resources{2, 2}, retried: true}}
	wl := pendingWorkload(s, idempotent, 1, 1)
	assert.False(t, s.reservations.against(1, wl)(s.node(1)), "a first request")
	wl.Retried = true
	assert.True(t, s.reservations.against(1, wl)(s.node(1)))
	assert.False(t, s.reservations.against(reservationWindow, wl)(s.node(1)), "no recent first request")
}

func TestReservations_StandForAllAllocators(t *testing.T) {
	s := newFleet(t, 4)
	s.reservations.scale = 30
	s.groups[atMostOnce].requests = []request{{size: resources{1, 1}}}
	for _, n := range s.nodes.sorted {
		n.FreeCores = 0.6 // no slot for the request of higher weight: half of the nodes fill up no further
	}
	reserved, count := s.reservations.against(1, pendingWorkload(s, 0, 0.5, 0.5)), 0
	for _, n := range s.nodes.sorted {
		if reserved(n) {
			count++
		}
	}
	assert.Equal(t, 2, count)
	assert.InDelta(t, 30, New(Settings{Allocators: 300}, 1).reservations.scale, 0)
	assert.InDelta(t, 1, New(Settings{Allocators: 3}, 1).reservations.scale, 0)
}

// Of equal nodes the first are chosen. This guards against another choice by an order that is only partly
// computed; sorting the nodes of a large fleet for each request took most of a small core.
func TestMostSlots_FirstOfEqualNodes(t *testing.T) {
	var free []nodeSlots
	for _, slots := range []float64{0.5, 3, 2, 3, -1, 2, 2} {
		free = append(free, nodeSlots{&node{}, slots})
	}
	for count, want := range [][]int{{}, {1}, {1, 3}, {1, 2, 3}, {1, 2, 3, 5}, {1, 2, 3, 5, 6}, {0, 1, 2, 3, 5, 6}} {
		chosen := mostSlots(free, count)
		assert.Len(t, chosen, len(want))
		for _, i := range want {
			assert.True(t, chosen[free[i].node], "%d of the %d", i, count)
		}
	}
	assert.Len(t, mostSlots(free, 9), 7)
	assert.Empty(t, mostSlots(nil, 1))
}
