package native

// maxHistory limits the ended requests that are recorded per session. It is more than the number of requests that a
// client sends between two copies of the same request.
const maxHistory = 1024

// requestEnd is how a request ended.
type requestEnd uint8

const (
	requestAnswered  requestEnd = iota // answered and never withdrawn
	requestWithdrawn                   // withdrawn, answered or not
)

// requestHistory records the last requests of a session that were answered or withdrawn, so that a frame that is
// received twice, or a request that is received after its withdrawal, has no effect. A new session of the same client
// starts with an empty history, since a restarted client may number its requests from 1 again.
type requestHistory struct {
	ended  map[uint64]requestEnd
	order  []uint64 // requests in the order of their ends; a ring buffer once it is full
	oldest int      // index of the oldest request in order, once order is full
}

// add records the end of a request. A withdrawal is never overwritten.
func (h *requestHistory) add(request uint64, end requestEnd) {
	before, recorded := h.ended[request]
	if h.ended == nil {
		h.ended = map[uint64]requestEnd{}
	}
	if before == requestWithdrawn {
		end = requestWithdrawn
	}
	h.ended[request] = end
	if recorded {
		return
	}
	if len(h.order) < maxHistory {
		h.order = append(h.order, request)
		return
	}
	delete(h.ended, h.order[h.oldest])
	h.order[h.oldest] = request
	h.oldest = (h.oldest + 1) % maxHistory
}

// contains reports whether a request has ended.
func (h *requestHistory) contains(request uint64) bool {
	_, ok := h.ended[request]
	return ok
}

// withdrawn reports whether a request was withdrawn.
func (h *requestHistory) withdrawn(request uint64) bool { return h.ended[request] == requestWithdrawn }
