package transport

import (
	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

// Timers are a handler's own timers, behind its only wake-up: it calls RunDue from Wake, and gives Next to WakeAt. The zero
// value is ready for use.
type Timers struct {
	queue timerqueue.Queue[func(placement.Millis)]
}

// Schedule has call run once that time has come. Calls of the same time run in the order of their scheduling.
func (t *Timers) Schedule(at placement.Millis, call func(now placement.Millis)) {
	t.queue.Push(at, call)
}

// RunDue runs the calls that are due, also those that become due by what these schedule.
func (t *Timers) RunDue(now placement.Millis) {
	for at, ok := t.queue.NextTime(); ok && at <= now; at, ok = t.queue.NextTime() {
		_, _, call := t.queue.Pop()
		call(now)
	}
}

// Next returns the time of the first timer, if there is one.
func (t *Timers) Next() (placement.Millis, bool) { return t.queue.NextTime() }

// Len returns the number of timers that have not run.
func (t *Timers) Len() int { return t.queue.Len() }
