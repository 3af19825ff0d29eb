// Package timerqueue holds things that come due: earliest first, equal times in the order in which they were
// added. Times are milliseconds.
package timerqueue

import (
	"encoding/binary"
	"hash/fnv"

	"grebeglade/placement"
)

// Jitter is a quarter more or less than d, by the chance of that draw.
func Jitter(d placement.Millis, seed, draw uint64) placement.Millis {
	h := fnv.New64a()
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], seed)
	binary.BigEndian.PutUint64(b[8:], draw)
	h.Write(b[:])
	return d * placement.Millis(0.75+float64(h.Sum64()>>11%1000)/2000)
}

// Queue is empty at first.
type Queue[T any] struct {
	items []item[T]
	no    uint64
}

type item[T any] struct {
	at placement.Millis
	no uint64
	v  T
}

// Len is the number of things that are not taken yet.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push keeps v until that time and returns its number; numbers start at 1 and grow.
func (q *Queue[T]) Push(at placement.Millis, v T) uint64 {
	q.no++
	q.items = append(q.items, item[T]{at, q.no, v})
	for i := len(q.items) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.before(i, up) {
			break
		}
		q.items[i], q.items[up] = q.items[up], q.items[i]
		i = up
	}
	return q.no
}

// NextTime is the time of the first, if there is one.
func (q *Queue[T]) NextTime() (placement.Millis, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Pop takes the first out and returns it with its time and number. The queue must not be empty.
func (q *Queue[T]) Pop() (at placement.Millis, no uint64, v T) {
	first, last := q.items[0], len(q.items)-1
	q.items[0] = q.items[last]
	q.items[last] = item[T]{}
	q.items = q.items[:last]
	for i := 0; ; {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && q.before(down, least) {
				least = down
			}
		}
		if least == i {
			return first.at, first.no, first.v
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}

func (q *Queue[T]) before(i, j int) bool {
	x, y := &q.items[i], &q.items[j]
	return x.at < y.at || x.at == y.at && x.no < y.no
}
