package frontend

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// Config holds the parameters of a Host.
type Config struct {
	Settings placement.Settings
	Seed     uint64 // of the placement module and of the jitter
	Engine   allocator.Options
	// Actions carries out what the engine decides. Its methods are called while the engine is at work: they must not
	// call the engine back, and report results to it with Host.Defer.
	Actions allocator.Actions
	// MaxWakeInterval is the longest time between two wake-ups, in ms, also where no timer is due.
	MaxWakeInterval placement.Millis
	// Periodic, where not nil, is called from Wake, after the timers and before the engine's tick, once at least
	// MaxWakeInterval has passed since its last call.
	Periodic func(now placement.Millis)
	// Counters, where not nil, are the frontend's; the Host counts binds, migrations and health checks there.
	Counters *Counters
}

// Host runs an allocator's engine for a frontend. It keeps the time of the event being handled, the calls deferred
// until the engine is idle, the frontend's timers, and the one wake-up that covers both those timers and the
// engine's.
//
// Each event is handled within Handle or Wake.
type Host struct {
	engine   *allocator.Engine
	jitter   *jitter
	counters *Counters
	now      placement.Millis // of the event being handled, or of the last one
	deferred []func(now placement.Millis)
	timers   transport.Timers
	wakeup   wakeup
	stall    stall // the last one

	periodic     func(now placement.Millis)
	lastPeriodic placement.Millis
}

// NewHost returns a host with its engine. Attach must be called before anything else.
func NewHost(c Config) *Host {
	h := &Host{
		jitter:   newJitter(c.Seed),
		counters: c.Counters,
		periodic: c.Periodic,
		wakeup:   wakeup{maxInterval: c.MaxWakeInterval},
	}
	if h.counters == nil {
		h.counters = &Counters{}
	}
	h.engine = allocator.New(c.Settings, c.Seed, &engineHost{Actions: c.Actions, host: h}, c.Engine)
	return h
}

// Attach sets the current time and what sets the wake-up. It does not start the engine: the frontend does so, within
// Handle, among the steps of its own start.
func (h *Host) Attach(now placement.Millis, w Waker) {
	h.now = now
	h.wakeup.waker = w
}

// Engine returns the engine. It must not be called from within the frontend's allocator.Actions; see Defer.
func (h *Host) Engine() *allocator.Engine { return h.engine }

// Now returns the time of the event that is being handled, or of the last one.
func (h *Host) Now() placement.Millis { return h.now }

// Handle handles one event at the given time: it calls handle, then runs the deferred calls, and those that they
// defer, in the order in which they were deferred, and then sets the wake-up.
//
// It may be nested, as when handling an event closes a connection and that is handled like a close by the peer. The
// inner Handle then runs all calls deferred so far, those of the outer one among them.
func (h *Host) Handle(now placement.Millis, handle func()) {
	h.begin(now)
	handle()
	h.flush(now)
}

// begin records the time of an event, and the stall if the wake-up should have come well before it.
func (h *Host) begin(now placement.Millis) {
	if h.wakeup.isLate(now) {
		h.stall = stall{length: now - h.now, endedAt: now}
	}
	h.wakeup.passed(now)
	h.now = now
}

// flush runs the deferred calls until none is left, and sets the wake-up.
func (h *Host) flush(now placement.Millis) {
	for len(h.deferred) > 0 {
		calls := h.deferred
		h.deferred = nil
		for _, call := range calls {
			call(now)
		}
	}
	h.wakeup.set(now, &h.timers)
}

// Wake handles the wake-up like any event: it runs the timers that are due, Config.Periodic, and the engine's tick.
func (h *Host) Wake(now placement.Millis) {
	h.Handle(now, func() {
		h.wakeup.fired(now)
		h.timers.RunDue(now)
		if h.periodic != nil && now-h.lastPeriodic >= h.wakeup.maxInterval {
			h.lastPeriodic = now
			h.periodic(now)
		}
		if h.wakeup.popTick(now) {
			h.engine.Tick(now)
		}
	})
}

// Defer has call run at the end of the Handle that ends next, when the engine is idle. Calls run in the order in
// which they were deferred. What the call is about may have ended by then, so it must check that first.
func (h *Host) Defer(call func(now placement.Millis)) { h.deferred = append(h.deferred, call) }

// Schedule has call run at the given time, from Wake. Timers for the same time run in the order in which they were
// scheduled. A timer cannot be cancelled: the call checks whether it still applies.
func (h *Host) Schedule(at placement.Millis, call func(now placement.Millis)) {
	h.timers.Schedule(at, call)
}

// DeferredCalls returns how many calls wait for the end of a Handle.
func (h *Host) DeferredCalls() int { return len(h.deferred) }

// PendingTimers returns how many timers set with Schedule have not run.
func (h *Host) PendingTimers() int { return h.timers.Len() }

// RetryDelay draws the delay until the next attempt after the given number of earlier failures in a row, 0 for the
// first. Each call takes one draw of the jitter.
func (h *Host) RetryDelay(b Backoff, failures int) placement.Millis {
	return h.jitter.apply(b.Delay(failures))
}

// RecentStall returns for how long, at most, the process was stopped shortly before the event being handled, in ms, or
// 0 if it was not. Events that are handled after a stall may have waited for all of it.
func (h *Host) RecentStall() placement.Millis { return h.stall.recent(h.now) }
