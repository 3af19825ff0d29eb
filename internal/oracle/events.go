package oracle

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// eventOrder is the order of events at the same time: capacity that is released can be used at once.
type eventOrder uint8

const (
	capacityReleased eventOrder = iota
	machineChanged
	workloadWanted
)

// event is a change at a point in time.
type event struct {
	at    placement.Millis
	order eventOrder
	apply func()
}

// eventQueue holds the events of a scenario in order.
type eventQueue struct {
	events []event
	next   int // index of the next event
}

func newEventQueue(events []event) eventQueue {
	slices.SortStableFunc(events, func(x, y event) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.order, y.order))
	})
	return eventQueue{events: events}
}

// pop takes the next event if it is before the end.
func (q *eventQueue) pop(end placement.Millis) (e event, ok bool) {
	if q.next == len(q.events) || q.events[q.next].at >= end {
		return event{}, false
	}
	q.next++
	return q.events[q.next-1], true
}

// hasNextAt reports whether the next event is at a time, or before it.
func (q *eventQueue) hasNextAt(t placement.Millis) bool {
	return q.next < len(q.events) && q.events[q.next].at <= t
}

// insert adds an event behind those of the same time. Its time must not be over.
func (q *eventQueue) insert(e event) {
	at := q.next
	for at < len(q.events) && q.events[at].at <= e.at {
		at++
	}
	q.events = slices.Insert(q.events, at, e)
}
