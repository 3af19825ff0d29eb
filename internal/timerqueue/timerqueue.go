// Package timerqueue provides a priority queue of values, ordered by due time. Values with the same due time are popped
// in the order in which they were pushed. Times are milliseconds.
package timerqueue

import "grebeglade/placement"

// Queue is a queue of values, ordered by due time. The zero value is an empty queue.
type Queue[T any] struct {
	items      []entry[T] // binary heap; the first entry has the earliest due time
	lastNumber uint64     // number of the latest pushed value
}

// entry is a value with its sort key: due time, then number.
type entry[T any] struct {
	at     placement.Millis
	number uint64
	value  T
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a value with its due time and returns its number. Numbers start at 1 and increase by 1.
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

// NextTime returns the earliest due time in the queue, or false if the queue is empty.
func (q *Queue[T]) NextTime() (placement.Millis, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Pop removes the value with the earliest due time, and returns it with its due time and its number. It panics if the
// queue is empty.
func (q *Queue[T]) Pop() (at placement.Millis, number uint64, value T) {
	first := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = entry[T]{} // lets the garbage collector free the value
	q.items = q.items[:last]
	q.down(0)
	return first.at, first.number, first.value
}

// up moves the entry at i towards the root until its parent sorts before it.
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

// down moves the entry at i away from the root until it sorts before its children.
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

// before reports whether the entry at i sorts before the entry at j.
func (q *Queue[T]) before(i, j int) bool {
	x := &q.items[i]
	y := &q.items[j]
	return x.at < y.at || x.at == y.at && x.number < y.number
}
