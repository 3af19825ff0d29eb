package transport

import "sync/atomic"

// Stats holds counters of socket events of a Loop.
type Stats struct {
	Writes              atomic.Uint64 // writes passed to an event loop; each may contain several messages
	MalformedMessages   atomic.Uint64 // connections closed because a message could not be decoded
	SlowPeers           atomic.Uint64 // times a connection exceeded MaxWriteBuffer
	RejectedConnections atomic.Uint64 // connections rejected because MaxConnections was reached
}
