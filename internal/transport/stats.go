package transport

import "sync/atomic"

// Stats count events on the sockets of a Loop.
type Stats struct {
	Writes              atomic.Uint64 // writes passed to an event loop; each may hold several messages
	MalformedMessages   atomic.Uint64 // connections that ended because a message could not be decoded
	SlowPeers           atomic.Uint64 // connections that exceeded MaxWriteBuffer
	RejectedConnections atomic.Uint64 // connections over MaxConnections
}
