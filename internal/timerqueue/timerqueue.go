// Package timerqueue is a queue of what comes due: the earliest first, and what is due at the same time in the order in
// which it was added. Times are milliseconds.
package timerqueue

import "grebeglade/placement"

// Queue is a queue of values with the times at which they come due. The zero value is empty and ready to use.
type Queue[T any] struct {
	items []entry[T] // a binary heap: the first one comes due first
	last  uint64     // number of the value that was added last
}

type entry[T any] struct {
	at     placement.Millis
	number uint64
	value  T
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a value that comes due at the given time, and returns its number. Numbers begin at 1 and grow by one.
func (q *Queue[T]) Push(at placement.Millis, value T) uint64 {
	q.last++
	q.items = append(q.items, entry[T]{at, q.last, value})
	q.up(len(q.items) - 1)
	return q.last
}

// NextTime returns the time of the first value, and false where the queue is empty.
func (q *Queue[T]) NextTime() (placement.Millis, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Pop removes the first value and returns it with its time and its number. It panics where the queue is empty.
func (q *Queue[T]) Pop() (at placement.Millis, number uint64, value T) {
	first, last := q.items[0], len(q.items)-1
	q.items[0] = q.items[last]
	q.items[last] = entry[T]{} // so that the value may be collected
	q.items = q.items[:last]
	q.down(0)
	return first.at, first.number, first.value
}

// up moves the entry at i towards the top until its parent comes due before it.
func (q *Queue[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

// down moves the entry at i away from the top until it comes due before its children.
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
		q.items[i], q.items[first] = q.items[first], q.items[i]
		i = first
	}
}

func (q *Queue[T]) before(i, j int) bool {
	x, y := &q.items[i], &q.items[j]
	return x.at < y.at || x.at == y.at && x.number < y.number
}
