package transport

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What was received before a loop closes is answered, and the answer is written: a process that ends on a signal loses
// no request that it has read. The test guards against workers that end before their queue is empty and event loops
// that end before the last write. Draining could do harm if a handler has far more to do than closing may take.
func TestLoop_RequestsReceivedBeforeCloseAreAnswered(t *testing.T) {
	loop, handler, client := startBlocked(t)
	closed := beginClose(loop, handler)
	close(handler.resume)
	for range 2 * sampleRequest().GetPlaceRequest().Key { // the number of answers to two requests
		assertSampleAnswer(t, client)
	}
	<-closed
}

// An answer of which the peer has read only the beginning when the loop closes is still completed.
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

// A handler can tell that the peer of a message has disconnected, so that it begins no work for the peer. The test
// guards against such work delaying clients that still wait.
func TestLoop_PeerThatHasGoneIsKnownBeforeClosedIsHandled(t *testing.T) {
	loop, handler, client := startBlocked(t)
	require.NoError(t, client.Close())
	waitForQueued(t, loop, handler, 2)
	close(handler.resume)
	handler.waitUntil(t, func() bool { return len(handler.closed) == 1 })
	assert.Equal(t, []bool{true, true}, handler.peerGone)
}
