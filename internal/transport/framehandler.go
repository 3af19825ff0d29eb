package transport

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// FrameHandler handles frames. Its methods have the same contract as those of Handler.
type FrameHandler interface {
	Start(now placement.Millis, n FrameNetwork)
	Opened(now placement.Millis, c ConnID)
	Received(now placement.Millis, c ConnID, f *pb.Frame)
	Closed(now placement.Millis, c ConnID, reason error)
	Wake(now placement.Millis)
}

// FrameNetwork is the output side of a FrameHandler. Its methods have the same contract as those of Network. A frame
// must not be changed after it is passed to Send.
type FrameNetwork interface {
	Dial(addr string) ConnID
	Send(c ConnID, f *pb.Frame)
	Close(c ConnID)
	WakeAt(t placement.Millis)
	Now() placement.Millis
}

// dialTimeout is the time limit in milliseconds for establishing a connection that carries frames.
const dialTimeout = placement.Millis(2000)

// frameHandler adapts a FrameHandler to Handler.
type frameHandler struct {
	FrameHandler
	codec frameCodec
}

func (h frameHandler) Start(now placement.Millis, n Network) {
	h.FrameHandler.Start(now, frameNetwork{n, h.codec})
}

func (h frameHandler) Received(now placement.Millis, c ConnID, message any) {
	if f, ok := message.(*pb.Frame); ok {
		h.FrameHandler.Received(now, c, f)
	}
}

// frameNetwork adapts a Network to FrameNetwork.
type frameNetwork struct {
	Network
	codec frameCodec
}

func (n frameNetwork) Dial(addr string) ConnID { return n.DialCodec(addr, n.codec, dialTimeout) }

func (n frameNetwork) Send(c ConnID, f *pb.Frame) { n.Network.Send(c, f) }
