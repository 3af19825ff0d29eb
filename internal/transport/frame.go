package transport

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	pb "grebeglade/proto/grebeglade/v1"
)

// lengthPrefixSize is the size in bytes of the big-endian body length in front of each frame.
const lengthPrefixSize = 4

// AppendFrame appends the encoded frame with its length prefix to b. On error it returns b unchanged.
func AppendFrame(b []byte, f *pb.Frame) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, f)
	if err != nil {
		return b[:start], fmt.Errorf("encode frame: %w", err)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthPrefixSize))
	return b, nil
}

// SplitFrame returns the body of the first frame in b and the bytes after it, or nil and b if the frame is incomplete.
// A length above maxSize is an error, after which the rest of the stream cannot be decoded.
func SplitFrame(b []byte, maxSize int) (body, rest []byte, err error) {
	if len(b) < lengthPrefixSize {
		return nil, b, nil
	}
	size, err := frameSize(b, maxSize)
	if err != nil {
		return nil, b, err
	}
	if len(b)-lengthPrefixSize < size {
		return nil, b, nil
	}
	return b[lengthPrefixSize : lengthPrefixSize+size], b[lengthPrefixSize+size:], nil
}

// ReadFrame reads the next frame of a stream, and blocks until it is complete. A length above maxSize is an error. The
// error matches io.EOF if the stream ends between two frames, or between a length prefix and its body.
func ReadFrame(r io.Reader, maxSize int) (*pb.Frame, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	size, err := frameSize(prefix[:], maxSize)
	if err != nil {
		return nil, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("frame body truncated: %w", err)
	}
	return DecodeFrame(body)
}

// frameSize decodes a length prefix. A length above maxSize is an error.
func frameSize(prefix []byte, maxSize int) (int, error) {
	size := binary.BigEndian.Uint32(prefix)
	if uint64(size) > uint64(maxSize) {
		return 0, fmt.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, maxSize)
	}
	return int(size), nil
}

// DecodeFrame decodes the body of a frame. A frame without a Body is an error: its kind was added by a later protocol
// version, or it is not a frame.
func DecodeFrame(body []byte) (*pb.Frame, error) {
	f := &pb.Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("malformed frame: %w", err)
	}
	if f.Body == nil {
		return nil, fmt.Errorf(
			"frame of %d bytes has no body that protocol version %d.%d defines", len(body), pb.Major, pb.Minor,
		)
	}
	return f, nil
}
