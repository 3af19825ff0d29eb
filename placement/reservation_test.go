package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReservations_EmptierNodeIsReservedForHigherWeight(t *testing.T) {
	scheduler := newFleet(t, 2)
	emptier := scheduler.node(1)
	other := scheduler.node(2)
	other.FreeCores = 3
	scheduler.groups[atMostOnce].requests = []request{{size: resources{6, 6}}}
	for _, c := range []struct {
		name      string
		freeCores float64 // free cores of the emptier node
		group     GroupID
		node      *node
		want      bool
	}{
		{"emptier node, lower weight: reserved", 6.5, idempotent, emptier, true},
		{"other node, lower weight: not reserved", 6.5, idempotent, other, false},
		{"emptier node, the group of higher weight itself: not reserved", 6.5, atMostOnce, emptier, false},
		{"no whole slot, lower weight: emptier node reserved", 5, idempotent, emptier, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			emptier.FreeCores = c.freeCores
			assert.Equal(t, c.want, isReserved(scheduler, 60e3, pendingWorkload(scheduler, c.group, 1, 1), c.node))
		})
	}
}

func TestReservations_FirstRequestsHavePrecedenceOverRetries(t *testing.T) {
	scheduler := newFleet(t, 1)
	scheduler.node(1).FreeCores = 2.5
	scheduler.groups[idempotent].requests = []request{{size: resources{2, 2}}, {size: resources{2, 2}, retried: true}}
	for _, c := range []struct {
		name    string
		retried bool
		now     Millis
		want    bool
	}{
		{"first request: not reserved", false, 1, false},
		{"retry: reserved", true, 1, true},
		{"retry, no recent first request: not reserved", true, reservationWindow, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			pending := pendingWorkload(scheduler, idempotent, 1, 1)
			pending.Retried = c.retried
			assert.Equal(t, c.want, isReserved(scheduler, c.now, pending, scheduler.node(1)))
		})
	}
}

func TestReservations_RequestsOfAllAllocatorsAreEstimated(t *testing.T) {
	scheduler := newFleet(t, 4)
	scheduler.reservations.requestMultiplier = 30
	scheduler.groups[atMostOnce].requests = []request{{size: resources{1, 1}}}
	for _, n := range scheduler.nodes.sorted {
		n.FreeCores = 0.6 // too few for a slot of the group of higher weight: half of the nodes are reserved
	}
	reserved := scheduler.reservations.against(1, pendingWorkload(scheduler, idempotent, 0.5, 0.5))
	count := 0
	for _, n := range scheduler.nodes.sorted {
		if reserved.excludes(n) {
			count++
		}
	}
	assert.Equal(t, 2, count)
}

func TestNewReservations_RequestMultiplierByAllocators(t *testing.T) {
	for _, c := range []struct {
		name       string
		allocators int
		want       float64
	}{
		{"more allocators than maxReservationWindows: the rest is multiplied", 300, 30},
		{"fewer allocators: the longer window is enough", 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := New(Settings{Allocators: c.allocators}, 1)
			assert.InDelta(t, c.want, scheduler.reservations.requestMultiplier, 0)
		})
	}
}

// Among nodes with equally many slots, the first ones must be selected. This guards against a different selection,
// since nodesWithMostSlots does not sort the nodes: on a large fleet, sorting them for each request takes most of a
// small core.
func TestNodesWithMostSlots_FirstOfEqualNodes(t *testing.T) {
	var free []nodeSlots
	for _, onNode := range []slots{0.5, 3, 2, 3, -1, 2, 2} {
		free = append(free, nodeSlots{node: &node{}, slots: onNode})
	}
	for count, want := range [][]int{{}, {1}, {1, 3}, {1, 2, 3}, {1, 2, 3, 5}, {1, 2, 3, 5, 6}, {0, 1, 2, 3, 5, 6}} {
		chosen := nodesWithMostSlots(free, count)
		assert.Len(t, chosen, len(want))
		for _, i := range want {
			assert.True(t, chosen[free[i].node], "node %d of the %d selected", i, count)
		}
	}
	assert.Len(t, nodesWithMostSlots(free, 9), 7)
	assert.Empty(t, nodesWithMostSlots(nil, 1))
}
