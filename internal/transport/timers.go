package transport

import (
	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

// Timers multiplexes any number of timers onto the single wake-up of a handler: the handler calls RunDue in Wake, and
// passes the time returned by Next to WakeAt. The zero value is ready to use.
type Timers struct {
	queue timerqueue.Queue[func(placement.Millis)]
}

// Schedule adds a timer that runs call at the given time. Timers of the same time run in the order in which they were
// added.
func (t *Timers) Schedule(at placement.Millis, call func(now placement.Millis)) {
	t.queue.Push(at, call)
}

// RunDue runs all timers due at now, including those that the calls add for now or earlier.
func (t *Timers) RunDue(now placement.Millis) {
	for at, ok := t.queue.NextTime(); ok && at <= now; at, ok = t.queue.NextTime() {
		_, _, call := t.queue.Pop()
		call(now)
	}
}

// Next returns the time of the earliest timer, and false if there is none.
func (t *Timers) Next() (placement.Millis, bool) { return t.queue.NextTime() }

// Len returns the number of pending timers.
func (t *Timers) Len() int { return t.queue.Len() }
