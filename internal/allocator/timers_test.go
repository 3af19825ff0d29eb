package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// runBriefly schedules a workload with the pending timeout, confirms it after 20 ms and ends it within a second.
func runBriefly(engine *Engine, now placement.Millis, id placement.WorkloadID, pendingTimeout placement.Millis) {
	requested := newWorkload(id, idempotent)
	requested.PendingTimeout = pendingTimeout
	engine.Schedule(now, requested)
	engine.BindConfirmed(now+20, id, 0, nil)
	engine.BindEnded(now+900, id, 0, 1, endedResult())
}

// Guards against timers that accumulate: with a pending timeout of a month, a timer for each request would stay queued
// for a month. The test covers three days of requests. The clock starts at 30 years, where it still resolves
// thousandths of a millisecond, so that no result depends on small times.
func TestTimers_LongPendingTimeouts(t *testing.T) {
	const (
		startTime  = placement.Millis(1e12)
		second     = placement.Millis(1000)
		month      = 30 * 24 * 3600 * second
		last       = placement.WorkloadID(3 * 24 * 3600)
		thousandth = placement.Millis(0.001)
	)
	engine, host := newTestEngine(1)
	t.Run("timers do not accumulate", func(t *testing.T) {
		longest := 0 // greatest length of the timer queue
		for id := placement.WorkloadID(1); id <= last; id++ {
			now := startTime + placement.Millis(id)*second
			engine.Tick(now)
			runBriefly(engine, now, id, month)
			longest = max(longest, engine.timers.queue.Len())
			host.take()
		}
		assert.LessOrEqual(t, longest, 62, "one timer for each request of a minute, and maintenance")
		assert.Zero(t, engine.WorkloadCount())
	})
	t.Run("bind times out with a precision of a thousandth of a millisecond", func(t *testing.T) {
		requested := newWorkload(last+1, atMostOnce)
		requested.PendingTimeout = 200 * second // longer than MaxTimerDelay
		requestedAt := startTime + placement.Millis(last)*second + 5000.25
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
	assert.Empty(t, requestedTicks(0), "no timer is set")
	timers.setMaintenance(100)
	assert.Equal(t, []placement.Millis{100}, requestedTicks(0))
	assert.Empty(t, requestedTicks(1), "this tick is already requested")
	timers.setMaintenance(120)
	assert.Empty(t, requestedTicks(2), "an earlier tick is already requested")
	timers.setMaintenance(50)
	assert.Equal(t, []placement.Millis{50}, requestedTicks(3))
	timers.recordTick(49)
	assert.Empty(t, requestedTicks(49), "a tick before the requested time does not clear the request")
	timers.recordTick(60)
	assert.Equal(t, []placement.Millis{60}, requestedTicks(60), "an overdue timer requests a tick at the present time")
}
