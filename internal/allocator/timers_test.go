package allocator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// Three days with a client that would wait for a month: each request left a timer for that long. The clock begins late, so
// that nothing rests on its being small: 30 years on, it still counts thousandths of a millisecond.
func TestTimers_OfClientsThatWaitForLongDoNotAccumulate(t *testing.T) {
	e, h := newTestEngine(1)
	const begins, month = placement.Millis(1e12), placement.Millis(30 * 24 * 3600e3)
	most, last := 0, placement.WorkloadID(3*24*3600)
	for id := placement.WorkloadID(1); id <= last; id++ {
		now := begins + placement.Millis(id)*1000
		e.Tick(now)
		e.Schedule(now, placement.Workload{ID: id, Service: 1, Cores: 1, Memory: 1, PendingTimeout: month})
		e.BindConfirmed(now+20, id, 0, nil)
		e.BindEnded(now+900, id, 0, 1, ended())
		most = max(most, e.timers.queue.Len())
		h.take()
	}
	assert.LessOrEqual(t, most, 62, "a minute of requests, and maintenance")
	assert.Zero(t, e.WorkloadCount())
	// One that waits is timed out when its time comes, to the thousandth.
	at := begins + placement.Millis(last)*1000 + 5000.25
	e.Schedule(at, placement.Workload{
		ID: last + 1, Service: 1, Group: atMostOnce, Cores: 1, Memory: 1, PendingTimeout: 200e3,
	})
	for now := at; now < at+200e3-20.001; now += 500 {
		e.Tick(now)
	}
	h.take()
	e.Tick(at + 200e3 - 20.001)
	assert.Empty(t, h.take())
	e.Tick(at + 200e3 - 20)
	assert.Contains(t, h.take(), fmt.Sprintf("answer %d unschedulable", last+1))
}

func TestTimers_NextTickIsRequestedOnce(t *testing.T) {
	var ts timers
	next := func(now placement.Millis) []placement.Millis {
		if at, needed := ts.nextTick(now); needed {
			return []placement.Millis{at}
		}
		return nil
	}
	assert.Empty(t, next(0), "there is no timer")
	ts.setMaintenance(100)
	assert.Equal(t, []placement.Millis{100}, next(0))
	assert.Empty(t, next(1), "it was requested")
	ts.setMaintenance(120)
	assert.Empty(t, next(2), "an earlier one was requested")
	ts.setMaintenance(50)
	assert.Equal(t, []placement.Millis{50}, next(3))
	ts.ticked(49)
	assert.Empty(t, next(49), "that tick was another")
	ts.ticked(60)
	assert.Equal(t, []placement.Millis{60}, next(60), "not before now")
}
