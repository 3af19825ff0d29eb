package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// requestRef identifies a request. Numbers are the client's own.
type requestRef struct {
	client string
	number uint64
}

// request is a request for a workload or a gang. Rule 1 treats a gang as one request.
type request struct {
	ref       requestRef
	spec      *pb.PlaceRequest // of a gang, its first part
	gang      bool
	allocator string
	binds     []*bind
	frames    []frame

	clientView
	allocatorView
}

// clientView is a request as its client sees it.
type clientView struct {
	deadline placement.Millis // of the answer
	excused  bool             // no answer is due any more
	answered bool             // the answer has reached the client
}

// allocatorView is a request as its allocator sees it.
type allocatorView struct {
	received  bool
	withdrawn bool
	verdict   pb.Verdict // sent in the answer; unspecified before
}

// bindThatMayHaveRun returns the first bind of which it is not certain that it never ran, or nil.
func (r *request) bindThatMayHaveRun() *bind {
	for _, b := range r.binds {
		if !b.neverRan {
			return b
		}
	}
	return nil
}

// bind is an offer that an allocator sent.
type bind struct {
	key      observer.BindKey
	node     uint32
	sentAt   placement.Millis
	timeout  placement.Millis
	closed   bool // replied to, or its connection was lost
	accepted bool // by the node
	neverRan bool // known for certain
	request  *request
}

// pending reports whether a reply may still come.
func (b *bind) pending(now placement.Millis) bool {
	return !b.closed && now < b.sentAt+b.timeout-clockTolerance
}

// requestTable holds all requests that clients sent.
type requestTable struct {
	byRef map[requestRef]*request
	sent  []*request // in the order in which they were sent
}

func newRequestTable() requestTable {
	return requestTable{byRef: map[requestRef]*request{}}
}

func (t *requestTable) add(r *request) {
	t.byRef[r.ref] = r
	t.sent = append(t.sent, r)
}

// find returns a request by the client's name and number of it, or nil.
func (t *requestTable) find(client string, number uint64) *request {
	return t.byRef[requestRef{client, number}]
}

// excuseAllocator records that no answers of an allocator are due any more.
func (t *requestTable) excuseAllocator(allocator string) {
	for _, r := range t.sent {
		if r.allocator == allocator && !r.answered {
			r.excused = true
		}
	}
}

// excuseConnection records that no answers of an allocator to a client are due any more.
func (t *requestTable) excuseConnection(client, allocator string) {
	for _, r := range t.sent {
		if r.ref.client == client && r.allocator == allocator && !r.answered {
			r.excused = true
		}
	}
}
