package native

// maxHistory is how many ended requests of a session are remembered: more than a client that sends a request twice has
// sent in between.
const maxHistory = 1024

// requestEnd is how a request ended.
type requestEnd uint8

const (
	requestAnswered  requestEnd = iota // it was never withdrawn
	requestWithdrawn                   // whether it was answered or not
)

// requestHistory remembers the last requests of a session that were answered or withdrawn, so that a frame that arrives
// twice, or a request that arrives after its withdrawal, has no effect. A new session of the same client begins with an
// empty history, since a client that starts anew may number its requests from 1 again.
type requestHistory struct {
	ended  map[uint64]requestEnd
	order  []uint64 // in which they ended; a ring once it is full
	oldest int      // in order, once it is full
}

// add records that a request has ended. One that was ever withdrawn stays so.
func (h *requestHistory) add(request uint64, end requestEnd) {
	before, known := h.ended[request]
	if h.ended == nil {
		h.ended = map[uint64]requestEnd{}
	}
	if before == requestWithdrawn {
		end = requestWithdrawn
	}
	h.ended[request] = end
	if known {
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
