package link

import (
	"grebeglade/choice"
	"grebeglade/internal/schedule"
)

// Timers are a party's own: it sets them with At and runs what is due from Wake.
type Timers struct {
	queue schedule.Queue[func(choice.Millis)]
}

// At has call run once that time has come.
func (t *Timers) At(at choice.Millis, call func(now choice.Millis)) { t.queue.Add(at, call) }

// Run runs what is due.
func (t *Timers) Run(now choice.Millis) {
	for at, ok := t.queue.Next(); ok && at <= now; at, ok = t.queue.Next() {
		_, _, call := t.queue.Take()
		call(now)
	}
}

// Next is the time of the first timer, if there is one.
func (t *Timers) Next() (choice.Millis, bool) { return t.queue.Next() }

// Len is the number of timers that have not come.
func (t *Timers) Len() int { return t.queue.Len() }
