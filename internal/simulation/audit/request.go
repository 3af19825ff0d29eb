package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// requestRef identifies a request. Each client numbers its own requests.
type requestRef struct {
	client string
	number uint64
}

// request is a request for a workload or a gang. Rule 1 treats a gang as one request.
type request struct {
	ref       requestRef
	spec      *pb.PlaceRequest // first part, for a gang
	gang      bool
	allocator string
	binds     []*bind
	frames    []frame

	clientView
	allocatorView
}

// clientView is the state of a request at its client.
type clientView struct {
	deadline    placement.Millis // latest time for the answer
	noAnswerDue bool             // no answer is due, or a missing answer was already reported
	answered    bool             // the client has received an answer
}

// allocatorView is the state of a request at its allocator.
type allocatorView struct {
	received  bool
	withdrawn bool
	verdict   pb.Verdict // verdict of the answer that was sent; unspecified before
}

// bindThatMayHaveRun returns the first bind that may have run, or nil.
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
	timeout  placement.Millis // time after sentAt within which the node must accept
	closed   bool             // a reply was received, or the connection was lost
	accepted bool             // accepted by the node within the timeout, and not stopped after adoption
	neverRan bool             // the node rejected the offer
	request  *request
}

// pending reports whether a reply may still be received.
func (b *bind) pending(now placement.Millis) bool {
	return !b.closed && now < b.sentAt+b.timeout-clockTolerance
}

// requestTable holds all requests that clients sent.
type requestTable struct {
	byRef map[requestRef]*request
	sent  []*request // requests in sending order
}

func newRequestTable() requestTable {
	return requestTable{byRef: map[requestRef]*request{}}
}

func (t *requestTable) add(r *request) {
	t.byRef[r.ref] = r
	t.sent = append(t.sent, r)
}

// find returns the request of a client with the given number, or nil.
func (t *requestTable) find(client string, number uint64) *request {
	return t.byRef[requestRef{client, number}]
}

// cancelAnswersFrom records that no more answers from an allocator are due, since it was killed.
func (t *requestTable) cancelAnswersFrom(allocator string) {
	for _, r := range t.sent {
		if r.allocator == allocator && !r.answered {
			r.noAnswerDue = true
		}
	}
}

// cancelAnswersBetween records that no more answers from an allocator to a client are due: their connection closed.
func (t *requestTable) cancelAnswersBetween(client, allocator string) {
	for _, r := range t.sent {
		if r.ref.client == client && r.allocator == allocator && !r.answered {
			r.noAnswerDue = true
		}
	}
}
