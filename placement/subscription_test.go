package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSubscription_StartedAndRenewed(t *testing.T) {
	scheduler := newFleet(t, 1)
	scheduler.settings.PolledDiscovery = true
	scheduler.subscription.renewAfter = resubscribeAfter
	require.True(t, scheduler.Maintain(100).Subscribe)
	assert.False(t, scheduler.Maintain(200).Subscribe)
	scheduler.UpdateNodes(300, PollFailed, nil)
	assert.False(t, scheduler.Maintain(400).Subscribe, "within the backoff")
	assert.True(t, scheduler.Maintain(300+2*pollBackoff).Subscribe, "after the backoff")
	scheduler.UpdateNodes(4000, Delta, nil)
	assert.False(t, scheduler.Maintain(4000+resubscribeAfter/2).Subscribe)
	assert.True(t, scheduler.Maintain(4000+2*resubscribeAfter).Subscribe, "after a long time without events")
}

func TestSubscription_PollsOfManyAllocatorsAreSpread(t *testing.T) {
	firstPolls := map[Millis]bool{}
	for ordinal := range 300 {
		scheduler := New(Settings{
			Allocators:      300,
			Ordinal:         ordinal,
			PolledDiscovery: true,
			PollInterval:    10e3,
		}, uint64(ordinal))
		scheduler.Maintain(0)
		first := scheduler.subscription.nextPoll
		assert.LessOrEqual(t, first, 2*scheduler.subscription.renewAfter)
		firstPolls[first] = true
		for range 4 {
			scheduler.UpdateNodes(first, PollFailed, nil)
		}
		assert.Greater(t, scheduler.subscription.nextPoll, first+3*pollBackoff, "backoff grows with consecutive failures")
		scheduler.UpdateNodes(first, Delta, nil)
		assert.Zero(t, scheduler.subscription.failures, "an event resets the failures")
	}
	assert.Greater(t, len(firstPolls), 200)
}

func TestSubscription_RenewedWithinThePollInterval(t *testing.T) {
	for _, c := range []struct {
		name     string
		interval Millis
		want     Millis
	}{
		{"short interval: half of it", 4000, 2000},
		{"long interval: resubscribeAfter", 60e3, resubscribeAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := New(Settings{PolledDiscovery: true, PollInterval: c.interval}, 1)
			assert.InDelta(t, float64(c.want), float64(scheduler.subscription.renewAfter), 0)
		})
	}
}
