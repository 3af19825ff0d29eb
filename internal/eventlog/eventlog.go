// Package eventlog records the requests that an allocator receives, its decisions and its observations. Events are kept
// in order, each with a revision.
//
// Revisions start at 1 and have no gaps. A log holds the latest events up to its capacity and drops the oldest; Since
// reports whether any of the requested events have been dropped. Times are milliseconds on the allocator's own clock. A
// log is not safe for concurrent use.
package eventlog

import (
	"github.com/cespare/xxhash/v2"

	"grebeglade/placement"
)

// Event is one entry of a log. Fields that do not apply to its Kind are zero.
type Event struct {
	Revision uint64
	At       placement.Millis
	Kind     Kind
	Detail   uint8 // meaning depends on Kind; see the kinds of events
	Reason   placement.Reason
	Bind     int32 // number of the bind; in NodesUpdated, the number of nodes in the message
	Workload placement.WorkloadID
	Node     placement.NodeID
	Group    placement.GroupID
}

// Log is the event log of one allocator. Add on a nil log does nothing.
type Log struct {
	ring   []Event // ring buffer; revision r is at index (r-1) modulo the capacity
	last   uint64  // revision of the latest event
	digest *xxhash.Digest
}

// New returns a log that holds up to capacity events. A capacity below 1 counts as 1.
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

// index returns the position of a revision in the ring.
func (l *Log) index(revision uint64) uint64 { return (revision - 1) % uint64(cap(l.ring)) }

// Revision returns the revision of the latest event, or 0 if there is none.
func (l *Log) Revision() uint64 { return l.last }

// Since returns the events after a revision, oldest first. It returns false for complete if some of them were dropped.
func (l *Log) Since(revision uint64) (events []Event, complete bool) {
	dropped := l.last - uint64(len(l.ring)) // latest dropped revision
	for r := max(revision, dropped) + 1; r <= l.last; r++ {
		events = append(events, l.ring[l.index(r)])
	}
	return events, revision >= dropped
}
