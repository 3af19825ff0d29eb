package transport

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	pb "grebeglade/proto/grebeglade/v1"
)

// headSize is the size of the length in front of each frame: four bytes, big-endian.
const headSize = 4

// AppendFrame appends a frame with its length to b. On error it returns b without the frame.
func AppendFrame(b []byte, f *pb.Frame) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, f)
	if err != nil {
		return b[:start], fmt.Errorf("encode frame: %w", err)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-headSize))
	return b, nil
}

// SplitFrame returns the body of the first frame of b and what follows it, or nil and b while the frame is incomplete.
// A length over maxSize is an error, after which the rest of the stream cannot be decoded.
func SplitFrame(b []byte, maxSize int) (body, rest []byte, err error) {
	if len(b) < headSize {
		return nil, b, nil
	}
	size, err := frameSize(b, maxSize)
	if err != nil {
		return nil, b, err
	}
	if len(b)-headSize < size {
		return nil, b, nil
	}
	return b[headSize : headSize+size], b[headSize+size:], nil
}

// ReadFrame reads the next frame of a stream, and blocks until it is complete. A length over maxSize is an error. The
// error matches io.EOF if the stream ends between two frames.
func ReadFrame(r io.Reader, maxSize int) (*pb.Frame, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	size, err := frameSize(head[:], maxSize)
	if err != nil {
		return nil, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("frame cut short: %w", err)
	}
	return DecodeFrame(body)
}

// frameSize decodes the length in front of a frame.
func frameSize(head []byte, maxSize int) (int, error) {
	size := binary.BigEndian.Uint32(head)
	if uint64(size) > uint64(maxSize) {
		return 0, fmt.Errorf("frame of %d bytes is over the limit of %d", size, maxSize)
	}
	return int(size), nil
}

// DecodeFrame decodes the body of a frame. A frame without any known content is an error: either its protocol version
// is later than the one agreed on, or it is not a frame.
func DecodeFrame(body []byte) (*pb.Frame, error) {
	f := &pb.Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("malformed frame: %w", err)
	}
	if f.Body == nil {
		return nil, fmt.Errorf(
			"frame of %d bytes holds nothing that version %d.%d knows", len(body), pb.Major, pb.Minor,
		)
	}
	return f, nil
}
