package oracle

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// eventOrder orders events at the same time, so that released capacity is available to requests of the same time.
type eventOrder uint8

const (
	capacityReleased eventOrder = iota
	machineChanged
	workloadRequested
)

// event is a change of a machine or of a workload at a point in time.
type event struct {
	at    placement.Millis
	order eventOrder
	apply func()
}

func newEvent(at placement.Millis, order eventOrder, apply func()) event {
	return event{
		at:    at,
		order: order,
		apply: apply,
	}
}

// eventQueue is a scenario's events, sorted by time and, at the same time, by eventOrder.
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

// pop removes and returns the next event. ok is false if no event is left before the end.
func (q *eventQueue) pop(end placement.Millis) (e event, ok bool) {
	if q.next == len(q.events) || q.events[q.next].at >= end {
		return event{}, false
	}
	e = q.events[q.next]
	q.next++
	return e, true
}

// hasNextUntil reports whether there is a next event whose time is t or earlier.
func (q *eventQueue) hasNextUntil(t placement.Millis) bool {
	return q.next < len(q.events) && q.events[q.next].at <= t
}

// insert adds an event after those of the same time. Its time must not be before that of the last popped event.
func (q *eventQueue) insert(e event) {
	index := q.next
	for index < len(q.events) && q.events[index].at <= e.at {
		index++
	}
	q.events = slices.Insert(q.events, index, e)
}
