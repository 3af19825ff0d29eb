package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSubscription_StartedAndRenewed(t *testing.T) {
	s := newFleet(t, 1)
	s.settings.PolledDiscovery, s.subscription.renewAfter = true, resubscribeAfter
	require.True(t, s.Maintain(100).Subscribe)
	assert.False(t, s.Maintain(200).Subscribe)
	s.UpdateNodes(300, PollFailed, nil)
	assert.False(t, s.Maintain(400).Subscribe, "not at once")
	assert.True(t, s.Maintain(300+2*pollBackoff).Subscribe, "after a failure")
	s.UpdateNodes(4000, Delta, nil)
	assert.False(t, s.Maintain(4000+resubscribeAfter/2).Subscribe)
	assert.True(t, s.Maintain(4000+2*resubscribeAfter).Subscribe, "after a long quiet time")
}

func TestSubscription_PollsOfManyAllocatorsAreSpread(t *testing.T) {
	due := map[Millis]bool{}
	for ordinal := range 300 {
		settings := Settings{Allocators: 300, Ordinal: ordinal, PolledDiscovery: true, PollInterval: 10e3}
		s := New(settings, uint64(ordinal))
		s.Maintain(0)
		first := s.subscription.nextPoll
		assert.LessOrEqual(t, first, 2*s.subscription.renewAfter)
		due[first] = true
		for range 4 {
			s.UpdateNodes(first, PollFailed, nil)
		}
		assert.Greater(t, s.subscription.nextPoll, first+3*pollBackoff, "longer after each failure")
		s.UpdateNodes(first, Delta, nil)
		assert.Zero(t, s.subscription.failures, "an event shows that the subscription holds")
	}
	assert.Greater(t, len(due), 200)
}

func TestSubscription_RenewedWithinThePollInterval(t *testing.T) {
	renewAfter := func(interval Millis) Millis {
		return New(Settings{PolledDiscovery: true, PollInterval: interval}, 1).subscription.renewAfter
	}
	assert.InDelta(t, 2000, float64(renewAfter(4000)), 0)
	assert.InDelta(t, float64(resubscribeAfter), float64(renewAfter(60e3)), 0)
}

// Rule 4: a snapshot without a node that was warming up made the table forget what had been sent to it, and
// the next snapshot renewed its whole budget.
func TestNodeTable_NodeMissingForAMomentKeepsItsWarmUpBudget(t *testing.T) {
	s := newFleet(t, 0)
	s.settings.WarmUpDuration, s.settings.InitialRate = 10e3, 1
	s.slowStart.bindsPerWindow, s.slowStart.window, s.slowStart.startedAt = 1, 2000, -9e3
	warming := entry(1, Ready)
	warming.StartedAt = -1
	s.UpdateNodes(0, Snapshot, []Node{warming})
	s.Schedule(0, Workload{Cores: 1, Memory: 1, PendingTimeout: 5000}).NextStep(10, Result{Kind: RejectedByNode})
	s.UpdateNodes(20, Snapshot, nil)
	s.Maintain(20)
	s.UpdateNodes(30, Snapshot, []Node{warming})
	assert.False(t, s.slowStart.allows(30, s.node(1)))
	s.UpdateNodes(40, Snapshot, nil)
	s.Maintain(40)
	s.Maintain(3000)
	assert.Empty(t, s.nodes.byID, "dropped once nothing of it counts any more")
}
