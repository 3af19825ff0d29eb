package allocator

import (
	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

// clockGrain is how far apart two times may be and still count as the same, in ms: a host's clock counts nanoseconds,
// and a time that was rounded down must not miss its timer.
const clockGrain = placement.Millis(1e-6)

// MaxTimerDelay is the longest time for which a timer is set, in ms; what is due later is set again when it fires. A
// timer cannot be cancelled, and clients may wait for weeks: so the number of timers is bounded by the requests within
// this time.
const MaxTimerDelay = placement.Millis(60e3)

// timerKind says what is due when a timer fires.
type timerKind uint8

const (
	maintenanceTimer timerKind = iota
	stepTimer                  // the step of a workload
)

// timer is one entry of the queue.
type timer struct {
	kind     timerKind
	workload placement.WorkloadID // of a stepTimer
}

// timers are the timers of an engine, and the tick that it has requested of its host. A timer stays in the queue until
// it fires; that of a workload counts only if the workload still names its number.
type timers struct {
	queue     timerqueue.Queue[timer]
	tickAt    placement.Millis // earliest tick that was requested and has not come
	requested bool             // whether there is such a tick
}

// setMaintenance sets a timer for maintenance.
func (t *timers) setMaintenance(at placement.Millis) { t.queue.Push(at, timer{kind: maintenanceTimer}) }

// setStep sets the timer of a workload's step. An earlier timer of the workload no longer counts.
func (t *timers) setStep(now placement.Millis, entry *workload, due placement.Millis) {
	entry.due = due
	entry.timer = t.queue.Push(min(due, now+MaxTimerDelay), timer{kind: stepTimer, workload: entry.id})
}

// ticked notes a tick, which may be the one that was requested.
func (t *timers) ticked(now placement.Millis) {
	if t.requested && t.tickAt <= now+clockGrain {
		t.requested = false
	}
}

// popDue removes the first timer that is due, if there is one, and returns it with its number.
func (t *timers) popDue(now placement.Millis) (due timer, number uint64, ok bool) {
	if at, pending := t.queue.NextTime(); !pending || at > now+clockGrain {
		return timer{}, noTimer, false
	}
	_, number, due = t.queue.Pop()
	return due, number, true
}

// nextTick returns the time of the tick that the first timer needs, and notes it as requested. It returns false where
// no tick is needed, or one that is early enough was requested before.
func (t *timers) nextTick(now placement.Millis) (placement.Millis, bool) {
	at, ok := t.queue.NextTime()
	if !ok || t.requested && t.tickAt <= at {
		return 0, false
	}
	t.tickAt = max(now, at)
	t.requested = true
	return t.tickAt, true
}
