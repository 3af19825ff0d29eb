// Package transport carries frames between the parties of a cluster: allocators, nodes, owners, the machine list.
//
// A Party is a state machine behind any number of connections, and Net is all that it can do to the world.
// Both are the same on real sockets (Loop, on gnet's event loops) and in virtual time (package simulation). A party
// is called from one goroutine at a time. Times are milliseconds on a clock that never steps back.
package transport

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// ConnID names a connection of one party; it is never used again.
type ConnID uint64

// FrameHandler is one side of its connections.
type FrameHandler interface {
	// Start is called once, first, with the net that the party acts on.
	Start(now placement.Millis, net FrameNetwork)
	// Opened tells that a connection stands: one that was dialled, or one that came in.
	Opened(now placement.Millis, c ConnID)
	// Received hands over a frame, in the order in which the peer sent them.
	Received(now placement.Millis, c ConnID, f *pb.Frame)
	// Closed tells that a connection is no more, or that dialling failed. It does not follow the party's Close.
	Closed(now placement.Millis, c ConnID, reason error)
	// Wake is called once a time given to WakeAt has come.
	Wake(now placement.Millis)
}

// FrameNetwork is what a party can do. None of its methods calls the party back before it returns.
type FrameNetwork interface {
	Dial(addr string) ConnID
	// Send hands over a frame, which must not be changed any more. On a connection that is no more it is lost.
	Send(c ConnID, f *pb.Frame)
	// Close ends a connection once what was sent is on its way.
	Close(c ConnID)
	// WakeAt sets the party's one wake-up; another call replaces it.
	WakeAt(t placement.Millis)
	// Now is the time of what is being handled.
	Now() placement.Millis
}

// headSize is the length in front of each frame: four bytes, big-endian.
const headSize = 4

// AppendFrame adds a frame with its length to b.
func AppendFrame(b []byte, f *pb.Frame) ([]byte, error) {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, f)
	if err != nil {
		return b[:at], fmt.Errorf("encode frame: %w", err)
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-headSize))
	return b, nil
}

// SplitFrame returns the first frame's bytes and what follows them, or nil and b while the frame is not complete.
// A length over most is an error: nothing that follows it can be trusted.
func SplitFrame(b []byte, most int) (body, rest []byte, err error) {
	if len(b) < headSize {
		return nil, b, nil
	}
	n := binary.BigEndian.Uint32(b)
	if uint64(n) > uint64(most) {
		return nil, b, fmt.Errorf("frame of %d bytes is over the limit of %d", n, most)
	}
	if len(b)-headSize < int(n) {
		return nil, b, nil
	}
	return b[headSize : headSize+int(n)], b[headSize+int(n):], nil
}

// ReadFrame takes the next frame from a stream, and waits for it. A length over most is an error.
func ReadFrame(r io.Reader, most int) (*pb.Frame, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if uint64(n) > uint64(most) {
		return nil, fmt.Errorf("frame of %d bytes is over the limit of %d", n, most)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("frame cut short: %w", err)
	}
	return DecodeFrame(body)
}

// DecodeFrame reads a frame's body. A frame without any known content is an error: it is of a later version than
// was agreed on, or no frame at all.
func DecodeFrame(body []byte) (*pb.Frame, error) {
	f := &pb.Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("malformed frame: %w", err)
	}
	if f.Body == nil {
		return nil, fmt.Errorf("frame of %d bytes holds nothing that version %d.%d knows", len(body), pb.Major, pb.Minor)
	}
	return f, nil
}

// CheckHello tells whether a first frame is a hello of a version that this build speaks. The answer is what
// to refuse it with, or "".
func CheckHello(f *pb.Frame) (h *pb.Hello, refusal string) {
	h = f.GetHello()
	switch {
	case f.GetRefusal() != nil:
		return nil, "the peer refused: " + f.GetRefusal().Reason
	case h == nil:
		return nil, "the first frame must be a hello"
	case h.Major != pb.Major:
		return nil, fmt.Sprintf("version %d.%d is not spoken here; this side speaks %d.x", h.Major, h.Minor, pb.Major)
	case h.Role == pb.Role_ROLE_UNSPECIFIED:
		return nil, "the hello names no role"
	case h.Name == "" && h.Role != pb.Role_OPERATOR:
		return nil, "the hello names no name"
	}
	return h, ""
}

// HelloFrame is this build's first frame.
func HelloFrame(h *pb.Hello) *pb.Frame {
	h.Major, h.Minor = pb.Major, pb.Minor
	return &pb.Frame{Body: &pb.Frame_Hello{Hello: h}}
}

// RefusalFrame answers a hello that is not accepted.
func RefusalFrame(reason string) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Refusal{Refusal: &pb.Refusal{Reason: reason}}}
}
