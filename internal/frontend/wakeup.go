package frontend

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// maxWakeupDelay is the longest delay of a wake-up, in ms, while the process is running. A longer delay means that the
// process was stopped.
const maxWakeupDelay = placement.Millis(10)

// Waker schedules the wake-up of a frontend, at which Host.Wake must be called. Each call replaces the previous time.
// The networks of package transport implement it.
type Waker interface {
	WakeAt(at placement.Millis)
}

// wakeup is the single scheduled wake-up of a frontend. It is set for the earliest of the frontend's first timer, the
// tick requested by the engine, and the end of the longest interval between two wake-ups.
type wakeup struct {
	waker         Waker
	maxInterval   placement.Millis // longest interval between two wake-ups, in ms
	at            placement.Millis // time for which the wake-up is set, or of a later event; 0 before the first event
	tickAt        placement.Millis // time of the tick requested by the engine; valid if tickRequested
	tickRequested bool
}

// set sets the wake-up again, unless it is already set for a time that is early enough.
func (w *wakeup) set(now placement.Millis, timers *transport.Timers) {
	next := now + w.maxInterval
	if at, ok := timers.Next(); ok {
		next = min(next, max(at, now))
	}
	if w.tickRequested {
		next = min(next, max(w.tickAt, now))
	}
	if w.at > now && w.at <= next {
		return
	}
	w.at = next
	w.waker.WakeAt(next)
}

// isLate reports whether the wake-up is overdue by more than maxWakeupDelay, which means that the process was stopped.
func (w *wakeup) isLate(now placement.Millis) bool { return w.at > 0 && now-w.at > maxWakeupDelay }

// recordEvent records the time of an event, so that isLate reports a late wake-up only for the first event after it.
func (w *wakeup) recordEvent(now placement.Millis) { w.at = max(w.at, now) }

// recordFired records that the wake-up has fired and none is set. It may fire before the time for which it was set.
func (w *wakeup) recordFired(now placement.Millis) { w.at = now }

// requestTick records that the engine needs a tick at the given time. A request for an earlier time takes precedence.
func (w *wakeup) requestTick(at placement.Millis) {
	if !w.tickRequested || at < w.tickAt {
		w.tickAt = at
		w.tickRequested = true
	}
}

// popTick reports whether the tick requested by the engine is due. If it is, the request is removed.
func (w *wakeup) popTick(now placement.Millis) bool {
	if !w.tickRequested || w.tickAt > now {
		return false
	}
	w.tickRequested = false
	return true
}
