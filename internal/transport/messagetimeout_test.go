package transport

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// blockingKey is the key of a request that a blockingCodec blocks on.
const blockingKey = 99

// blockingCodec is a frameCodec that blocks its event loop when it decodes the first request with blockingKey, until
// resume is closed.
type blockingCodec struct {
	frameCodec
	blocked chan struct{} // closed once it blocks
	resume  chan struct{}
	once    *sync.Once
}

func (b blockingCodec) Decode(bytes []byte) (any, int, error) {
	message, n, err := b.frameCodec.Decode(bytes)
	if frame, ok := message.(*pb.Frame); ok && frame.GetPlaceRequest().GetKey() == blockingKey {
		b.once.Do(func() {
			close(b.blocked)
			<-b.resume
		})
	}
	return message, n, err
}

// Guards against a message timeout that counts the time for which the event loop itself is blocked: it closed the
// connection of a peer whose message had long arrived.
func TestLoop_EventLoopBlockedDuringAMessage_ConnectionStaysOpen(t *testing.T) {
	limits := DefaultLimits
	limits.MessageTimeout = 50
	codec := blockingCodec{
		frameCodec: frameCodec{limits.MaxFrameSize},
		blocked:    make(chan struct{}),
		resume:     make(chan struct{}),
		once:       &sync.Once{},
	}
	echo := &echoHandler{}
	loop := NewLoop(nil)
	handler := frameHandler{echo, codec.frameCodec}
	addr, err := loop.Listen(handler, func() Codec { return codec }, "127.0.0.1:0", limits)
	require.NoError(t, err)
	loop.Run()
	t.Cleanup(loop.Close)

	request, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	peer := dial(t, addr)
	write(t, peer, sampleRequest())
	requireAnswers(t, peer, int(sampleRequest().GetPlaceRequest().GetKey()))
	_, err = peer.Write(request[:5])
	require.NoError(t, err)
	time.Sleep(5 * time.Millisecond) // time to read the first part
	write(t, dial(t, addr), requestWithKey(blockingKey))
	<-codec.blocked
	_, err = peer.Write(request[5:])
	require.NoError(t, err)
	time.Sleep(4 * duration(limits.MessageTimeout))
	close(codec.resume)
	requireAnswers(t, peer, int(sampleRequest().GetPlaceRequest().GetKey()))
	write(t, peer, sampleRequest())
	requireAnswers(t, peer, int(sampleRequest().GetPlaceRequest().GetKey()))
	echo.closeReasons(t, 0)
	assert.Zero(t, loop.Stats.SlowPeers.Load())
}

// piecesTimeout is the MessageTimeout of the tests that send a message in pieces.
const piecesTimeout = placement.Millis(200)

// startPieces starts an echoHandler with piecesTimeout, and returns a connection to it and an encoded request of over
// 60,000 bytes.
func startPieces(t *testing.T) (echo *echoHandler, peer net.Conn, request []byte) {
	t.Helper()
	limits := DefaultLimits
	limits.MessageTimeout = piecesTimeout
	_, echo, addr := startEcho(t, limits)
	request, err := AppendFrame(nil, floodRequest(1))
	require.NoError(t, err)
	return echo, dial(t, addr), request
}

// writePieces writes a message in pieces, with a pause after each.
func writePieces(peer net.Conn, message []byte, size int, pause placement.Millis) error {
	for piece := range slices.Chunk(message, size) {
		if _, err := peer.Write(piece); err != nil {
			return err
		}
		time.Sleep(duration(pause))
	}
	return nil
}

// Guards against a message timeout that counts whole messages: it cut off a long message whose bytes kept arriving, as
// often as its peer sent it.
func TestLoop_MessageKeepsArriving_TakenWhateverItTakes(t *testing.T) {
	for name, pieces := range map[string]struct {
		size  int
		pause placement.Millis
	}{
		"evenly":                   {size: 4 * progressSize, pause: piecesTimeout / 4},
		"in bursts over a timeout": {size: 30 * progressSize, pause: piecesTimeout + piecesTimeout/4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			echo, peer, request := startPieces(t)
			began := time.Now()
			require.NoError(t, writePieces(peer, request, pieces.size, pieces.pause))
			require.Greater(t, time.Since(began), 2*duration(piecesTimeout))
			f, err := read(peer)
			require.NoError(t, err)
			assert.Equal(t, uint64(7), f.GetAnswer().RequestId)
			echo.closeReasons(t, 0)
		})
	}
}

// Guards against peers that hold a connection with a message that they send byte by byte, or have stopped to send after
// a large part of it.
func TestLoop_MessageDripsOrStops_CutOffSoon(t *testing.T) {
	for name, sent := range map[string]struct {
		atOnce int // bytes that the peer sends before it begins to drip
		drips  bool
	}{
		"drips from the start":     {drips: true},
		"drips after a large part": {atOnce: 50 * progressSize, drips: true},
		"stops after a large part": {atOnce: 50 * progressSize},
	} {
		t.Run(name, func(t *testing.T) {
			echo, peer, request := startPieces(t)
			_, err := peer.Write(request[:sent.atOnce])
			require.NoError(t, err)
			began := time.Now()
			if sent.drips {
				go func() { _ = writePieces(peer, request[sent.atOnce:], 1, 5) }() // fails once the connection is closed
			}
			require.ErrorIs(t, echo.closeReasons(t, 1)[0], ErrMessageTimeout)
			took := time.Since(began)
			assert.Greater(t, took, duration(piecesTimeout)/2)
			assert.Less(t, took, 10*duration(piecesTimeout), "2 timeouts, and time that a busy machine takes")
		})
	}
}

// Guards the bounds of the deadline from both sides: 1,024 bytes extend it by one timeout, fewer do not. It is at most
// two timeouts after the last bytes.
func TestInbound_Deadline(t *testing.T) {
	const timeout = placement.Millis(1000)
	var message inbound
	message.begin(10_000, timeout)
	for _, step := range []struct {
		at    placement.Millis
		bytes int
		want  placement.Millis
	}{
		{at: 10_000, bytes: 1023, want: 11_000},
		{at: 10_900, bytes: 1, want: 12_000},
		{at: 11_000, bytes: 500, want: 12_000},
		{at: 11_100, bytes: 524, want: 13_000},
		{at: 11_200, bytes: 1024, want: 13_200},
		{at: 11_300, bytes: 50 * 1024, want: 13_300},
		{at: 13_200, bytes: 1023, want: 13_300},
		{at: 13_250, bytes: 1, want: 14_300},
		{at: 20_000, bytes: 2048, want: 16_300}, // read late: the bytes count as if they had arrived in time
	} {
		message.progress(step.at, step.bytes, timeout)
		assert.InDelta(t, float64(step.want), float64(message.deadline), 0, "%v bytes at %v", step.bytes, step.at)
	}
}

// keepingHandler is an echoHandler that keeps connections with a stalled message open while keep is true.
type keepingHandler struct {
	*echoHandler
	keep  *atomic.Bool
	asked chan ConnID
}

func (k keepingHandler) KeepStalled(c ConnID) bool {
	select {
	case k.asked <- c:
	default:
	}
	return k.keep.Load()
}

// Guards both decisions on a connection whose message has stalled: one that is kept receives the rest of the message
// and what follows, and one that is not kept any more is closed.
func TestLoop_StalledMessage_KeptWhileTheHandlerWantsTo(t *testing.T) {
	limits := DefaultLimits
	limits.MessageTimeout = 50
	keeping := keepingHandler{&echoHandler{}, &atomic.Bool{}, make(chan ConnID)}
	keeping.keep.Store(true)
	_, addr := start(t, keeping, limits)
	request, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	peer := dial(t, addr)
	_, err = peer.Write(request[:5])
	require.NoError(t, err)
	for range 3 {
		keeping.waitAsked(t)
	}
	_, err = peer.Write(append(request[5:], request...))
	require.NoError(t, err)
	assertSampleAnswer(t, peer)
	assertSampleAnswer(t, peer)
	keeping.closeReasons(t, 0)
	_, err = peer.Write(request[:5])
	require.NoError(t, err)
	keeping.waitAsked(t)
	keeping.keep.Store(false)
	require.ErrorIs(t, keeping.closeReasons(t, 1)[0], ErrMessageTimeout)
}

// Guards against requests that are not answered since something behind them on their connection cannot be decoded, and
// against a connection for good whose peer goes on sending.
func TestLoop_InputCannotBeDecoded_KeptWhileTheHandlerWantsTo(t *testing.T) {
	limits := DefaultLimits
	limits.MessageTimeout = 50
	keeping := keepingHandler{&echoHandler{}, &atomic.Bool{}, make(chan ConnID)}
	keeping.keep.Store(true)
	_, addr := start(t, keeping, limits)
	request, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	malformed := []byte{0xff, 0xff, 0xff, 0xff}
	peer := dial(t, addr)
	_, err = peer.Write(slices.Concat(request, malformed, request))
	require.NoError(t, err)
	assertSampleAnswer(t, peer)
	for range 3 {
		keeping.waitAsked(t)
	}
	keeping.closeReasons(t, 0)
	keeping.keep.Store(false)
	require.ErrorIs(t, keeping.closeReasons(t, 1)[0], ErrMalformedMessage)
	assert.Equal(t, 1, keeping.requests, "what follows is discarded")

	keeping.keep.Store(true)
	sender := dial(t, addr)
	_, err = sender.Write(malformed)
	for piece := make([]byte, 1<<20); err == nil; {
		_, err = sender.Write(piece)
	}
	require.ErrorIs(t, keeping.closeReasons(t, 2)[1], errInputNotEnded)
}

// waitAsked waits until KeepStalled is called.
func (k keepingHandler) waitAsked(t *testing.T) {
	t.Helper()
	select {
	case <-k.asked:
	case <-time.After(eventTimeout):
		require.FailNow(t, "KeepStalled was not called")
	}
}
