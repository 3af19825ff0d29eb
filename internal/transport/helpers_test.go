package transport

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// eventually is how long a test waits for what must come.
const eventually = 20 * time.Second

// echoHandler sends as many answers to each request as its key says, and counts what it is notified of.
type echoHandler struct {
	dialAddr string // dialled at the start, if not empty

	mu       sync.Mutex
	network  FrameNetwork
	opened   int
	requests int
	closed   []error // the reasons
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
	for range max(1, request.Key) {
		e.network.Send(c, &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{RequestId: request.RequestId, Reason: request.Group}}})
	}
}

// waitUntil waits for a condition on the handler's counts.
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
	return append([]error(nil), e.closed...)
}

// startEcho runs an echoHandler on a loop of its own.
func startEcho(t *testing.T, limits Limits) (*Loop, *echoHandler, string) {
	t.Helper()
	e := &echoHandler{}
	l, addr := start(t, e, limits)
	return l, e, addr
}

// start runs a handler on a loop of its own, and returns its address.
func start(t *testing.T, h FrameHandler, limits Limits) (*Loop, string) {
	t.Helper()
	l := NewLoop(nil)
	addr, err := l.ListenFrames(h, "127.0.0.1:0", limits)
	require.NoError(t, err)
	l.Run()
	t.Cleanup(l.Close)
	return l, addr
}

// waitForQueued waits until so many events that are not urgent are queued for a handler.
func waitForQueued(t *testing.T, l *Loop, h FrameHandler, events int) {
	t.Helper()
	q := l.worker(h).queue
	require.Eventually(t, func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.queued) >= events
	}, eventually, time.Millisecond)
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	return c
}

func sendFrame(w io.Writer, f *pb.Frame) error {
	b, err := AppendFrame(nil, f)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

func write(t *testing.T, w io.Writer, f *pb.Frame) {
	t.Helper()
	require.NoError(t, sendFrame(w, f))
}

func read(r io.Reader) (*pb.Frame, error) { return ReadFrame(r, 1<<30) }

// blockingHandler blocks in the handling of its first frame until resume is closed, and notes for each frame whether its
// peer had gone by then.
type blockingHandler struct {
	echoHandler
	busy, resume chan struct{}
	once         sync.Once
	peerGone     []bool
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{busy: make(chan struct{}), resume: make(chan struct{})}
}

func (h *blockingHandler) block() {
	h.once.Do(func() { close(h.busy); <-h.resume })
}

func (h *blockingHandler) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	h.block()
	h.mu.Lock()
	h.peerGone = append(h.peerGone, h.network.(frameNetwork).IsClosed(c))
	h.mu.Unlock()
	h.echoHandler.Received(now, c, f)
}
