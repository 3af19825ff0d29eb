package transport

import "grebeglade/placement"

// Limits bound the resources that peers can make a handler use.
type Limits struct {
	MaxFrameSize   int // bytes of one frame
	MaxWriteBuffer int // bytes that wait to be written to one peer; beyond that its connection ends
	MaxConnections int // incoming connections of one handler

	// PauseAcceptAtLimit leaves connections over MaxConnections in the listener's backlog until another has ended. It
	// is meant for handlers that evict connections. Otherwise connections over the limit are rejected.
	PauseAcceptAtLimit bool

	// MaxQueuedEvents is about how many events may be queued for the handler. Beyond that nothing more is read for it,
	// and its peers wait. Zero means defaultQueuedEvents.
	MaxQueuedEvents int

	// MessageTimeout is how long a message may take from its first bytes to its last; zero means no limit. It guards
	// against peers that stop in the middle of a message and stay connected. A low value harms peers on slow networks.
	MessageTimeout placement.Millis
}

// DefaultLimits suit handlers without special needs.
var DefaultLimits = Limits{
	MaxFrameSize:   1 << 20,
	MaxWriteBuffer: 4 << 20,
	MaxConnections: 4096,
}

// defaultQueuedEvents bounds a handler's queue if its limits do not.
const defaultQueuedEvents = 1 << 16

// withDefaults replaces the limits for which zero means a default.
func (l Limits) withDefaults() Limits {
	if l.MaxQueuedEvents == 0 {
		l.MaxQueuedEvents = defaultQueuedEvents
	}
	return l
}
