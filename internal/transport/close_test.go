package transport

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Requests received before Close are answered, and the answers are written, so that a process that stops on a signal
// drops no request it has read. The test guards against workers that stop before their queue is empty, and event loops
// that stop before the last write. Draining delays Close if the handler has a long queue to handle.
func TestLoop_RequestsReceivedBeforeCloseAreAnswered(t *testing.T) {
	loop, handler, client := startBlocked(t)
	closed := beginClose(loop, handler)
	close(handler.resume)
	for range 2 * sampleRequest().GetPlaceRequest().Key { // number of answers to two requests
		assertSampleAnswer(t, client)
	}
	<-closed
}

// Guards against truncated answers: bytes in the write buffer of an event loop must be written before Close stops it.
func TestLoop_AnswerInTheWriteBufferIsSentBeforeClose(t *testing.T) {
	limits := DefaultLimits
	limits.MaxWriteBuffer = 64 << 20
	loop, echo, addr := startEcho(t, limits)
	client := dial(t, addr)
	require.NoError(t, client.(*net.TCPConn).SetReadBuffer(64<<10))
	write(t, client, floodRequest(100))
	echo.waitUntil(t, func() bool { return echo.requests == 1 })
	closed := beginClose(loop, echo)
	answers := bufio.NewReader(client)
	for i := range 100 {
		_, err := read(answers)
		require.NoError(t, err, "answer %d", i)
	}
	<-closed
}

// IsClosed returns true for a disconnected peer whose Closed event is still queued. The test guards against handlers
// that start work for disconnected peers, which delays clients that are still connected.
func TestLoop_IsClosedReportsDisconnectedPeerBeforeClosedIsHandled(t *testing.T) {
	loop, handler, client := startBlocked(t)
	require.NoError(t, client.Close())
	waitForQueued(t, loop, handler, 2)
	close(handler.resume)
	handler.waitUntil(t, func() bool { return len(handler.closed) == 1 })
	assert.Equal(t, []bool{true, true}, handler.peerClosed)
}
