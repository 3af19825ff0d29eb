package transport

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallLimits allow ten connections, and frames in which a sampleRequest fits.
var smallLimits = Limits{
	MaxFrameSize:   1000,
	MaxWriteBuffer: 1 << 20,
	MaxConnections: 10,
}

func TestLoop_MalformedFrameEndsItsConnectionOnly(t *testing.T) {
	loop, echo, addr := startEcho(t, smallLimits)
	good := dial(t, addr)
	malformed := [][]byte{
		{0, 0, 4, 0, 1},          // 1024 bytes, over MaxFrameSize
		{0xff, 0xff, 0xff, 0xff}, // 4 GiB
		{0, 0, 0, 2, 0xff, 0xff}, // not a protobuf message
		{0, 0, 0, 0},             // an empty frame
	}
	for _, bad := range malformed {
		client := dial(t, addr)
		_, err := client.Write(bad)
		require.NoError(t, err)
		_, err = read(client)
		require.Error(t, err, "%v", bad)
	}
	reasons := echo.closeReasons(t, 4)
	require.ErrorContains(t, reasons[0], "over the limit of 1000")
	for _, reason := range reasons {
		require.ErrorIs(t, reason, ErrMalformedMessage)
	}
	assert.Equal(t, uint64(4), loop.Stats.MalformedMessages.Load())
	write(t, good, sampleRequest())
	assertSampleAnswer(t, good)
}

func TestLoop_IncompleteMessageEndsItsConnectionAfterTheTimeout(t *testing.T) {
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
	time.Sleep(5 * time.Millisecond) // so that the beginning is read alone
	_, err = inTime.Write(request[5:])
	require.NoError(t, err)
	_, err = incomplete.Write([]byte{0, 0})
	require.NoError(t, err)
	reasons := echo.closeReasons(t, 1)
	require.ErrorIs(t, reasons[0], ErrMessageTimeout)
	require.EqualError(t, reasons[0], "message not complete after 50 ms")
	_, err = read(incomplete)
	require.Error(t, err)
	for _, client := range []net.Conn{idle, inTime} {
		write(t, client, sampleRequest())
		_, err = read(client)
		require.NoError(t, err, "a connection without an incomplete message stays open")
	}
	echo.closeReasons(t, 1)
}

func TestLoop_PeerThatDoesNotReadIsDisconnectedAndOthersServed(t *testing.T) {
	limits := DefaultLimits
	limits.MaxWriteBuffer = 256 << 10
	loop, echo, addr := startEcho(t, limits)
	slow := dial(t, addr)
	quick := dial(t, addr)
	write(t, slow, floodRequest(300))
	reasons := echo.closeReasons(t, 1)
	require.EqualError(t, reasons[0], "peer does not read: over 262144 bytes wait to be written")
	require.ErrorIs(t, reasons[0], ErrSlowPeer)
	assert.NotZero(t, loop.Stats.SlowPeers.Load())
	write(t, quick, sampleRequest())
	_, err := read(quick)
	assert.NoError(t, err)
}

func TestLoop_ConnectionOverTheLimitIsRejectedWithTheReason(t *testing.T) {
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

func TestLoop_ConnectionOverTheLimitWaitsForASlotWhereAcceptPauses(t *testing.T) {
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
