package transport

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
