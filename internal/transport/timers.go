package transport

import (
	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

// Timers are a party's own: it sets them with At and runs what is due from Wake.
type Timers struct {
	queue timerqueue.Queue[func(placement.Millis)]
}

// At has call run once that time has come.
func (t *Timers) At(at placement.Millis, call func(now placement.Millis)) { t.queue.Add(at, call) }

// Run runs what is due.
func (t *Timers) Run(now placement.Millis) {
	for at, ok := t.queue.Next(); ok && at <= now; at, ok = t.queue.Next() {
		_, _, call := t.queue.Take()
		call(now)
	}
}

// Next is the time of the first timer, if there is one.
func (t *Timers) Next() (placement.Millis, bool) { return t.queue.Next() }

// Len is the number of timers that have not come.
func (t *Timers) Len() int { return t.queue.Len() }
