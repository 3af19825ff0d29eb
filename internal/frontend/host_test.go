package frontend

import (
	"testing"

	"grebeglade/internal/allocator"
	"grebeglade/placement"

	"github.com/stretchr/testify/assert"
)

// fakeWaker is a Waker that records the times for which the wake-up is set.
type fakeWaker struct{ times []placement.Millis }

func (w *fakeWaker) WakeAt(at placement.Millis) { w.times = append(w.times, at) }

// takeTimes returns the times recorded since the previous call of takeTimes.
func (w *fakeWaker) takeTimes() []placement.Millis {
	times := w.times
	w.times = nil
	return times
}

// callLog records the names of calls in order.
type callLog struct{ names []string }

func (l *callLog) add(name string) { l.names = append(l.names, name) }

// call returns a function for Defer or Schedule that records the name when it runs.
func (l *callLog) call(name string) func(placement.Millis) {
	return func(placement.Millis) { l.add(name) }
}

// fakeActions is an allocator.Actions that records the calls of the engine.
type fakeActions struct {
	binds   []placement.NodeID
	stops   []placement.NodeID
	checks  []placement.NodeID
	answers []allocator.Verdict
}

func (a *fakeActions) Bind(_ placement.WorkloadID, _ int, node placement.NodeID, _ placement.Millis) {
	a.binds = append(a.binds, node)
}

func (a *fakeActions) Stop(_ placement.WorkloadID, _ int, node placement.NodeID, _ allocator.StopReason, _ bool) {
	a.stops = append(a.stops, node)
}
func (a *fakeActions) CheckHealth(node placement.NodeID) { a.checks = append(a.checks, node) }

func (a *fakeActions) SubscribeNodes() {}

func (a *fakeActions) Answer(_ placement.WorkloadID, v allocator.Verdict, _ placement.NodeID) {
	a.answers = append(a.answers, v)
}

func (a *fakeActions) NotifyEnded(placement.WorkloadID, placement.NodeID, bool, placement.Reason) {}

func (a *fakeActions) Forget(placement.WorkloadID) {}

// attachedAt is the time passed to Host.Attach, in ms.
const attachedAt = placement.Millis(100)

// maxInterval is the test hosts' MaxWakeInterval, in ms.
const maxInterval = placement.Millis(1000)

// noEvent is an empty event handler, for tests of Handle itself.
func noEvent() {}

// noTimer is an empty timer call, for tests of the wake-up.
func noTimer(placement.Millis) {}

// newTestHost returns an attached host whose engine is not started, so that no timer is set. If change is not nil, it
// can modify the host's configuration.
func newTestHost(t *testing.T, change func(*Config)) (*Host, *fakeActions, *fakeWaker) {
	t.Helper()
	actions := &fakeActions{}
	waker := &fakeWaker{}
	config := Config{
		Settings: placement.Settings{
			Allocators: 1,
			Groups: []placement.Group{{
				LatencyObjective: 1000,
				PriorityWeight:   1,
				RequiredKind:     -1,
			}},
			NodeKinds:            []placement.NodeKind{{Cores: 10, Memory: 20}},
			MaxBinds:             3,
			EntriesCarryCapacity: true,
		},
		Seed:            7,
		Engine:          allocator.Options{EnforceTimeouts: true},
		Actions:         actions,
		MaxWakeInterval: maxInterval,
	}
	if change != nil {
		change(&config)
	}
	host := NewHost(config)
	host.Attach(attachedAt, waker)
	return host, actions, waker
}

func TestHost_DeferredCalls_RunInOrderAfterTheEvent(t *testing.T) {
	host, _, _ := newTestHost(t, nil)
	var log callLog
	var calledAt []placement.Millis
	host.Handle(200, func() {
		host.Defer(func(now placement.Millis) {
			log.add("first")
			calledAt = append(calledAt, now)
			host.Defer(log.call("deferred by the first"))
		})
		host.Defer(log.call("second"))
		assert.Empty(t, log.names, "no deferred call runs before the event is handled")
	})
	assert.Equal(t, []string{"first", "second", "deferred by the first"}, log.names)
	assert.Equal(t, []placement.Millis{200}, calledAt, "deferred calls get the time of the event")
	host.Handle(200, noEvent)
	assert.Len(t, log.names, 3, "each call runs once")
}

func TestHost_HandleWithinEvent_RunsCallsDeferredSoFar(t *testing.T) {
	host, _, _ := newTestHost(t, nil)
	var log callLog
	host.Handle(200, func() {
		host.Defer(log.call("deferred by the outer event"))
		host.Handle(200, func() {
			log.add("inner event")
			host.Defer(log.call("deferred by the inner event"))
		})
		log.add("end of the outer event")
		host.Defer(log.call("deferred last"))
	})
	assert.Equal(t, []string{
		"inner event",
		"deferred by the outer event",
		"deferred by the inner event",
		"end of the outer event",
		"deferred last",
	}, log.names)
}

func TestHost_HandleWithinDeferredCall_RunsCallsDeferredSoFar(t *testing.T) {
	host, _, _ := newTestHost(t, nil)
	var log callLog
	host.Handle(200, func() {
		host.Defer(func(now placement.Millis) {
			log.add("start of the first call")
			host.Defer(log.call("deferred by the first call"))
			host.Handle(now, noEvent)
			log.add("end of the first call")
		})
		host.Defer(log.call("second call"))
	})
	assert.Equal(t, []string{
		"start of the first call",
		"deferred by the first call",
		"end of the first call",
		"second call",
	}, log.names)
}

func TestHost_Handle_SetsNow(t *testing.T) {
	host, _, _ := newTestHost(t, nil)
	times := []placement.Millis{host.Now()}
	host.Handle(150, func() { times = append(times, host.Now()) })
	assert.Equal(t, []placement.Millis{attachedAt, 150, 150}, append(times, host.Now()))
}

func TestHost_Handle_AllocatesNothing(t *testing.T) {
	host, _, _ := newTestHost(t, nil)
	now := host.Now()
	handled := 0
	allocations := testing.AllocsPerRun(100, func() {
		now++
		host.Handle(now, func() { handled++ })
	})
	assert.Zero(t, allocations)
	assert.Equal(t, 101, handled, "AllocsPerRun adds one warm-up run")
}

func TestHost_Wakeup_Time(t *testing.T) {
	t.Run("no timer: after the longest interval", func(t *testing.T) {
		host, _, waker := newTestHost(t, nil)
		host.Handle(attachedAt, noEvent)
		assert.Equal(t, []placement.Millis{attachedAt + maxInterval}, waker.takeTimes())
	})
	t.Run("overdue timer: now and not earlier", func(t *testing.T) {
		host, _, waker := newTestHost(t, nil)
		host.Schedule(50, noTimer)
		host.Handle(attachedAt, noEvent)
		assert.Equal(t, []placement.Millis{attachedAt}, waker.takeTimes())
	})
	t.Run("overdue tick of the engine: now and not earlier", func(t *testing.T) {
		host, _, waker := newTestHost(t, nil)
		(&engineHost{host: host}).Wake(50)
		host.Handle(attachedAt, noEvent)
		assert.Equal(t, []placement.Millis{attachedAt}, waker.takeTimes())
	})
}

func TestHost_Wakeup_SetAgain(t *testing.T) {
	t.Run("later timer: unchanged", func(t *testing.T) {
		host, _, waker := newTestHost(t, nil)
		host.Handle(attachedAt, noEvent)
		waker.takeTimes()
		host.Handle(300, func() { host.Schedule(1500, noTimer) })
		assert.Empty(t, waker.takeTimes())
	})
	t.Run("earlier timer: set earlier", func(t *testing.T) {
		host, _, waker := newTestHost(t, nil)
		host.Handle(attachedAt, noEvent)
		host.Handle(300, func() { host.Schedule(400, noTimer) })
		assert.Equal(t, []placement.Millis{1100, 400}, waker.takeTimes())
	})
	t.Run("earlier tick of the engine: set earlier", func(t *testing.T) {
		host, _, waker := newTestHost(t, nil)
		host.Handle(attachedAt, noEvent)
		engine := &engineHost{host: host}
		engine.Wake(500)
		engine.Wake(700) // the request for 500 takes precedence
		host.Handle(attachedAt, noEvent)
		assert.Equal(t, []placement.Millis{1100, 500}, waker.takeTimes())
	})
	t.Run("fired early: set again", func(t *testing.T) {
		host, _, waker := newTestHost(t, nil)
		host.Handle(attachedAt, noEvent)
		host.Wake(900)
		assert.Equal(t, []placement.Millis{1100, 1900}, waker.takeTimes())
	})
	t.Run("fired on time: set again", func(t *testing.T) {
		host, _, waker := newTestHost(t, nil)
		host.Handle(attachedAt, noEvent)
		host.Wake(1100)
		assert.Equal(t, []placement.Millis{1100, 2100}, waker.takeTimes())
	})
}

func TestHost_Wake_RunsDueTimersThenPeriodicThenDeferredCalls(t *testing.T) {
	var log callLog
	host, _, _ := newTestHost(t, func(c *Config) { c.Periodic = log.call("periodic") })
	host.Schedule(1200, log.call("second timer"))
	host.Schedule(1150, log.call("first timer"))
	host.Schedule(1200, func(now placement.Millis) {
		log.add("third timer")
		host.Defer(log.call("deferred by the third timer"))
		host.Schedule(now, log.call("set by the third timer"))
	})
	host.Schedule(1201, log.call("not due"))
	host.Wake(1200)
	assert.Equal(t, []string{
		"first timer",
		"second timer",
		"third timer",
		"set by the third timer",
		"periodic",
		"deferred by the third timer",
	}, log.names)
}

func TestHost_Periodic_RunsOncePerInterval(t *testing.T) {
	var calledAt []placement.Millis
	host, _, _ := newTestHost(t, func(c *Config) {
		c.Periodic = func(now placement.Millis) { calledAt = append(calledAt, now) }
	})
	for now := attachedAt; now <= 3200; now += 100 {
		host.Wake(now)
	}
	assert.Equal(t, []placement.Millis{1000, 2000, 3000}, calledAt)
}

func TestHost_Wake_TickRequestedAndDue_TicksEngine(t *testing.T) {
	const pendingTimeout = placement.Millis(300)
	host, actions, waker := newTestHost(t, nil)
	engine := host.Engine()
	host.Handle(attachedAt, func() {
		engine.Start(attachedAt)
		engine.UpdateNodes(attachedAt, placement.Snapshot, []placement.Node{{
			ID:         1,
			StartedAt:  placement.DistantPast,
			FreeCores:  10,
			FreeMemory: 20,
		}})
		engine.Schedule(attachedAt, placement.Workload{
			ID:             1,
			Service:        1,
			Cores:          1,
			Memory:         1,
			PendingTimeout: pendingTimeout,
		})
	})
	assert.Equal(t, []placement.NodeID{1}, actions.binds)
	for len(actions.answers) == 0 {
		times := waker.takeTimes()
		if !assert.NotEmpty(t, times, "the engine has requested a tick, but no wake-up is set") {
			return
		}
		host.Wake(times[len(times)-1])
	}
	assert.LessOrEqual(t, host.Now(), attachedAt+pendingTimeout, "the answer is sent within the pending timeout")
	assert.Equal(t, []placement.NodeID{1}, actions.stops)
}

func TestHost_RecentStall(t *testing.T) {
	host, _, _ := newTestHost(t, nil)
	host.Handle(attachedAt, noEvent) // sets a wake-up at 1100
	for _, event := range []struct {
		at        placement.Millis
		wantStall placement.Millis
		why       string
	}{
		{600, 0, "an event before the wake-up indicates no stall"},
		{1110, 0, "a wake-up may be up to 10 ms late"},
		{2500, 1390, "time since the previous event, because the wake-up was set for 2110"},
		{2549, 1390, "events that were queued during the stall may still be handled"},
		{2550, 0, "events handled now arrived after the stall"},
	} {
		host.Handle(event.at, func() {
			host.Handle(event.at, func() { // a nested event neither causes nor ends a stall
				assert.InDelta(t, float64(event.wantStall), float64(host.RecentStall()), 0, event.why)
			})
			assert.InDelta(t, float64(event.wantStall), float64(host.RecentStall()), 0, event.why)
		})
	}
}

func TestHost_Counters_CountEngineActions(t *testing.T) {
	var counters Counters
	host, actions, _ := newTestHost(t, func(c *Config) { c.Counters = &counters })
	engine := &engineHost{Actions: actions, host: host}
	engine.Bind(1, 0, 5, 100)
	engine.Bind(1, 1, 6, 100)
	engine.Stop(1, 1, 6, allocator.TimedOut, false)
	engine.Stop(1, 1, 6, allocator.Migrating, false)
	engine.CheckHealth(9)
	assert.Equal(t, Counters{
		Binds:        2,
		Migrations:   1,
		HealthChecks: 1,
	}, counters)
	assert.Equal(t, []placement.NodeID{5, 6}, actions.binds)
	assert.Equal(t, []placement.NodeID{6, 6}, actions.stops)
	assert.Equal(t, []placement.NodeID{9}, actions.checks)
}

func TestCounters_CountAnswer(t *testing.T) {
	var counters Counters
	for _, verdict := range []allocator.Verdict{
		allocator.Placed,
		allocator.Rejected,
		allocator.Placed,
		allocator.Unschedulable,
	} {
		counters.CountAnswer(verdict)
	}
	assert.Equal(t, Counters{
		Placed:        2,
		Rejected:      1,
		Unschedulable: 1,
	}, counters)
}

// Guards against deadlines of peers that expire while the process is stopped, before the message that has arrived
// meanwhile is handled.
func TestHost_ScheduleDeadline_WaitsForTheBacklogOfAStall(t *testing.T) {
	var calls []placement.Millis
	host, _, _ := newTestHost(t, nil)
	host.Handle(attachedAt, func() {
		host.ScheduleDeadline(attachedAt+500, func(now placement.Millis) { calls = append(calls, now) })
		host.ScheduleDeadline(attachedAt+5000, func(now placement.Millis) { calls = append(calls, now) })
	})
	host.Wake(attachedAt + 3000) // the process was stopped
	assert.Empty(t, calls)
	host.Wake(attachedAt + 3000 + stallBacklogTime)
	host.Wake(attachedAt + 4000 + stallBacklogTime)
	host.Wake(attachedAt + 5000)
	assert.Equal(t, []placement.Millis{attachedAt + 3000 + stallBacklogTime, attachedAt + 5000}, calls)
}
