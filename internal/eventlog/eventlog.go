// Package eventlog keeps, in order and by revision, what an allocator was requested to do, decided and observed.
//
// Revisions begin at 1 and have no gaps. A log holds the latest events up to its capacity and drops the oldest ones, which
// Since reports. Times are milliseconds on the allocator's own clock. A log belongs to one goroutine.
package eventlog

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"grebeglade/placement"
)

// Kind says what happened.
type Kind uint8

// The kinds of events. Their numbers are part of the digest.
const (
	Requested      Kind = iota + 1 // a client requested a workload
	NotAdmitted                    // a request was rejected before it was scheduled
	Adopted                        // a workload was found running on a node
	Bound                          // a workload was offered to a node
	BindOutcome                    // a bind was confirmed, or ended before that; Detail is the placement.ResultKind
	Answered                       // a client got its final answer; Detail is the allocator.Verdict
	Ended                          // a placed workload no longer runs
	Withdrawn                      // a client no longer wants a workload
	BindStopped                    // a bind was stopped; Detail is the allocator.StopReason
	HealthChecked                  // a health check was sent to a node
	NodesUpdated                   // node discovery sent a message; Detail is the placement.NodeUpdateKind
	NodeConnection                 // a node's connection was opened, or lost; Detail is 1 or 0
)

var kindNames = [...]string{
	"", "requested", "not admitted", "adopted", "bound", "bind outcome", "answered", "ended", "withdrawn",
	"bind stopped", "health checked", "nodes updated", "node connection",
}

// String returns the kind's name in lower case.
func (k Kind) String() string { return kindNames[k] }

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

// Log is the event log of one allocator. Events may be added to a nil log, which keeps nothing.
type Log struct {
	ring   []Event // the event of revision r is at (r-1) modulo its capacity
	last   uint64  // revision
	digest *xxhash.Digest
}

// New returns a log that holds the latest capacity events, at least one.
func New(capacity int) *Log {
	return &Log{ring: make([]Event, 0, max(1, capacity)), digest: xxhash.New()}
}

// Add gives the event the next revision and keeps it.
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

// digestedSize is the size of an event as the digest sees it: unused bytes are zero.
const digestedSize = 32

func (l *Log) addToDigest(e Event) {
	var b [digestedSize]byte
	binary.LittleEndian.PutUint64(b[:], math.Float64bits(float64(e.At)))
	b[8], b[9], b[10] = byte(e.Kind), e.Detail, byte(e.Reason)
	binary.LittleEndian.PutUint32(b[12:], uint32(e.Bind))
	binary.LittleEndian.PutUint32(b[16:], uint32(e.Workload))
	binary.LittleEndian.PutUint32(b[20:], uint32(e.Node))
	binary.LittleEndian.PutUint16(b[24:], uint16(e.Group))
	_, _ = l.digest.Write(b[:]) // a hash never fails to write
}

func (l *Log) index(revision uint64) uint64 { return (revision - 1) % uint64(cap(l.ring)) }

// Revision returns the revision of the last event, 0 before the first.
func (l *Log) Revision() uint64 { return l.last }

// Digest returns a hash of all events so far, also of those that are no longer held: two runs with the same events have the
// same digest.
func (l *Log) Digest() uint64 { return l.digest.Sum64() }

// Since returns the events after a revision, oldest first, and whether all of them are still held.
func (l *Log) Since(revision uint64) (events []Event, complete bool) {
	dropped := l.last - uint64(len(l.ring)) // the last revision that is not held
	for r := max(revision, dropped) + 1; r <= l.last; r++ {
		events = append(events, l.ring[l.index(r)])
	}
	return events, revision >= dropped
}
