package transport

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// lineCodec decodes lines of requests whose bytes it consumes before the line is complete.
type lineCodec struct {
	frameCodec
	pending *int // bytes of the incomplete line
}

func (l lineCodec) Decode(b []byte) (any, int, error) {
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		*l.pending = 0
		return sampleRequest(), end + 1, nil
	}
	*l.pending += len(b)
	return nil, len(b), nil
}

func (l lineCodec) Assembling() bool { return *l.pending > 0 }

// Guards against a codec that consumes bytes before the message is complete: each read counted as a complete message,
// so that one that drips was never cut off.
func TestLoop_AssembledMessageDrips_CutOff(t *testing.T) {
	limits := DefaultLimits
	limits.MessageTimeout = piecesTimeout
	echo := &echoHandler{}
	loop := NewLoop(nil)
	codec := frameCodec{limits.MaxFrameSize}
	addr, err := loop.Listen(frameHandler{echo, codec}, func() Codec { return lineCodec{codec, new(int)} },
		"127.0.0.1:0", limits)
	require.NoError(t, err)
	loop.Run()
	t.Cleanup(loop.Close)
	idle, dripping := dial(t, addr), dial(t, addr)
	_, err = idle.Write([]byte("a request\n"))
	require.NoError(t, err)
	go func() { _ = writePieces(dripping, make([]byte, progressSize), 1, 5) }() // fails once the connection is closed
	require.ErrorIs(t, echo.closeReasons(t, 1)[0], ErrMessageTimeout)
	requireAnswers(t, idle, int(sampleRequest().GetPlaceRequest().GetKey()))
}
