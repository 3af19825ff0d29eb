package transport

import (
	"fmt"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Codec is how messages stand in the bytes of one connection. Cut is called by the event loop and Append by the
// party, so the two must share nothing that changes.
type Codec interface {
	// Decode reads the first message of b and says how many bytes it took, or 0 while it is not whole. Bytes may be
	// taken without a message. After an error the connection ends.
	Decode(b []byte) (m any, n int, err error)
	// Append adds a message to b.
	Append(b []byte, m any) ([]byte, error)
}

// Urgent marks a Form of dialled connections: what comes there is handed over ahead of all else that waits for the party,
// and is read on while that is held back.
type Urgent interface{ Urgent() }

// Handler is a Party for messages of any form.
type Handler interface {
	Start(now placement.Millis, w Network)
	Opened(now placement.Millis, c ConnID)
	Received(now placement.Millis, c ConnID, m any)
	Closed(now placement.Millis, c ConnID, reason error)
	Wake(now placement.Millis)
}

// Network is the Net of a Handler.
type Network interface {
	// DialCodec dials for messages of a form; a connection that does not stand in time has failed.
	DialCodec(addr string, f Codec, within placement.Millis) ConnID
	Send(c ConnID, m any)
	Close(c ConnID)
	// IsClosed tells whether a connection is no more, also where the party is yet to be told.
	IsClosed(c ConnID) bool
	WakeAt(t placement.Millis)
	Now() placement.Millis
	// ReceivedAt is when the message that is being handled was read; a busy party handles it later.
	ReceivedAt() placement.Millis
}

// frames is the form of the project's own wire.
type frames struct{ most int }

func (f frames) Decode(b []byte) (any, int, error) {
	body, _, err := SplitFrame(b, f.most)
	if err != nil || body == nil {
		return nil, 0, err
	}
	frame, err := DecodeFrame(body)
	if err != nil {
		return nil, 0, err
	}
	return frame, headSize + len(body), nil
}

func (f frames) Append(b []byte, m any) ([]byte, error) {
	frame, ok := m.(*pb.Frame)
	if !ok {
		return b, fmt.Errorf("%T is no frame", m)
	}
	return AppendFrame(b, frame)
}

// framed is a Party as a Handler.
type framed struct{ FrameHandler }

func (p framed) Start(now placement.Millis, w Network) {
	p.FrameHandler.Start(now, frameNet{w, w.(*actor).limits.MaxFrameSize})
}

func (p framed) Received(now placement.Millis, c ConnID, m any) {
	if f, ok := m.(*pb.Frame); ok {
		p.FrameHandler.Received(now, c, f)
	}
}

// frameNet is a Wire as a Net.
type frameNet struct {
	Network
	most int
}

func (n frameNet) Dial(addr string) ConnID { return n.DialCodec(addr, frames{n.most}, dialWithin) }

func (n frameNet) Send(c ConnID, f *pb.Frame) { n.Network.Send(c, f) }
