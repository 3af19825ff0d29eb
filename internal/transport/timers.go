package transport

import (
	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

// Timers multiplexes any number of timers onto a handler's only wake-up: the handler calls RunDue from Wake, and passes
// the time from Next to WakeAt. The zero value is ready to use.
type Timers struct {
	queue timerqueue.Queue[func(placement.Millis)]
}

// Schedule arranges for call to run once that time has come. Calls of the same time run in the order of their
// scheduling.
func (t *Timers) Schedule(at placement.Millis, call func(now placement.Millis)) {
	t.queue.Push(at, call)
}

// RunDue runs the calls that are due, including those that they schedule for now or earlier.
func (t *Timers) RunDue(now placement.Millis) {
	for at, ok := t.queue.NextTime(); ok && at <= now; at, ok = t.queue.NextTime() {
		_, _, call := t.queue.Pop()
		call(now)
	}
}

// Next returns the time of the earliest timer, and false if there is none.
func (t *Timers) Next() (placement.Millis, bool) { return t.queue.NextTime() }

// Len returns the number of timers that have not run.
func (t *Timers) Len() int { return t.queue.Len() }
