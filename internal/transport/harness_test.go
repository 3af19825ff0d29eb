package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "grebeglade/proto/grebeglade/v1"
)

// eventTimeout is how long a test waits for an event that must occur.
const eventTimeout = 20 * time.Second

// startEcho runs an echoHandler on a new loop, and returns its address.
func startEcho(t *testing.T, limits Limits) (*Loop, *echoHandler, string) {
	t.Helper()
	echo := &echoHandler{}
	loop, addr := start(t, echo, limits)
	return loop, echo, addr
}

// start runs a handler on a new loop until the end of the test, and returns its address.
func start(t *testing.T, h FrameHandler, limits Limits) (*Loop, string) {
	t.Helper()
	loop := NewLoop(nil)
	addr, err := loop.ListenFrames(h, "127.0.0.1:0", limits)
	require.NoError(t, err)
	loop.Run()
	t.Cleanup(loop.Close)
	return loop, addr
}

// startBlocked runs a blockingHandler that is blocked in the first request of a client, while the client's second
// request is queued.
func startBlocked(t *testing.T) (loop *Loop, handler *blockingHandler, client net.Conn) {
	t.Helper()
	handler = newBlockingHandler()
	loop, addr := start(t, handler, DefaultLimits)
	client = dial(t, addr)
	write(t, client, sampleRequest())
	<-handler.busy
	write(t, client, sampleRequest())
	waitForQueued(t, loop, handler, 1)
	return loop, handler, client
}

// beginClose calls Close of the loop on a goroutine, and returns once the queue of h is closed. The returned channel is
// closed when Close returns.
func beginClose(loop *Loop, h FrameHandler) (closed <-chan struct{}) {
	queue := loop.worker(h).queue
	done := make(chan struct{})
	go func() {
		loop.Close()
		close(done)
	}()
	<-queue.closed
	return done
}

// waitForQueued waits until at least the given number of events is queued for h, not counting urgent ones.
func waitForQueued(t *testing.T, loop *Loop, h FrameHandler, events int) {
	t.Helper()
	queue := loop.worker(h).queue
	require.Eventually(t, func() bool {
		queue.mu.Lock()
		defer queue.mu.Unlock()
		return len(queue.queued) >= events
	}, eventTimeout, time.Millisecond)
}

// dial connects to an address. The connection is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}

// acceptOne accepts one connection, dialed by a handler. It is closed at the end of the test.
func acceptOne(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	conn, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // the handler's loop has closed its side
	return conn
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

// assertSampleAnswer reads a frame, and checks that it answers a sampleRequest.
func assertSampleAnswer(t *testing.T, r io.Reader) {
	t.Helper()
	f, err := read(r)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), f.GetAnswer().RequestId)
}
