package transport

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

// requireAnswers reads the given number of frames from a peer.
func requireAnswers(t *testing.T, peer net.Conn, answers int) {
	t.Helper()
	buffered := bufio.NewReader(peer)
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(eventTimeout)))
	for i := range answers {
		_, err := read(buffered)
		require.NoError(t, err, "answer %d of %d", i, answers)
	}
}

// Guards against counting bytes that the event loop has not yet offered to the socket as bytes that the peer does not
// read: answers of one batch closed the connection of a client that read at full speed, and its requests were lost.
func TestLoop_BatchOfAnswersExceedsTheWriteBuffer_PeerThatReadsGetsAll(t *testing.T) {
	limits := DefaultLimits
	limits.MaxWriteBuffer = 64 << 10
	loop, echo, addr := startEcho(t, limits)
	for _, answers := range []uint64{10, 100} { // 600 kB, 6 MB
		peer := dial(t, addr)
		write(t, peer, floodRequest(answers))
		requireAnswers(t, peer, int(answers))
	}
	echo.closeReasons(t, 0)
	assert.Zero(t, loop.Stats.SlowPeers.Load())
}

// A peer that pauses for less than SlowPeerTimeout is not slow, however many bytes wait for it meanwhile.
func TestLoop_PeerPausesBeforeItReads_GetsAll(t *testing.T) {
	limits := DefaultLimits
	limits.MaxWriteBuffer = 64 << 10
	limits.MaxTotalWriteBuffer = 64 << 20
	loop, echo, addr := startEcho(t, limits)
	peer := dial(t, addr)
	write(t, peer, floodRequest(300)) // 18 MB, more than the buffers of the operating system hold
	require.Eventually(t, func() bool {
		return loop.Stats.PeakWriteBacklog.Load() > int64(limits.MaxWriteBuffer)
	}, eventTimeout, time.Millisecond, "the answers do not exceed the limit")
	time.Sleep(3 * duration(backlogCheckInterval)) // the pause, in which the backlog is checked
	requireAnswers(t, peer, 300)
	echo.closeReasons(t, 0)
}

// Guards against a peer that reads a few bytes now and then, so that its backlog makes progress for ever.
func TestLoop_PeerReadsAFewBytesAtATime_IsDisconnected(t *testing.T) {
	limits := DefaultLimits
	limits.MaxWriteBuffer = 64 << 10
	limits.MaxTotalWriteBuffer = 64 << 20
	limits.SlowPeerTimeout = 300
	_, echo, addr := startEcho(t, limits)
	peer := dial(t, addr)
	write(t, peer, floodRequest(300))
	go func() {
		for {
			if _, err := peer.Read(make([]byte, 100)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	require.ErrorIs(t, echo.closeReasons(t, 1)[0], ErrSlowPeer)
}

// Guards against many peers that do not read: the bytes that wait for all of them are bounded together, and peers that
// read are served meanwhile.
func TestLoop_ManyPeersDoNotRead_TotalIsBoundedAndOthersAreServed(t *testing.T) {
	const peers = 10
	limits := DefaultLimits
	limits.MaxWriteBuffer = 32 << 20
	limits.MaxTotalWriteBuffer = 4 << 20
	_, echo, addr := startEcho(t, limits)
	for range peers {
		write(t, dial(t, addr), floodRequest(300)) // 18 MB each, less than MaxWriteBuffer
	}
	healthy := dial(t, addr)
	write(t, healthy, floodRequest(20))
	requireAnswers(t, healthy, 20)
	for _, reason := range echo.closeReasons(t, peers) {
		require.EqualError(t, reason, "peer reads too slowly: write buffers of all peers exceed 4194304 bytes")
	}
	write(t, healthy, floodRequest(20))
	requireAnswers(t, healthy, 20)
}

// bufferSocket is a socket with a settable number of waiting bytes, which the peer reads only when it is offered them
// again if readsWhenFlushed is set.
type bufferSocket struct {
	failingSocket
	waiting          int
	readsWhenFlushed bool
}

func (s *bufferSocket) OutboundBuffered() int { return s.waiting }

func (s *bufferSocket) EventLoop() gnet.EventLoop { return nil }

func (s *bufferSocket) Flush() error {
	if s.readsWhenFlushed {
		s.waiting = 0
	}
	return nil
}

// backlogHarness is a writeBacklog with connections on bufferSockets, and a clock.
type backlogHarness struct {
	*writeBacklog
	now     placement.Millis
	sockets []*bufferSocket
	conns   []*connection
}

func newBacklogHarness(limits Limits, conns int) *backlogHarness {
	w, _ := loggedWorker(limits)
	harness := &backlogHarness{writeBacklog: w.loops.backlog(classIncoming)}
	for range conns {
		socket := &bufferSocket{}
		harness.sockets = append(harness.sockets, socket)
		harness.conns = append(harness.conns, &connection{worker: w, socket: socket, state: stateOpen})
	}
	return harness
}

// wait records that the given number of further bytes wait for connection i.
func (h *backlogHarness) wait(i, bytes int) {
	h.sockets[i].waiting += bytes
	h.written(h.now, h.conns[i], bytes)
}

// checkAfter advances the clock by a time in ms and runs a check.
func (h *backlogHarness) checkAfter(delay placement.Millis) {
	h.now += delay
	h.check(h.now)
}

// isSlow reports whether connection i was closed as that of a slow peer.
func (h *backlogHarness) isSlow(i int) bool { return h.conns[i].shared.closeReason.Load() != nil }

func TestWriteBacklog_ClosesAboveMaxWriteBufferAfterTheTimeout(t *testing.T) {
	limits := Limits{MaxWriteBuffer: 100, MaxTotalWriteBuffer: 10000, SlowPeerTimeout: 1000}
	harness := newBacklogHarness(limits, 2)
	harness.wait(0, 100)
	harness.wait(1, 101)
	harness.checkAfter(900)
	assert.False(t, harness.isSlow(1), "before the timeout")
	harness.checkAfter(100)
	assert.False(t, harness.isSlow(0), "at the limit")
	assert.True(t, harness.isSlow(1), "above the limit")
	assert.Equal(t, 100, harness.total, "the bytes of the closed connection no longer count")
}

// Guards against blaming the peer for an event loop that was blocked and did not write what the peer could have read.
func TestWriteBacklog_EventLoopWasBlocked_PeerIsOfferedTheBytesFirst(t *testing.T) {
	harness := newBacklogHarness(Limits{MaxWriteBuffer: 100, SlowPeerTimeout: 1000}, 1)
	harness.wait(0, 5000)
	harness.sockets[0].readsWhenFlushed = true
	harness.checkAfter(60e3)
	assert.False(t, harness.isSlow(0))
	assert.Zero(t, harness.total)
	assert.Empty(t, harness.writeBacklog.conns)
}

// A peer that reads stays connected although bytes always wait for it: those of earlier checks are always accepted.
func TestWriteBacklog_AlwaysAboveTheLimitButReading_StaysOpen(t *testing.T) {
	harness := newBacklogHarness(Limits{MaxWriteBuffer: 100, SlowPeerTimeout: 1000}, 1)
	for range 20 {
		harness.sockets[0].waiting = 0 // the peer has read all
		harness.wait(0, 500)
		harness.checkAfter(900)
	}
	assert.False(t, harness.isSlow(0))
}

func TestWriteBacklog_TotalExceeded_LongestWaitingIsClosedFirst(t *testing.T) {
	harness := newBacklogHarness(Limits{MaxWriteBuffer: 100, MaxTotalWriteBuffer: 150, SlowPeerTimeout: 60e3}, 3)
	for i := range harness.conns {
		harness.wait(i, 80)
		harness.now++
	}
	harness.checkAfter(minReadTime / 2)
	assert.False(t, harness.isSlow(0), "each peer has minReadTime")
	harness.checkAfter(minReadTime)
	assert.Equal(t, []bool{true, true, false}, []bool{harness.isSlow(0), harness.isSlow(1), harness.isSlow(2)})
	assert.Equal(t, 80, harness.total)
}
