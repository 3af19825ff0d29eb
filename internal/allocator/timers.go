package allocator

import (
	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

// timeTolerance, in ms, is the largest difference between two times that count as equal. The host's clock has a
// resolution of one nanosecond, and a tick whose time was rounded down must still fire its timer.
const timeTolerance = placement.Millis(1e-6)

// MaxTimerDelay is the longest delay of a timer, in ms. A timer for a later time is set again when it fires. Timers
// cannot be cancelled and clients may wait for weeks; with this limit, the timer of a workload that has left the engine
// stays in the queue for a minute at most.
const MaxTimerDelay = placement.Millis(60e3)

// QueuedReplyInterval is the time, in ms, between two checks whether a reply that is due is still queued.
const QueuedReplyInterval = placement.Millis(5)

// timerKind selects what happens when a timer fires.
type timerKind uint8

const (
	maintenanceTimer timerKind = iota
	stepTimer                  // end of a wait, or timeout of a bind
)

// timer is one entry of the timer queue.
type timer struct {
	kind     timerKind
	workload placement.WorkloadID // set for a stepTimer only
}

// timers holds an engine's timers and the tick that it has requested from its host. A timer stays in the queue until it
// fires. A stepTimer has an effect only if its number is still the one stored in the workload's entry.
type timers struct {
	queue     timerqueue.Queue[timer]
	tickAt    placement.Millis // time of the earliest outstanding tick; valid if requested
	requested bool             // whether a requested tick is outstanding
}

// setMaintenance sets the timer for the next maintenance.
func (t *timers) setMaintenance(at placement.Millis) { t.queue.Push(at, timer{kind: maintenanceTimer}) }

// setStep sets the timer of a workload's step. It replaces the workload's previous timer.
func (t *timers) setStep(now placement.Millis, entry *workload, due placement.Millis) {
	entry.dueAt = due
	entry.timer = t.queue.Push(min(due, now+MaxTimerDelay), timer{kind: stepTimer, workload: entry.id})
}

// recordTick records a call of Tick, and clears the requested tick if its time has come.
func (t *timers) recordTick(now placement.Millis) {
	if t.requested && t.tickAt <= now+timeTolerance {
		t.requested = false
	}
}

// popDue removes the earliest timer and returns it with its number. It returns false if no timer is due.
func (t *timers) popDue(now placement.Millis) (due timer, number uint64, ok bool) {
	if at, pending := t.queue.NextTime(); !pending || at > now+timeTolerance {
		return timer{}, noTimer, false
	}
	_, number, due = t.queue.Pop()
	return due, number, true
}

// nextTick returns the time of the tick that the earliest timer requires, and records it as requested. It returns false
// if there is no timer, or if a tick that is early enough is already requested.
func (t *timers) nextTick(now placement.Millis) (placement.Millis, bool) {
	at, ok := t.queue.NextTime()
	if !ok || t.requested && t.tickAt <= at {
		return 0, false
	}
	t.tickAt = max(now, at)
	t.requested = true
	return t.tickAt, true
}
