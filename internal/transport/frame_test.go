package transport

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "grebeglade/proto/grebeglade/v1"
)

// sampleRequest returns a request that an echoHandler answers eight times.
func sampleRequest() *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId:        7,
		Key:              8,
		Group:            "serve",
		Cores:            1.5,
		PendingTimeoutMs: 6000,
	}}}
}

func TestSplitFrame_CutAnywhereIsIncomplete(t *testing.T) {
	complete, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	for n := range complete {
		body, rest, err := SplitFrame(complete[:n], 1000)
		require.NoError(t, err)
		assert.Nil(t, body)
		assert.Len(t, rest, n)
	}
	body, rest, err := SplitFrame(append(complete, 1, 2), 1000)
	require.NoError(t, err)
	assert.Equal(t, []byte{1, 2}, rest)
	f, err := DecodeFrame(body)
	require.NoError(t, err)
	assert.True(t, proto.Equal(sampleRequest(), f))
	for n := range body {
		_, err := DecodeFrame(body[:n]) // must not panic; a truncated body may decode as another frame
		if n == 0 {
			assert.Error(t, err)
		}
	}
}

func TestDecodeFrame_UnknownFieldIsIgnoredAndUnknownFrameRejected(t *testing.T) {
	body, err := proto.Marshal(sampleRequest())
	require.NoError(t, err)
	later := slices.Concat(body, []byte{0xba, 0x3e, 1, 0}) // field 999, as a later minor version may add
	f, err := DecodeFrame(later)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), f.GetPlaceRequest().RequestId)
	_, err = DecodeFrame(later[len(body):])
	assert.ErrorContains(t, err, "has no body that protocol version 1.1 defines")
}

func TestReadFrame_StreamOfFrames(t *testing.T) {
	complete, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	r := bytes.NewReader(slices.Concat(complete, complete[:len(complete)-1]))
	f, err := ReadFrame(r, 1000)
	require.NoError(t, err)
	assert.True(t, proto.Equal(sampleRequest(), f))
	_, err = ReadFrame(r, 1000)
	require.EqualError(t, err, "frame body truncated: unexpected EOF")
	_, err = ReadFrame(bytes.NewReader(complete), 10)
	require.ErrorContains(t, err, "exceeds the limit of 10 bytes")
}

func FuzzFrames(f *testing.F) {
	complete, err := AppendFrame(nil, sampleRequest())
	require.NoError(f, err)
	f.Add(complete)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		const maxSize = 1 << 12
		for {
			body, rest, err := SplitFrame(b, maxSize)
			if err != nil || body == nil {
				return
			}
			assert.LessOrEqual(t, len(body), maxSize)
			assert.Equal(t, len(b), lengthPrefixSize+len(body)+len(rest))
			if frame, err := DecodeFrame(body); err == nil {
				again, err := AppendFrame(nil, frame)
				require.NoError(t, err)
				assert.NotEmpty(t, again)
			}
			b = rest
		}
	})
}
