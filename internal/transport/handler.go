package transport

import "grebeglade/placement"

// Handler handles the events of its connections. Messages have the type that the connection's codec decodes.
type Handler interface {
	// Start is called once, before any other method. The handler keeps n for its output.
	Start(now placement.Millis, n Network)
	// Opened reports that a dialed or accepted connection is established.
	Opened(now placement.Millis, c ConnID)
	// Received delivers a message. Messages of a connection are delivered in the order in which the peer sent them.
	Received(now placement.Millis, c ConnID, message any)
	// Closed reports that a connection has ended, or that dialing it failed. The reason is never nil; errors.Is matches
	// it to its class, such as ErrConnectionLost. Closed is not called for a connection that the handler has closed.
	Closed(now placement.Millis, c ConnID, reason error)
	// Wake is called at the time passed to WakeAt, or later.
	Wake(now placement.Millis)
}

// StallHandler is implemented by a Handler or FrameHandler that keeps some connections open although their peer has
// stopped in the middle of a message, or has sent something that cannot be decoded. Connections of other handlers are
// closed.
type StallHandler interface {
	// KeepStalled reports whether a connection whose message does not keep arriving, or whose input cannot be decoded,
	// stays open, such as that of a client that waits for answers. It is called again after each further
	// Limits.MessageTimeout. What follows input that cannot be decoded is discarded, up to maxDiscarded bytes.
	KeepStalled(c ConnID) bool
}

// Network is the output side of a Handler. Its methods never call the handler synchronously.
type Network interface {
	// DialCodec starts to dial addr for a connection with the given codec, and returns its ID. Dialing fails after the
	// timeout.
	DialCodec(addr string, codec Codec, timeout placement.Millis) ConnID
	// Send sends a message. The message is dropped if the connection is not open.
	Send(c ConnID, message any)
	// Close closes a connection after all sent messages are written, or cancels dialing it.
	Close(c ConnID)
	// IsClosed reports whether a connection has ended, including one for which Closed has not been called yet.
	IsClosed(c ConnID) bool
	// WakeAt sets the time of the next call of Wake. Each call replaces the time set before.
	WakeAt(t placement.Millis)
	// Now returns the time of the event that is being handled.
	Now() placement.Millis
	// ReceivedAt returns the time at which the current message was read from its socket. It is earlier than Now if the
	// message was queued while the handler was busy.
	ReceivedAt() placement.Millis
}
