package transport

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestLoop_MalformedFrameEndsItsConnectionOnly(t *testing.T) {
	l, e, addr := startEcho(t, Limits{MaxFrameSize: 1000, MaxWriteBuffer: 1 << 20, MaxConnections: 10})
	good := dial(t, addr)
	for _, bad := range [][]byte{{0, 0, 4, 0, 1}, {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 2, 0xff, 0xff}, {0, 0, 0, 0}} {
		c := dial(t, addr)
		_, err := c.Write(bad)
		require.NoError(t, err)
		_, err = read(c)
		require.Error(t, err, "%v", bad)
	}
	reasons := e.closeReasons(t, 4)
	require.ErrorContains(t, reasons[0], "over the limit of 1000")
	for _, reason := range reasons {
		require.ErrorIs(t, reason, ErrMalformedMessage)
	}
	assert.Equal(t, uint64(4), l.Stats.MalformedMessages.Load())
	write(t, good, sampleRequest())
	f, err := read(good)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), f.GetAnswer().RequestId)
}

func TestLoop_FrameInPiecesIsOneFrame(t *testing.T) {
	_, _, addr := startEcho(t, DefaultLimits)
	c := dial(t, addr)
	b, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	for i := range b {
		_, err := c.Write(b[i : i+1])
		require.NoError(t, err)
	}
	_, err = read(c)
	assert.NoError(t, err)
}

func TestLoop_IncompleteMessageEndsItsConnectionAfterTheTimeout(t *testing.T) {
	limits := DefaultLimits
	limits.MessageTimeout = 50
	_, e, addr := startEcho(t, limits)
	idle, inTime, incomplete := dial(t, addr), dial(t, addr), dial(t, addr)
	request, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	_, err = inTime.Write(request[:5])
	require.NoError(t, err)
	time.Sleep(5 * time.Millisecond) // the beginning is read by itself
	_, err = inTime.Write(request[5:])
	require.NoError(t, err)
	_, err = incomplete.Write([]byte{0, 0})
	require.NoError(t, err)
	reasons := e.closeReasons(t, 1)
	require.ErrorIs(t, reasons[0], ErrMessageTimeout)
	require.EqualError(t, reasons[0], "message not complete after 50 ms")
	_, err = read(incomplete)
	require.Error(t, err)
	for _, c := range []net.Conn{idle, inTime} {
		write(t, c, sampleRequest())
		_, err = read(c)
		require.NoError(t, err, "a connection without an incomplete message stays open")
	}
	e.closeReasons(t, 1)
}

func TestLoop_PeerThatDoesNotReadIsDisconnectedAndOthersServed(t *testing.T) {
	l, e, addr := startEcho(t, Limits{MaxFrameSize: 1 << 20, MaxWriteBuffer: 256 << 10, MaxConnections: 10})
	slow, quick := dial(t, addr), dial(t, addr)
	flood := sampleRequest()
	flood.GetPlaceRequest().Key, flood.GetPlaceRequest().Group = 300, string(make([]byte, 60000))
	write(t, slow, flood)
	reasons := e.closeReasons(t, 1)
	require.EqualError(t, reasons[0], "peer does not read: over 262144 bytes wait to be written")
	require.ErrorIs(t, reasons[0], ErrSlowPeer)
	assert.NotZero(t, l.Stats.SlowPeers.Load())
	write(t, quick, sampleRequest())
	_, err := read(quick)
	assert.NoError(t, err)
}

func TestLoop_ConnectionOverTheLimitIsRejectedWithTheReason(t *testing.T) {
	l, e, addr := startEcho(t, Limits{MaxFrameSize: 1000, MaxWriteBuffer: 1 << 20, MaxConnections: 2})
	first := dial(t, addr)
	dial(t, addr)
	e.waitUntil(t, func() bool { return e.opened == 2 })
	f, err := read(dial(t, addr))
	require.NoError(t, err)
	assert.Contains(t, f.GetRefusal().GetReason(), "2 connections stand")
	assert.Equal(t, uint64(1), l.Stats.RejectedConnections.Load())
	require.NoError(t, first.Close())
	require.ErrorIs(t, e.closeReasons(t, 1)[0], ErrClosedByPeer)
	write(t, dial(t, addr), sampleRequest())
	e.waitUntil(t, func() bool { return e.requests == 1 })
}

func TestLoop_ConnectionOverTheLimitWaitsForASlotWhereAcceptPauses(t *testing.T) {
	_, e, addr := startEcho(t, Limits{MaxFrameSize: 1000, MaxWriteBuffer: 1 << 20, MaxConnections: 2, PauseAcceptAtLimit: true})
	first := dial(t, addr)
	dial(t, addr)
	e.waitUntil(t, func() bool { return e.opened == 2 })
	third := dial(t, addr)
	write(t, third, sampleRequest())
	require.NoError(t, first.Close())
	f, err := read(third)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), f.GetAnswer().RequestId)
}

// exchange sends a request with an ID on a connection of its own and checks the answer.
func exchange(addr string, id uint64) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // the answer was read, or another error is reported
	request := sampleRequest()
	request.GetPlaceRequest().RequestId = id
	if err := sendFrame(c, request); err != nil {
		return err
	}
	f, err := read(bufio.NewReader(c))
	if err != nil {
		return err
	}
	if f.GetAnswer().RequestId != id {
		return fmt.Errorf("%d got the answer to %d", id, f.GetAnswer().RequestId)
	}
	return nil
}

func TestLoop_ThousandConnectionsAtOnceAreServed(t *testing.T) {
	_, e, addr := startEcho(t, DefaultLimits)
	var exchanges sync.WaitGroup
	failures := make(chan error, 1000)
	for id := range uint64(1000) {
		exchanges.Go(func() {
			if err := exchange(addr, id); err != nil {
				failures <- err
			}
		})
	}
	exchanges.Wait()
	close(failures)
	for err := range failures {
		require.NoError(t, err)
	}
	e.waitUntil(t, func() bool { return len(e.closed) == 1000 })
}

func TestLoop_DialWithoutListenerIsReportedAsClosed(t *testing.T) {
	l, e := NewLoop(nil), &echoHandler{dialAddr: "127.0.0.1:1"}
	_, err := l.ListenFrames(e, "", DefaultLimits)
	require.NoError(t, err)
	l.Run()
	defer l.Close()
	reasons := e.closeReasons(t, 1)
	require.ErrorIs(t, reasons[0], ErrConnectionRefused)
	require.EqualError(t, reasons[0], "connection refused")
}

func TestLoop_ListenAtABadAddressFails(t *testing.T) {
	_, err := NewLoop(nil).ListenFrames(&echoHandler{}, "127.0.0.1:99999", DefaultLimits)
	assert.Error(t, err)
}

func TestLoop_ListenerThatEndsByItselfIsReported(t *testing.T) {
	l, e, _ := startEcho(t, DefaultLimits)
	require.NoError(t, l.worker(e).listener.Close())
	assert.ErrorContains(t, <-l.Failed(), "listen on 127.0.0.1")
}

// What was received before a loop closes is answered, and the answer leaves: a process that ends on a signal loses no
// request that it has read. It guards against workers that end before their queue is empty and against event loops that
// end before what was sent; it could harm where a handler has far more to do than closing may take.
func TestLoop_RequestsReceivedBeforeCloseAreAnswered(t *testing.T) {
	h := newBlockingHandler()
	l, addr := start(t, h, DefaultLimits)
	c := dial(t, addr)
	write(t, c, sampleRequest())
	<-h.busy
	write(t, c, sampleRequest())
	waitForQueued(t, l, h, 1)
	w, closed := l.worker(h), make(chan struct{})
	go func() { l.Close(); close(closed) }()
	<-w.queue.closed
	close(h.resume)
	for range 2 * sampleRequest().GetPlaceRequest().Key { // so many answers to each
		f, err := read(c)
		require.NoError(t, err)
		assert.Equal(t, uint64(7), f.GetAnswer().RequestId)
	}
	<-closed
}

// An answer of which the peer has read only the beginning when the loop closes is still complete.
func TestLoop_AnswerInTheWriteBufferIsSentBeforeClose(t *testing.T) {
	l, e, addr := startEcho(t, Limits{MaxFrameSize: 1 << 20, MaxWriteBuffer: 64 << 20, MaxConnections: 10})
	c := dial(t, addr)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	long := sampleRequest()
	long.GetPlaceRequest().Key, long.GetPlaceRequest().Group = 100, string(make([]byte, 60000))
	write(t, c, long)
	e.waitUntil(t, func() bool { return e.requests == 1 })
	w, closed := l.worker(e), make(chan struct{})
	go func() { l.Close(); close(closed) }()
	<-w.queue.closed
	r := bufio.NewReader(c)
	for i := range 100 {
		_, err := read(r)
		require.NoError(t, err, "answer %d", i)
	}
	<-closed
}

// A handler can tell that the peer of a message has gone meanwhile, so that it begins nothing for it. It guards against
// work for clients that have gone taking the place of work for those that wait.
func TestLoop_PeerThatHasGoneIsKnownBeforeClosedIsHandled(t *testing.T) {
	h := newBlockingHandler()
	l, addr := start(t, h, DefaultLimits)
	c := dial(t, addr)
	write(t, c, sampleRequest())
	<-h.busy
	write(t, c, sampleRequest())
	waitForQueued(t, l, h, 1)
	require.NoError(t, c.Close())
	waitForQueued(t, l, h, 2)
	close(h.resume)
	h.waitUntil(t, func() bool { return len(h.closed) == 1 })
	assert.Equal(t, []bool{true, true}, h.peerGone)
}

// urgentFrameCodec is for frames that are handled before others.
type urgentFrameCodec struct{ frameCodec }

func (urgentFrameCodec) Urgent() {}

// orderHandler dials a peer whose frames are urgent, and notes the keys of requests in the order in which it gets them.
type orderHandler struct {
	*blockingHandler
	urgentAddr string
	keys       []uint64
}

func (o *orderHandler) Start(now placement.Millis, n FrameNetwork) {
	o.blockingHandler.Start(now, n)
	n.(frameNetwork).DialCodec(o.urgentAddr, urgentFrameCodec{frameCodec{1000}}, 20000)
}

func (o *orderHandler) Received(_ placement.Millis, _ ConnID, f *pb.Frame) {
	o.mu.Lock()
	o.keys = append(o.keys, f.GetPlaceRequest().Key)
	o.mu.Unlock()
	o.block()
}

// acceptOne accepts the connection of a handler that dials the listener.
func acceptOne(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	c, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // the handler's loop has closed its side
	return c
}

// It guards against discovery events that are sent in time and handled behind a second's work.
func TestLoop_UrgentMessagesAreHandledBeforeAFullQueue(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, ln.Close()) })
	o := &orderHandler{urgentAddr: ln.Addr().String(), blockingHandler: newBlockingHandler()}
	l, addr := start(t, o, Limits{MaxFrameSize: 1000, MaxWriteBuffer: 1 << 20, MaxConnections: 10, MaxQueuedEvents: 2})
	urgent := acceptOne(t, ln)
	o.waitUntil(t, func() bool { return o.opened == 1 })
	withKey := func(key uint64) *pb.Frame {
		f := sampleRequest()
		f.GetPlaceRequest().Key = key
		return f
	}
	c := dial(t, addr)
	write(t, c, withKey(1))
	<-o.busy
	for key := range uint64(5) {
		write(t, c, withKey(2+key))
	}
	waitForQueued(t, l, o, 3)
	write(t, urgent, withKey(100))
	require.Eventually(t, l.worker(o).queue.hasUrgent.Load, eventually, time.Millisecond)
	close(o.resume)
	o.waitUntil(t, func() bool { return len(o.keys) == 7 })
	assert.Equal(t, []uint64{1, 100, 2, 3, 4, 5, 6}, o.keys)
}

// stepHandler answers each request, reports it and then blocks until the next step.
type stepHandler struct {
	echoHandler
	seen, step chan struct{}
}

func (s *stepHandler) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	s.echoHandler.Received(now, c, f)
	s.seen <- struct{}{}
	<-s.step
}

// A busy handler's answers leave in between: an answer must not wait for all requests that came with its own.
func TestLoop_AnswerLeavesBeforeALongBatchIsDone(t *testing.T) {
	h := &stepHandler{seen: make(chan struct{}), step: make(chan struct{})}
	l, addr := start(t, h, DefaultLimits)
	c := dial(t, addr)
	request := sampleRequest()
	request.GetPlaceRequest().Key = 1 // one answer each
	write(t, c, request)
	<-h.seen
	write(t, c, request)
	write(t, c, request)
	waitForQueued(t, l, h, 2)
	h.step <- struct{}{}
	_, err := read(c)
	require.NoError(t, err)
	<-h.seen
	time.Sleep(2 * duration(maxTurn))
	h.step <- struct{}{}
	<-h.seen // the third request is handled in the batch of the second
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = read(c)
	assert.NoError(t, err, "the second answer leaves before the third request is done with")
	h.step <- struct{}{}
}
