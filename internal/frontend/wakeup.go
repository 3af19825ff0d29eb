package frontend

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// lateWakeup is the longest time, in ms, by which a wake-up of a running process may come after the time it was set
// for.
const lateWakeup = placement.Millis(10)

// Waker sets the one wake-up of a frontend. A further call replaces the time. The networks of package transport are
// Wakers.
type Waker interface {
	WakeAt(at placement.Millis)
}

// wakeup is the one wake-up of a frontend. It comes for the first of its timers, the tick that the engine requested,
// and the longest interval between two wake-ups.
type wakeup struct {
	waker         Waker
	maxInterval   placement.Millis
	at            placement.Millis // that it was set for last, or the time of a later event; 0 until it is set
	tickAt        placement.Millis // if requested: the earliest tick that the engine still waits for
	tickRequested bool
}

// set sets the wake-up anew, unless it is set for a time that is early enough.
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

// isLate reports whether the wake-up should have come well before now, so that the process was stopped meanwhile.
func (w *wakeup) isLate(now placement.Millis) bool { return w.at > 0 && now-w.at > lateWakeup }

// passed records the time of an event, so that a nested event does not find the same wake-up late again.
func (w *wakeup) passed(now placement.Millis) { w.at = max(w.at, now) }

// fired records that the wake-up has come, so that none is set now. It may come before the time that it was set for.
func (w *wakeup) fired(now placement.Millis) { w.at = now }

// requestTick records that the engine needs a tick at the given time. An earlier request remains.
func (w *wakeup) requestTick(at placement.Millis) {
	if !w.tickRequested || at < w.tickAt {
		w.tickAt = at
		w.tickRequested = true
	}
}

// popTick reports whether the tick that the engine requested is due, and if so, removes the request.
func (w *wakeup) popTick(now placement.Millis) bool {
	if !w.tickRequested || w.tickAt > now {
		return false
	}
	w.tickRequested = false
	return true
}
