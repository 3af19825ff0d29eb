// Package eventlog records requests to an allocator, its decisions and its observations, in order and by revision.
//
// Revisions begin at 1 and have no gaps. A log holds the latest events up to its capacity and drops the oldest; Since
// reports whether it has dropped any that were asked for. Times are milliseconds on the allocator's own clock. A log
// must not be used by several goroutines at once.
package eventlog

import (
	"github.com/cespare/xxhash/v2"

	"grebeglade/placement"
)

// Event is one entry. Fields that do not apply to its kind are zero.
type Event struct {
	Revision uint64
	At       placement.Millis
	Kind     Kind
	Detail   uint8
	Reason   placement.Reason
	Bind     int32
	Workload placement.WorkloadID
	Node     placement.NodeID
	Group    placement.GroupID
}

// Log is the event log of one allocator. Events may be added to a nil log, which drops them.
type Log struct {
	ring   []Event // the event of revision r is at index (r-1) modulo the capacity
	last   uint64  // revision of the last event
	digest *xxhash.Digest
}

// New returns a log that holds the latest capacity events, at least one.
func New(capacity int) *Log {
	return &Log{ring: make([]Event, 0, max(1, capacity)), digest: xxhash.New()}
}

// Add records an event under the next revision.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	l.last++
	e.Revision = l.last
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
	} else {
		l.ring[l.index(l.last)] = e
	}
	l.addToDigest(e)
}

// index returns where the event of a revision is in the ring.
func (l *Log) index(revision uint64) uint64 { return (revision - 1) % uint64(cap(l.ring)) }

// Revision returns the revision of the last event, 0 before the first.
func (l *Log) Revision() uint64 { return l.last }

// Since returns the events after a revision, oldest first, and whether all of them are still held.
func (l *Log) Since(revision uint64) (events []Event, complete bool) {
	dropped := l.last - uint64(len(l.ring)) // latest revision that is no longer held
	for r := max(revision, dropped) + 1; r <= l.last; r++ {
		events = append(events, l.ring[l.index(r)])
	}
	return events, revision >= dropped
}
