// Package timerqueue is a priority queue of values by the time at which they are due. Values that are due at the same
// time stay in the order in which they were added. Times are milliseconds.
package timerqueue

import "grebeglade/placement"

// Queue is a queue of values with the times at which they are due. The zero value is empty and ready to use.
type Queue[T any] struct {
	items      []entry[T] // a binary heap: the first entry is due first
	lastNumber uint64     // number of the value that was added last
}

// entry is a value with its place in the queue: by time, then by number.
type entry[T any] struct {
	at     placement.Millis
	number uint64
	value  T
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a value that is due at the given time, and returns its number. Numbers begin at 1 and grow by one.
func (q *Queue[T]) Push(at placement.Millis, value T) uint64 {
	q.lastNumber++
	q.items = append(q.items, entry[T]{
		at:     at,
		number: q.lastNumber,
		value:  value,
	})
	q.up(len(q.items) - 1)
	return q.lastNumber
}

// NextTime returns the time of the first value, and false if the queue is empty.
func (q *Queue[T]) NextTime() (placement.Millis, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Pop removes the first value and returns it with its time and its number. It panics if the queue is empty.
func (q *Queue[T]) Pop() (at placement.Millis, number uint64, value T) {
	first := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = entry[T]{} // so that the value can be collected
	q.items = q.items[:last]
	q.down(0)
	return first.at, first.number, first.value
}

// up moves the entry at i towards the top until its parent is due before it.
func (q *Queue[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

// down moves the entry at i away from the top until it is due before its children.
func (q *Queue[T]) down(i int) {
	for {
		first := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(q.items) && q.before(child, first) {
				first = child
			}
		}
		if first == i {
			return
		}
		q.swap(i, first)
		i = first
	}
}

func (q *Queue[T]) swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// before reports whether the entry at i is due before the one at j.
func (q *Queue[T]) before(i, j int) bool {
	x := &q.items[i]
	y := &q.items[j]
	return x.at < y.at || x.at == y.at && x.number < y.number
}
