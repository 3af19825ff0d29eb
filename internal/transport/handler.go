package transport

import "grebeglade/placement"

// Handler handles the events of its connections, with messages as their codecs decode them.
type Handler interface {
	// Start is called once, before any other method, with the network through which the handler acts.
	Start(now placement.Millis, n Network)
	// Opened reports that a connection is established, either dialled or accepted.
	Opened(now placement.Millis, c ConnID)
	// Received delivers a message. Messages of a connection arrive in the order in which the peer sent them.
	Received(now placement.Millis, c ConnID, message any)
	// Closed reports that a connection has ended, or that dialling it has failed. The reason is never nil, and matches
	// its class, one of this package's errors, with errors.Is. Closed is not called after the handler's own Close.
	Closed(now placement.Millis, c ConnID, reason error)
	// Wake is called once the time given to WakeAt has come.
	Wake(now placement.Millis)
}

// Network is the means by which a Handler acts. None of its methods calls the handler before it returns.
type Network interface {
	// DialCodec dials an address for messages of a codec. Dialling fails after the timeout.
	DialCodec(addr string, codec Codec, timeout placement.Millis) ConnID
	// Send sends a message, which is dropped if the connection is not open.
	Send(c ConnID, message any)
	// Close ends a connection once what was sent on it is written, or gives up dialling it.
	Close(c ConnID)
	// IsClosed reports whether a connection has ended, even if the handler is yet to be notified.
	IsClosed(c ConnID) bool
	// WakeAt sets the handler's only wake-up; another call replaces it.
	WakeAt(t placement.Millis)
	// Now returns the time of the event that is being handled.
	Now() placement.Millis
	// ReceivedAt returns the time at which the current message was read from its socket. It is before Now while the
	// handler is busy.
	ReceivedAt() placement.Millis
}
