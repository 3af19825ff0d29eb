package frontend

import (
	"testing"

	"grebeglade/internal/allocator"
	"grebeglade/placement"

	"github.com/stretchr/testify/assert"
)

// fakeWaker keeps the times for which a host set its wake-up.
type fakeWaker struct{ set []placement.Millis }

func (w *fakeWaker) WakeAt(at placement.Millis) { w.set = append(w.set, at) }

// take returns the times since the last call.
func (w *fakeWaker) take() []placement.Millis {
	set := w.set
	w.set = nil
	return set
}

// fakeActions keeps what the engine wanted.
type fakeActions struct {
	binds, stops, checks []placement.NodeID
	answers              []allocator.Verdict
}

func (a *fakeActions) Bind(_ placement.WorkloadID, _ int, node placement.NodeID, _ placement.Millis) {
	a.binds = append(a.binds, node)
}

func (a *fakeActions) Stop(_ placement.WorkloadID, _ int, node placement.NodeID, _ allocator.StopReason, _ bool) {
	a.stops = append(a.stops, node)
}
func (a *fakeActions) CheckHealth(node placement.NodeID) { a.checks = append(a.checks, node) }
func (a *fakeActions) SubscribeNodes()                   {}
func (a *fakeActions) Answer(_ placement.WorkloadID, v allocator.Verdict, _ placement.NodeID) {
	a.answers = append(a.answers, v)
}
func (a *fakeActions) NotifyEnded(placement.WorkloadID, placement.NodeID, bool, placement.Reason) {}
func (a *fakeActions) Forget(placement.WorkloadID)                                                {}

const maxInterval = placement.Millis(1000)

// noEvent is the handling of an event that does nothing, for what a Host does around it.
func noEvent() {}

// newTestHost returns an attached host whose engine is not started, so that no timer is set yet.
func newTestHost(t *testing.T, change func(*Config)) (*Host, *fakeActions, *fakeWaker) {
	t.Helper()
	actions, waker := &fakeActions{}, &fakeWaker{}
	c := Config{
		Settings: placement.Settings{
			Allocators: 1, Groups: []placement.Group{{LatencyObjective: 1000, PriorityWeight: 1, RequiredKind: -1}},
			NodeKinds: []placement.NodeKind{{Cores: 10, Memory: 20}}, MaxBinds: 3, EntriesCarryCapacity: true,
		},
		Seed: 7, Engine: allocator.Options{EnforceTimeouts: true}, Actions: actions, MaxWakeInterval: maxInterval,
	}
	if change != nil {
		change(&c)
	}
	h := NewHost(c)
	h.Attach(100, waker)
	return h, actions, waker
}

func TestHost_HandleRunsDeferredCallsInOrderAlsoThoseDeferredMeanwhile(t *testing.T) {
	h, _, _ := newTestHost(t, nil)
	var ran []string
	var at []placement.Millis
	h.Handle(200, func() {
		h.Defer(func(now placement.Millis) {
			ran, at = append(ran, "first"), append(at, now)
			h.Defer(func(placement.Millis) { ran = append(ran, "third") })
		})
		h.Defer(func(placement.Millis) { ran = append(ran, "second") })
		assert.Empty(t, ran, "nothing runs before the event is handled")
	})
	assert.Equal(t, []string{"first", "second", "third"}, ran)
	assert.Equal(t, []placement.Millis{200}, at, "the time of the event")
	h.Handle(200, noEvent)
	assert.Len(t, ran, 3, "each call runs once")
}

func TestHost_NestedHandleRunsWhatIsDeferredSoFar(t *testing.T) {
	t.Run("within an event", func(t *testing.T) {
		h, _, _ := newTestHost(t, nil)
		var ran []string
		note := func(what string) func(placement.Millis) {
			return func(placement.Millis) { ran = append(ran, what) }
		}
		h.Handle(200, func() {
			h.Defer(note("deferred by the outer event"))
			h.Handle(200, func() {
				ran = append(ran, "inner event")
				h.Defer(note("deferred by the inner event"))
			})
			ran = append(ran, "outer event goes on")
			h.Defer(note("deferred last"))
		})
		assert.Equal(t, []string{
			"inner event", "deferred by the outer event", "deferred by the inner event", "outer event goes on", "deferred last",
		}, ran)
	})
	t.Run("within a deferred call", func(t *testing.T) {
		h, _, _ := newTestHost(t, nil)
		var ran []string
		h.Handle(200, func() {
			h.Defer(func(now placement.Millis) {
				ran = append(ran, "outer begins")
				h.Defer(func(placement.Millis) { ran = append(ran, "inner") })
				h.Handle(now, noEvent)
				ran = append(ran, "outer ends")
			})
			h.Defer(func(placement.Millis) { ran = append(ran, "last") })
		})
		assert.Equal(t, []string{"outer begins", "inner", "outer ends", "last"}, ran)
	})
}

func TestHost_HandleSetsNow(t *testing.T) {
	h, _, _ := newTestHost(t, nil)
	times := []placement.Millis{h.Now()}
	h.Handle(150, func() { times = append(times, h.Now()) })
	assert.Equal(t, []placement.Millis{100, 150, 150}, append(times, h.Now()))
}

func TestHost_HandleAllocatesNothing(t *testing.T) {
	h, _, _ := newTestHost(t, nil)
	now := h.Now()
	handled := 0
	allocations := testing.AllocsPerRun(100, func() {
		now++
		h.Handle(now, func() { handled++ })
	})
	assert.Zero(t, allocations)
	assert.Equal(t, 101, handled, "with the one run before those that are measured")
}

func TestHost_Wakeup(t *testing.T) {
	t.Run("without timers it comes after the longest interval", func(t *testing.T) {
		h, _, waker := newTestHost(t, nil)
		h.Handle(100, noEvent)
		assert.Equal(t, []placement.Millis{1100}, waker.take())
	})
	t.Run("one that is early enough is not set again", func(t *testing.T) {
		h, _, waker := newTestHost(t, nil)
		h.Handle(100, noEvent)
		waker.take()
		h.Handle(300, func() { h.Schedule(1500, func(placement.Millis) {}) })
		assert.Empty(t, waker.take())
	})
	t.Run("an earlier timer moves it forward", func(t *testing.T) {
		h, _, waker := newTestHost(t, nil)
		h.Handle(100, noEvent)
		h.Handle(300, func() { h.Schedule(400, func(placement.Millis) {}) })
		assert.Equal(t, []placement.Millis{1100, 400}, waker.take())
	})
	t.Run("an earlier request of the engine moves it forward", func(t *testing.T) {
		h, _, waker := newTestHost(t, nil)
		h.Handle(100, noEvent)
		e := &engineHost{host: h}
		e.Wake(500)
		e.Wake(700) // the earlier request remains
		h.Handle(100, noEvent)
		assert.Equal(t, []placement.Millis{1100, 500}, waker.take())
	})
	t.Run("an overdue timer sets it for now and no earlier time", func(t *testing.T) {
		h, _, waker := newTestHost(t, nil)
		h.Schedule(50, func(placement.Millis) {})
		h.Handle(100, noEvent)
		assert.Equal(t, []placement.Millis{100}, waker.take())
	})
	t.Run("an overdue request of the engine sets it for now and no earlier time", func(t *testing.T) {
		h, _, waker := newTestHost(t, nil)
		(&engineHost{host: h}).Wake(50)
		h.Handle(100, noEvent)
		assert.Equal(t, []placement.Millis{100}, waker.take())
	})
	t.Run("it is set anew where it came early", func(t *testing.T) {
		h, _, waker := newTestHost(t, nil)
		h.Handle(100, noEvent)
		h.Wake(900)
		assert.Equal(t, []placement.Millis{1100, 1900}, waker.take())
	})
	t.Run("it is set anew after it came", func(t *testing.T) {
		h, _, waker := newTestHost(t, nil)
		h.Handle(100, noEvent)
		h.Wake(1100)
		assert.Equal(t, []placement.Millis{1100, 2100}, waker.take())
	})
}

func TestHost_WakeRunsDueTimersInOrderThenPeriodicThenDeferred(t *testing.T) {
	var ran []string
	h, _, _ := newTestHost(t, func(c *Config) {
		c.Periodic = func(placement.Millis) { ran = append(ran, "periodic") }
	})
	note := func(what string) func(placement.Millis) {
		return func(placement.Millis) { ran = append(ran, what) }
	}
	h.Schedule(1200, note("second"))
	h.Schedule(1150, note("first"))
	h.Schedule(1200, func(now placement.Millis) {
		ran = append(ran, "third")
		h.Defer(note("deferred"))
		h.Schedule(now, note("fourth"))
	})
	h.Schedule(1201, note("not due"))
	h.Wake(1200)
	assert.Equal(t, []string{"first", "second", "third", "fourth", "periodic", "deferred"}, ran)
}

func TestHost_PeriodicRunsOnceAnInterval(t *testing.T) {
	var ran []placement.Millis
	h, _, _ := newTestHost(t, func(c *Config) {
		c.Periodic = func(now placement.Millis) { ran = append(ran, now) }
	})
	for now := placement.Millis(100); now <= 3200; now += 100 {
		h.Wake(now)
	}
	assert.Equal(t, []placement.Millis{1000, 2000, 3000}, ran)
}

func TestHost_WakeTicksTheEngineOnceItsRequestIsDue(t *testing.T) {
	h, actions, waker := newTestHost(t, nil)
	e := h.Engine()
	h.Handle(100, func() {
		e.Start(100)
		e.UpdateNodes(100, placement.Snapshot, []placement.Node{{ID: 1, StartedAt: placement.DistantPast, FreeCores: 10, FreeMemory: 20}})
		e.Schedule(100, placement.Workload{ID: 1, Service: 1, Cores: 1, Memory: 1, PendingTimeout: 300})
	})
	assert.Equal(t, []placement.NodeID{1}, actions.binds)
	for len(actions.answers) == 0 {
		set := waker.take()
		if !assert.NotEmpty(t, set, "the engine waits for a tick for which no wake-up is set") {
			return
		}
		h.Wake(set[len(set)-1])
	}
	assert.LessOrEqual(t, h.Now(), placement.Millis(400), "the answer comes within the client's time")
	assert.Equal(t, []placement.NodeID{1}, actions.stops)
}

func TestHost_RecentStall(t *testing.T) {
	h, _, _ := newTestHost(t, nil)
	h.Handle(100, noEvent) // sets a wake-up at 1100
	for _, event := range []struct {
		at, stall placement.Millis
		why       string
	}{
		{600, 0, "an event before the wake-up shows no stall"},
		{1110, 0, "a wake-up may be a little late"},
		{2500, 1390, "since the last event, as the wake-up was set for 2110"},
		{2549, 1390, "events that waited through it are still being handled"},
		{2550, 0, "what is handled now came after it"},
	} {
		h.Handle(event.at, func() {
			h.Handle(event.at, func() { // an event within the event is no stall, and does not end one
				assert.Equal(t, []placement.Millis{event.stall}, []placement.Millis{h.RecentStall()}, event.why)
			})
			assert.Equal(t, []placement.Millis{event.stall}, []placement.Millis{h.RecentStall()}, event.why)
		})
	}
}

func TestHost_CountsWhatTheEngineAsksFor(t *testing.T) {
	var counters Counters
	h, actions, _ := newTestHost(t, func(c *Config) { c.Counters = &counters })
	e := &engineHost{Actions: actions, host: h}
	e.Bind(1, 0, 5, 100)
	e.Bind(1, 1, 6, 100)
	e.Stop(1, 1, 6, allocator.TimedOut, false)
	e.Stop(1, 1, 6, allocator.Migrating, false)
	e.CheckHealth(9)
	assert.Equal(t, Counters{Binds: 2, Migrations: 1, HealthChecks: 1}, counters)
	assert.Equal(t, []placement.NodeID{5, 6}, actions.binds)
	assert.Equal(t, []placement.NodeID{6, 6}, actions.stops)
	assert.Equal(t, []placement.NodeID{9}, actions.checks)
}

func TestCounters_CountAnswer(t *testing.T) {
	var c Counters
	for _, v := range []allocator.Verdict{allocator.Placed, allocator.Rejected, allocator.Placed, allocator.Unschedulable} {
		c.CountAnswer(v)
	}
	assert.Equal(t, Counters{Placed: 2, Rejected: 1, Unschedulable: 1}, c)
}
