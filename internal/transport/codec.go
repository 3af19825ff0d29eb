package transport

import (
	"fmt"

	pb "grebeglade/proto/grebeglade/v1"
)

// Codec encodes and decodes the messages of one connection. The event loop calls Decode and the worker calls Append,
// possibly at the same time, so the two must not share mutable state.
type Codec interface {
	// Decode returns the first message in b and the number of bytes consumed, which is 0 if the message is incomplete.
	// It may consume bytes and return no message. An error closes the connection.
	Decode(b []byte) (message any, consumed int, err error)
	// Append appends the encoded message to b.
	Append(b []byte, message any) ([]byte, error)
}

// Urgent marks a Codec whose dialed connections have priority: their messages are handled before all other queued
// events of the handler, and are read even while its event queue is full.
type Urgent interface{ Urgent() }

// frameCodec is the Codec of the project's own protocol, with frame bodies of at most maxSize bytes.
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
	return frame, lengthPrefixSize + len(body), nil
}

func (f frameCodec) Append(b []byte, message any) ([]byte, error) {
	frame, ok := message.(*pb.Frame)
	if !ok {
		return b, fmt.Errorf("encode %T: expected *pb.Frame", message)
	}
	return AppendFrame(b, frame)
}
