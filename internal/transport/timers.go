package transport

import (
	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

// Timers are a party's own: it sets them with At and runs what is due from Wake.
type Timers struct {
	queue timerqueue.Queue[func(placement.Millis)]
}

// Schedule has call run once that time has come.
func (t *Timers) Schedule(at placement.Millis, call func(now placement.Millis)) {
	t.queue.Push(at, call)
}

// RunDue runs what is due.
func (t *Timers) RunDue(now placement.Millis) {
	for at, ok := t.queue.NextTime(); ok && at <= now; at, ok = t.queue.NextTime() {
		_, _, call := t.queue.Pop()
		call(now)
	}
}

// Next is the time of the first timer, if there is one.
func (t *Timers) Next() (placement.Millis, bool) { return t.queue.NextTime() }

// Len is the number of timers that have not come.
func (t *Timers) Len() int { return t.queue.Len() }
