package transport

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// FrameHandler is a handler of frames; its methods have the contract of Handler's.
type FrameHandler interface {
	Start(now placement.Millis, n FrameNetwork)
	Opened(now placement.Millis, c ConnID)
	Received(now placement.Millis, c ConnID, f *pb.Frame)
	Closed(now placement.Millis, c ConnID, reason error)
	Wake(now placement.Millis)
}

// FrameNetwork is the means by which a FrameHandler acts; its methods have the contract of Network's. A frame must not
// be changed after it was passed to Send.
type FrameNetwork interface {
	Dial(addr string) ConnID
	Send(c ConnID, f *pb.Frame)
	Close(c ConnID)
	WakeAt(t placement.Millis)
	Now() placement.Millis
}

// dialTimeout is how long a connection for frames may take to be established.
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
