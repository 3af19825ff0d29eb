package transport

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Handler handles the events of its connections, with messages as their codecs decode them.
type Handler interface {
	// Start is called once, before all else, with the network that the handler acts on.
	Start(now placement.Millis, n Network)
	// Opened reports that a connection is established: a dialled one, or one that came in.
	Opened(now placement.Millis, c ConnID)
	// Received hands over a message, in the order in which the peer sent them.
	Received(now placement.Millis, c ConnID, m any)
	// Closed reports that a connection has ended, or that dialling it has failed. The reason is never nil, and
	// matches with errors.Is the one of this package's errors that is its class. It does not follow the handler's own Close.
	Closed(now placement.Millis, c ConnID, reason error)
	// Wake is called once the time given to WakeAt has come.
	Wake(now placement.Millis)
}

// Network is what a Handler can do. None of its methods calls the handler back before it returns.
type Network interface {
	// DialCodec dials an address for messages of a codec. The connection fails if it is not established within that time.
	DialCodec(addr string, codec Codec, within placement.Millis) ConnID
	// Send sends a message. It is lost on a connection that is not open.
	Send(c ConnID, m any)
	// Close ends a connection once what was sent on it is on its way, or gives up dialling it.
	Close(c ConnID)
	// IsClosed reports whether a connection has ended, even if the handler is yet to be notified.
	IsClosed(c ConnID) bool
	// WakeAt sets the handler's only wake-up; another call replaces it.
	WakeAt(t placement.Millis)
	// Now is the time of the event that is being handled.
	Now() placement.Millis
	// ReceivedAt is when the message that is being handled was read from its socket; a busy handler handles it later.
	ReceivedAt() placement.Millis
}

// FrameHandler is a handler for frames; its methods have the contract of Handler's.
type FrameHandler interface {
	Start(now placement.Millis, n FrameNetwork)
	Opened(now placement.Millis, c ConnID)
	Received(now placement.Millis, c ConnID, f *pb.Frame)
	Closed(now placement.Millis, c ConnID, reason error)
	Wake(now placement.Millis)
}

// FrameNetwork is what a FrameHandler can do; its methods have the contract of Network's. A frame that was given to Send
// must not be changed any more.
type FrameNetwork interface {
	Dial(addr string) ConnID
	Send(c ConnID, f *pb.Frame)
	Close(c ConnID)
	WakeAt(t placement.Millis)
	Now() placement.Millis
}

// dialTimeout is how long a connection for frames may take to be established.
const dialTimeout = placement.Millis(2000)

// frameHandler makes a FrameHandler a Handler.
type frameHandler struct {
	FrameHandler
	codec frameCodec
}

func (h frameHandler) Start(now placement.Millis, n Network) {
	h.FrameHandler.Start(now, frameNetwork{n, h.codec})
}

func (h frameHandler) Received(now placement.Millis, c ConnID, m any) {
	if f, ok := m.(*pb.Frame); ok {
		h.FrameHandler.Received(now, c, f)
	}
}

// frameNetwork makes a Network a FrameNetwork.
type frameNetwork struct {
	Network
	codec frameCodec
}

func (n frameNetwork) Dial(addr string) ConnID { return n.DialCodec(addr, n.codec, dialTimeout) }

func (n frameNetwork) Send(c ConnID, f *pb.Frame) { n.Network.Send(c, f) }
