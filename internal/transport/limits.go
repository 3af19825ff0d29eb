package transport

import "grebeglade/placement"

// Limits bounds the resources that the peers of a handler can consume.
type Limits struct {
	MaxFrameSize   int // maximum size of a frame body in bytes; used by ListenFrames only
	MaxWriteBuffer int // maximum unwritten bytes per connection; above it the connection is closed
	MaxConnections int // maximum number of incoming connections per handler

	// PauseAcceptAtLimit leaves connections above MaxConnections in the listen backlog until another connection ends.
	// It suits handlers that evict idle connections. If false, connections above the limit are rejected.
	PauseAcceptAtLimit bool

	// MaxQueuedEvents is the approximate limit of events queued for the handler. Above it, its sockets are not read, so
	// that TCP flow control slows its peers down; see Urgent for the exception. Zero means defaultQueuedEvents.
	MaxQueuedEvents int

	// MessageTimeout is the time limit in milliseconds from the first to the last byte of a message; zero means no
	// limit. It guards against peers that stop in the middle of a message and stay connected. A low value disconnects
	// peers on slow networks.
	MessageTimeout placement.Millis
}

// DefaultLimits are the limits of AddHandler: 1 MiB per frame, 4 MiB of unwritten bytes per connection.
var DefaultLimits = Limits{
	MaxFrameSize:   1 << 20,
	MaxWriteBuffer: 4 << 20,
	MaxConnections: 4096,
}

// defaultQueuedEvents is used when Limits.MaxQueuedEvents is zero.
const defaultQueuedEvents = 1 << 16

// withDefaults returns the limits with MaxQueuedEvents set to its default if it is zero.
func (l Limits) withDefaults() Limits {
	if l.MaxQueuedEvents == 0 {
		l.MaxQueuedEvents = defaultQueuedEvents
	}
	return l
}
