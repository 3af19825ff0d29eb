package transport

import (
	"fmt"

	pb "grebeglade/proto/grebeglade/v1"
)

// Codec encodes and decodes the messages of one connection. An event loop calls Decode while the worker calls Append,
// so the two must not share mutable state.
type Codec interface {
	// Decode reads the first message of b and returns it with the number of bytes consumed, or 0 while the message is
	// incomplete. It may consume bytes and return no message. After an error the connection ends.
	Decode(b []byte) (message any, consumed int, err error)
	// Append appends the encoded message to b.
	Append(b []byte, message any) ([]byte, error)
}

// Urgent marks a Codec of dialled connections. Messages of such a connection are handled before all others that are
// queued for the handler, and are read even while the handler's queue is full.
type Urgent interface{ Urgent() }

// frameCodec is the Codec of the project's own protocol: frames of at most maxSize bytes.
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

func (f frameCodec) Append(b []byte, message any) ([]byte, error) {
	frame, ok := message.(*pb.Frame)
	if !ok {
		return b, fmt.Errorf("encode %T: not a frame", message)
	}
	return AppendFrame(b, frame)
}
