package transport

import (
	"sync/atomic"

	"grebeglade/placement"
)

// Limits bound what peers can make a handler hold.
type Limits struct {
	MaxFrameSize   int // bytes of one frame
	MaxWriteBuffer int // bytes that wait to be written to one peer; beyond that its connection ends
	MaxConnections int // incoming connections of one handler

	// PauseAcceptAtLimit keeps connections over MaxConnections in the listener's backlog until another has ended, for
	// handlers that close some themselves. Otherwise they are rejected.
	PauseAcceptAtLimit bool

	// MaxQueuedEvents is about how many events may wait for the handler; beyond that nothing more is read for it, and its
	// peers wait. Zero means defaultQueuedEvents.
	MaxQueuedEvents int

	// MessageTimeout is how long a message may take from its first bytes to its last; zero means for ever. It guards
	// against peers that stop in the middle of a message and stay connected; a low value harms peers on slow networks.
	MessageTimeout placement.Millis
}

// DefaultLimits are for handlers that need no others.
var DefaultLimits = Limits{MaxFrameSize: 1 << 20, MaxWriteBuffer: 4 << 20, MaxConnections: 4096}

// defaultQueuedEvents bounds a handler's queue where its limits say nothing else.
const defaultQueuedEvents = 1 << 16

// withDefaults fills in the limits for which zero means a default.
func (l Limits) withDefaults() Limits {
	if l.MaxQueuedEvents == 0 {
		l.MaxQueuedEvents = defaultQueuedEvents
	}
	return l
}

// Stats count events on the sockets of a Loop.
type Stats struct {
	Writes              atomic.Uint64 // hand-overs of bytes to an event loop; one may hold several messages
	MalformedMessages   atomic.Uint64 // connections that ended for a message that could not be decoded
	SlowPeers           atomic.Uint64 // connections that went over MaxWriteBuffer
	RejectedConnections atomic.Uint64 // connections over MaxConnections
}
