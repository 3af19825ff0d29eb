package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// runShortly has a workload requested by a client that would wait that long, placed at once, and ended within a second.
func runShortly(engine *Engine, now placement.Millis, id placement.WorkloadID, pendingTimeout placement.Millis) {
	requested := request(id, idempotent)
	requested.PendingTimeout = pendingTimeout
	engine.Schedule(now, requested)
	engine.BindConfirmed(now+20, id, 0, nil)
	engine.BindEnded(now+900, id, 0, 1, ended())
}

// Three days with a client that would wait for a month: each request left a timer for that long. The clock begins late,
// so that nothing rests on its being small: 30 years on, it still counts thousandths of a millisecond.
func TestTimers_OfClientsThatWaitForLong(t *testing.T) {
	const (
		begins     = placement.Millis(1e12)
		second     = placement.Millis(1000)
		month      = 30 * 24 * 3600 * second
		last       = placement.WorkloadID(3 * 24 * 3600)
		thousandth = placement.Millis(0.001)
	)
	engine, host := newTestEngine(1)
	t.Run("timers do not accumulate", func(t *testing.T) {
		longest := 0 // queue of timers
		for id := placement.WorkloadID(1); id <= last; id++ {
			now := begins + placement.Millis(id)*second
			engine.Tick(now)
			runShortly(engine, now, id, month)
			longest = max(longest, engine.timers.queue.Len())
			host.take()
		}
		assert.LessOrEqual(t, longest, 62, "a minute of requests, and maintenance")
		assert.Zero(t, engine.WorkloadCount())
	})
	t.Run("a bind times out to the thousandth after that", func(t *testing.T) {
		requested := request(last+1, atMostOnce)
		requested.PendingTimeout = 200 * second // longer than MaxTimerDelay
		requestedAt := begins + placement.Millis(last)*second + 5000.25
		timesOutAt := requestedAt + requested.PendingTimeout - answerMargin
		engine.Schedule(requestedAt, requested)
		for now := requestedAt; now < timesOutAt-thousandth; now += second / 2 {
			engine.Tick(now)
		}
		host.take()
		engine.Tick(timesOutAt - thousandth)
		assert.Empty(t, host.take())
		engine.Tick(timesOutAt)
		assert.Contains(t, host.take(), answered{workload: requested.ID, verdict: Unschedulable})
	})
}

func TestTimers_NextTick_IsRequestedOnce(t *testing.T) {
	var timers timers
	requestedTicks := func(now placement.Millis) []placement.Millis {
		if at, needed := timers.nextTick(now); needed {
			return []placement.Millis{at}
		}
		return nil
	}
	assert.Empty(t, requestedTicks(0), "there is no timer")
	timers.setMaintenance(100)
	assert.Equal(t, []placement.Millis{100}, requestedTicks(0))
	assert.Empty(t, requestedTicks(1), "it was requested")
	timers.setMaintenance(120)
	assert.Empty(t, requestedTicks(2), "an earlier one was requested")
	timers.setMaintenance(50)
	assert.Equal(t, []placement.Millis{50}, requestedTicks(3))
	timers.ticked(49)
	assert.Empty(t, requestedTicks(49), "that tick was another")
	timers.ticked(60)
	assert.Equal(t, []placement.Millis{60}, requestedTicks(60), "not before now")
}
