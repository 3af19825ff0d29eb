package transport

import (
	"fmt"

	pb "grebeglade/proto/grebeglade/v1"
)

// Codec encodes and decodes the messages of one connection. An event loop calls Decode and the worker calls Append, at the
// same time, so the two must share nothing that changes.
type Codec interface {
	// Decode reads the first message of b and returns it with the number of bytes that it took, or 0 while the message is
	// incomplete. It may take bytes and return no message. After an error the connection ends.
	Decode(b []byte) (m any, n int, err error)
	// Append adds an encoded message to b.
	Append(b []byte, m any) ([]byte, error)
}

// Urgent marks a Codec of dialled connections whose messages are handled before all others that wait for the handler, and
// are read even while its queue is full.
type Urgent interface{ Urgent() }

// frameCodec is the Codec of the project's own protocol: frames up to a size in bytes.
type frameCodec struct{ maxSize int }

func (f frameCodec) Decode(b []byte) (any, int, error) {
	body, _, err := SplitFrame(b, f.maxSize)
	if err != nil || body == nil {
		return nil, 0, err
	}
	frame, err := DecodeFrame(body)
	if err != nil {
		return nil, 0, err
	}
	return frame, headSize + len(body), nil
}

func (f frameCodec) Append(b []byte, m any) ([]byte, error) {
	frame, ok := m.(*pb.Frame)
	if !ok {
		return b, fmt.Errorf("%T is no frame", m)
	}
	return AppendFrame(b, frame)
}
