// Package eventlog keeps what an allocator was asked, decided and saw, in order and by revision.
//
// Revisions start at 1 and have no gaps. The log holds the latest events up to its size; older ones are
// dropped, which Since reports. Times are milliseconds on the allocator's own clock. A log belongs to one
// goroutine.
package eventlog

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"grebeglade/placement"
)

// Kind says what happened.
type Kind uint8

const (
	Asked          Kind = iota + 1 // an owner asked for a workload
	NotAdmitted                    // an ask was rejected before it reached the module
	Adopted                        // a workload was found running
	Bound                          // it was offered to a node
	Outcome                        // the bind ended, or was confirmed; Detail is the result's kind
	Answered                       // the owner got its final answer; Detail is the verdict
	Ended                          // a placed workload stands no more
	Withdrawn                      // its owner wants it no more
	Stopped                        // a bind was called off; Detail says why
	Probed                         // a node was probed
	Listed                         // the list spoke; Detail is its kind
	NodeConnection                 // a node's connection opened, or closed; Detail is 1 or 0
)

var names = [...]string{
	"", "asked", "turned", "adopted", "bound", "outcome", "answered", "ended", "withdrawn",
	"stopped", "probed", "listed", "node",
}

func (k Kind) String() string { return names[k] }

// Event is one entry. Fields that do not apply are 0.
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

// Log is the record of one allocator.
type Log struct {
	ring   []Event
	last   uint64 // revision
	digest *xxhash.Digest
}

// New makes a log that holds that many events.
func New(size int) *Log { return &Log{ring: make([]Event, 0, max(1, size)), digest: xxhash.New()} }

// Add gives the event the next revision and keeps it. A nil log keeps nothing.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	l.last++
	e.Revision = l.last
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
	} else {
		l.ring[(l.last-1)%uint64(cap(l.ring))] = e
	}
	var b [32]byte
	binary.LittleEndian.PutUint64(b[:], math.Float64bits(float64(e.At)))
	b[8], b[9], b[10] = byte(e.Kind), e.Detail, byte(e.Reason)
	binary.LittleEndian.PutUint32(b[12:], uint32(e.Bind))
	binary.LittleEndian.PutUint32(b[16:], uint32(e.Workload))
	binary.LittleEndian.PutUint32(b[20:], uint32(e.Node))
	binary.LittleEndian.PutUint16(b[24:], uint16(e.Group))
	l.digest.Write(b[:])
}

// Revision is that of the last event, 0 before the first.
func (l *Log) Revision() uint64 { return l.last }

// Digest is a hash over all events so far, kept or dropped: two runs that did the same have the same.
func (l *Log) Digest() uint64 { return l.digest.Sum64() }

// Since returns the events after a revision, oldest first, and whether all of them are still held.
func (l *Log) Since(revision uint64) (events []Event, whole bool) {
	oldest := l.last - uint64(len(l.ring)) // revision before the oldest held
	whole = revision >= oldest
	for r := max(revision, oldest) + 1; r <= l.last; r++ {
		events = append(events, l.ring[(r-1)%uint64(cap(l.ring))])
	}
	return events, whole
}
