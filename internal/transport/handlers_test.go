package transport

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// echoHandler answers each request as many times as its key says, and records its notifications.
type echoHandler struct {
	dialAddr string // dialled at the start, unless empty

	mu       sync.Mutex
	network  FrameNetwork
	opened   int
	requests int
	closed   []error // reasons of the connections that have ended
}

func (e *echoHandler) Start(_ placement.Millis, n FrameNetwork) {
	e.network = n
	if e.dialAddr != "" {
		n.Dial(e.dialAddr)
	}
}

func (e *echoHandler) Wake(placement.Millis) {}

func (e *echoHandler) Opened(placement.Millis, ConnID) {
	e.mu.Lock()
	e.opened++
	e.mu.Unlock()
}

func (e *echoHandler) Closed(_ placement.Millis, _ ConnID, reason error) {
	e.mu.Lock()
	e.closed = append(e.closed, reason)
	e.mu.Unlock()
}

func (e *echoHandler) Received(_ placement.Millis, c ConnID, f *pb.Frame) {
	e.mu.Lock()
	e.requests++
	e.mu.Unlock()
	request := f.GetPlaceRequest()
	if request == nil {
		return
	}
	answer := &pb.Answer{RequestId: request.RequestId, Reason: request.Group}
	for range max(1, request.Key) {
		e.network.Send(c, &pb.Frame{Body: &pb.Frame_Answer{Answer: answer}})
	}
}

// floodRequest returns a request that an echoHandler answers so many times, with 60 kB each.
func floodRequest(answers uint64) *pb.Frame {
	f := sampleRequest()
	f.GetPlaceRequest().Key = answers
	f.GetPlaceRequest().Group = string(make([]byte, 60000))
	return f
}

// waitUntil waits for a condition on the handler's records.
func (e *echoHandler) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return condition()
	}, eventually, time.Millisecond)
}

// closeReasons waits for the end of n connections and returns their reasons.
func (e *echoHandler) closeReasons(t *testing.T, n int) []error {
	t.Helper()
	e.waitUntil(t, func() bool { return len(e.closed) == n })
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.closed)
}

// blockingHandler blocks in its first call of Received until resume is closed, and records for each frame whether the
// connection had ended by then.
type blockingHandler struct {
	echoHandler
	busy     chan struct{} // closed once the handler blocks
	resume   chan struct{}
	once     sync.Once
	peerGone []bool
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{busy: make(chan struct{}), resume: make(chan struct{})}
}

// block blocks when it is called for the first time.
func (h *blockingHandler) block() {
	h.once.Do(func() {
		close(h.busy)
		<-h.resume
	})
}

func (h *blockingHandler) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	h.block()
	h.mu.Lock()
	h.peerGone = append(h.peerGone, h.network.(frameNetwork).IsClosed(c))
	h.mu.Unlock()
	h.echoHandler.Received(now, c, f)
}
