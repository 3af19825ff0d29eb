package frontend

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// Config holds the parameters of a Host.
type Config struct {
	Settings placement.Settings
	Seed     uint64 // seed of the placement module and of the jitter
	Engine   allocator.Options
	// Actions executes the engine's decisions. Its methods are called by the engine: they must not call back into the
	// engine, and must pass results to it with Host.Defer.
	Actions allocator.Actions
	// MaxWakeInterval is the longest time between two wake-ups, in ms, even if no timer is due.
	MaxWakeInterval placement.Millis
	// Periodic, if not nil, is called from Wake, after the timers and before the engine's tick, whenever at least
	// MaxWakeInterval has passed since its previous call.
	Periodic func(now placement.Millis)
	// Counters, if not nil, are the frontend's counters. The Host counts binds, migrations and health checks in them.
	Counters *Counters
}

// Host runs an allocator's engine for a frontend. It holds the time of the current event, the calls deferred until the
// engine is idle, the frontend's timers, and the single wake-up for the frontend's timers and the engine's ticks.
//
// Every event must be handled within Handle or Wake.
type Host struct {
	engine   *allocator.Engine
	jitter   *jitter
	counters *Counters
	now      placement.Millis // time of the current or latest event
	deferred []func(now placement.Millis)
	timers   transport.Timers
	wakeup   wakeup
	stall    stall // latest stall

	periodic     func(now placement.Millis)
	lastPeriodic placement.Millis
}

// NewHost returns a host with a new engine. Attach must be called before any other method.
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

// Attach sets the current time and the Waker. It does not start the engine: the frontend starts it within Handle, as
// part of its own start.
func (h *Host) Attach(now placement.Millis, w Waker) {
	h.now = now
	h.wakeup.waker = w
}

// Engine returns the engine. It must not be called from within the frontend's allocator.Actions; see Defer.
func (h *Host) Engine() *allocator.Engine { return h.engine }

// Now returns the time of the current event or, between events, of the latest one.
func (h *Host) Now() placement.Millis { return h.now }

// Handle handles one event at the given time: it calls handle, runs the deferred calls in order, including those that
// deferred calls add, and then sets the wake-up.
//
// Calls may be nested, for example when handling an event closes a connection and the close is handled like one by the
// peer. The inner Handle then runs all calls deferred so far, including those of the outer one.
func (h *Host) Handle(now placement.Millis, handle func()) {
	h.begin(now)
	handle()
	h.flush(now)
}

// begin records the time of an event, and a stall if the wake-up is late.
func (h *Host) begin(now placement.Millis) {
	if h.wakeup.isLate(now) {
		h.stall = stall{length: now - h.now, endedAt: now}
	}
	h.wakeup.recordEvent(now)
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

// Wake handles the wake-up within Handle: it runs the due timers, Config.Periodic and the engine's tick, in this order.
func (h *Host) Wake(now placement.Millis) {
	h.Handle(now, func() {
		h.wakeup.recordFired(now)
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

// Defer queues call to run at the end of the next Handle that ends, when the engine is idle. Calls run in the order in
// which they were deferred. The call must check first whether the object that it handles still exists.
func (h *Host) Defer(call func(now placement.Millis)) { h.deferred = append(h.deferred, call) }

// Schedule sets a timer: Wake runs call once the given time has come. Timers for the same time run in the order in
// which they were scheduled. A timer cannot be cancelled, so the call must check whether it still applies.
func (h *Host) Schedule(at placement.Millis, call func(now placement.Millis)) {
	h.timers.Schedule(at, call)
}

// ScheduleDeadline sets a timer for a message that a peer has to send: Wake runs call once the given time has come. If
// the process was stopped shortly before, the message may wait to be handled; the call is then made a little later.
func (h *Host) ScheduleDeadline(at placement.Millis, call func(now placement.Millis)) {
	h.Schedule(at, func(now placement.Millis) {
		if h.RecentStall() > 0 {
			h.ScheduleDeadline(now+stallBacklogTime, call)
			return
		}
		call(now)
	})
}

// ScheduleReplyDeadline sets a timer for the reply of a peer: Wake runs call once the given time has come. While queued
// reports that something was received that may be the reply and was not handled yet, the call waits, for
// placement.MaxQueuedReplyTime at most.
func (h *Host) ScheduleReplyDeadline(at placement.Millis, queued func() bool, call func(now placement.Millis)) {
	h.Schedule(at, func(now placement.Millis) {
		h.awaitQueuedReply(now, now+placement.MaxQueuedReplyTime, queued, call)
	})
}

// awaitQueuedReply runs call once queued is false, but not after latest.
func (h *Host) awaitQueuedReply(
	now, latest placement.Millis, queued func() bool, call func(now placement.Millis),
) {
	if now >= latest || !queued() {
		call(now)
		return
	}
	h.Schedule(min(now+allocator.QueuedReplyInterval, latest), func(now placement.Millis) {
		h.awaitQueuedReply(now, latest, queued, call)
	})
}

// DeferredCalls returns the number of deferred calls that have not run.
func (h *Host) DeferredCalls() int { return len(h.deferred) }

// PendingTimers returns the number of timers set with Schedule that have not run.
func (h *Host) PendingTimers() int { return h.timers.Len() }

// RetryDelay returns the delay before the next attempt, with jitter, in ms. The parameter failures is the number of
// consecutive earlier failures, 0 for the first delay. Each call takes one draw of the jitter.
func (h *Host) RetryDelay(b Backoff, failures int) placement.Millis {
	return h.jitter.apply(b.Delay(failures))
}

// RecentStall returns an upper bound of the time for which the process was stopped shortly before the current event, in
// ms, or 0 if it was not stopped. Events handled after a stall may have been queued for this time.
func (h *Host) RecentStall() placement.Millis { return h.stall.recent(h.now) }
