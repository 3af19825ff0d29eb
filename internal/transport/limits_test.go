package transport

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallLimits allows ten connections, and frames that are large enough for a sampleRequest.
var smallLimits = Limits{
	MaxFrameSize:   1000,
	MaxWriteBuffer: 1 << 20,
	MaxConnections: 10,
}

// Guards against a malformed frame that closes the connections of other peers.
func TestLoop_MalformedFrameClosesItsConnectionOnly(t *testing.T) {
	loop, echo, addr := startEcho(t, smallLimits)
	good := dial(t, addr)
	malformed := [][]byte{
		{0, 0, 4, 0, 1},          // length of 1024 bytes, above MaxFrameSize
		{0xff, 0xff, 0xff, 0xff}, // length of 4 GiB
		{0, 0, 0, 2, 0xff, 0xff}, // not a protobuf message
		{0, 0, 0, 0},             // empty frame
	}
	for _, bad := range malformed {
		client := dial(t, addr)
		_, err := client.Write(bad)
		require.NoError(t, err)
		_, err = read(client)
		require.Error(t, err, "%v", bad)
	}
	reasons := echo.closeReasons(t, 4)
	require.ErrorContains(t, reasons[0], "exceeds the limit of 1000 bytes")
	for _, reason := range reasons {
		require.ErrorIs(t, reason, ErrMalformedMessage)
	}
	assert.Equal(t, uint64(4), loop.Stats.MalformedMessages.Load())
	write(t, good, sampleRequest())
	assertSampleAnswer(t, good)
}

// Guards against peers that occupy a connection by sending a part of a message only. Idle connections, and a message
// that arrives in two parts before the timeout, are not affected.
func TestLoop_IncompleteMessageClosesItsConnectionAfterTheTimeout(t *testing.T) {
	limits := DefaultLimits
	limits.MessageTimeout = 50
	_, echo, addr := startEcho(t, limits)
	idle := dial(t, addr)
	inTime := dial(t, addr)
	incomplete := dial(t, addr)
	request, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	_, err = inTime.Write(request[:5])
	require.NoError(t, err)
	time.Sleep(5 * time.Millisecond) // time to read the first part separately
	_, err = inTime.Write(request[5:])
	require.NoError(t, err)
	_, err = incomplete.Write([]byte{0, 0})
	require.NoError(t, err)
	reasons := echo.closeReasons(t, 1)
	require.ErrorIs(t, reasons[0], ErrMessageTimeout)
	require.EqualError(t, reasons[0], "message timed out: incomplete 50 ms after its first bytes")
	_, err = read(incomplete)
	require.Error(t, err)
	for _, client := range []net.Conn{idle, inTime} {
		write(t, client, sampleRequest())
		_, err = read(client)
		require.NoError(t, err, "a connection without an incomplete message stays open")
	}
	echo.closeReasons(t, 1)
}

// Guards against a peer that does not read: its answers must not consume unlimited memory or delay other peers.
func TestLoop_PeerThatDoesNotReadIsDisconnectedAndOthersAreServed(t *testing.T) {
	limits := DefaultLimits
	limits.MaxWriteBuffer = 256 << 10
	loop, echo, addr := startEcho(t, limits)
	slow := dial(t, addr)
	healthy := dial(t, addr)
	write(t, slow, floodRequest(300))
	reasons := echo.closeReasons(t, 1)
	require.EqualError(t, reasons[0], "peer reads too slowly: write buffer exceeds 262144 bytes")
	require.ErrorIs(t, reasons[0], ErrSlowPeer)
	assert.NotZero(t, loop.Stats.SlowPeers.Load())
	write(t, healthy, sampleRequest())
	_, err := read(healthy)
	assert.NoError(t, err)
}

func TestLoop_ConnectionAboveTheLimitIsRejectedWithARefusal(t *testing.T) {
	limits := smallLimits
	limits.MaxConnections = 2
	loop, echo, addr := startEcho(t, limits)
	first := dial(t, addr)
	dial(t, addr)
	echo.waitUntil(t, func() bool { return echo.opened == 2 })
	f, err := read(dial(t, addr))
	require.NoError(t, err)
	assert.Contains(t, f.GetRefusal().GetReason(), "2 connections stand")
	assert.Equal(t, uint64(1), loop.Stats.RejectedConnections.Load())
	require.NoError(t, first.Close())
	require.ErrorIs(t, echo.closeReasons(t, 1)[0], ErrClosedByPeer)
	write(t, dial(t, addr), sampleRequest())
	echo.waitUntil(t, func() bool { return echo.requests == 1 })
}

func TestLoop_ConnectionAboveTheLimitIsAcceptedOnceASlotIsFreeWithPauseAcceptAtLimit(t *testing.T) {
	limits := smallLimits
	limits.MaxConnections = 2
	limits.PauseAcceptAtLimit = true
	_, echo, addr := startEcho(t, limits)
	first := dial(t, addr)
	dial(t, addr)
	echo.waitUntil(t, func() bool { return echo.opened == 2 })
	third := dial(t, addr)
	write(t, third, sampleRequest())
	require.NoError(t, first.Close())
	assertSampleAnswer(t, third)
}

// Guards against limits without a message timeout: peers of the project's own protocol could hold any number of
// connections, each with up to a frame of memory, by stopping in the middle of a frame.
func TestLoop_DefaultLimits_StalledFrameClosesItsConnection(t *testing.T) {
	t.Parallel()
	_, echo, addr := startEcho(t, DefaultLimits)
	stalled := dial(t, addr)
	_, err := stalled.Write([]byte{0, 0, 1})
	require.NoError(t, err)
	require.ErrorIs(t, echo.closeReasons(t, 1)[0], ErrMessageTimeout)
}
