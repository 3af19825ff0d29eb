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

// echoHandler answers each request Key times, at least once, and records the events it receives.
type echoHandler struct {
	dialAddr string // dialed in Start unless empty

	mu       sync.Mutex
	network  FrameNetwork
	opened   int
	requests int
	closed   []error // close reasons, in the order of the calls of Closed
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

// floodRequest returns a request that an echoHandler answers with the given number of answers of 60 kB each.
func floodRequest(answers uint64) *pb.Frame {
	f := sampleRequest()
	f.GetPlaceRequest().Key = answers
	f.GetPlaceRequest().Group = string(make([]byte, 60000))
	return f
}

// waitUntil waits until the condition is true. It is evaluated with mu held.
func (e *echoHandler) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return condition()
	}, eventTimeout, time.Millisecond)
}

// closeReasons waits until n connections have ended, and returns their close reasons.
func (e *echoHandler) closeReasons(t *testing.T, n int) []error {
	t.Helper()
	e.waitUntil(t, func() bool { return len(e.closed) == n })
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.closed)
}

// blockingHandler blocks in its first call of Received until resume is closed, and records for each frame whether
// IsClosed returned true for its connection.
type blockingHandler struct {
	echoHandler
	busy       chan struct{} // closed once the handler blocks
	resume     chan struct{}
	once       sync.Once
	peerClosed []bool // result of IsClosed for each frame
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{busy: make(chan struct{}), resume: make(chan struct{})}
}

// block blocks until resume is closed, if it is called for the first time.
func (h *blockingHandler) block() {
	h.once.Do(func() {
		close(h.busy)
		<-h.resume
	})
}

func (h *blockingHandler) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	h.block()
	h.mu.Lock()
	h.peerClosed = append(h.peerClosed, h.network.(frameNetwork).IsClosed(c))
	h.mu.Unlock()
	h.echoHandler.Received(now, c, f)
}
