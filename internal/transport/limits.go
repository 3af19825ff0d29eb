package transport

import "grebeglade/placement"

// Limits bounds the resources that the peers of a handler can consume.
type Limits struct {
	MaxFrameSize   int // maximum size of a frame body in bytes; used by ListenFrames only
	MaxConnections int // maximum number of incoming connections per handler

	// MaxWriteBuffer is the number of bytes that may wait for one peer to read them, in addition to those in the
	// buffers of the operating system. A connection with more is closed once some of them have waited for
	// SlowPeerTimeout.
	MaxWriteBuffer int
	// SlowPeerTimeout is the time in milliseconds after which a peer counts as not reading. Zero means
	// defaultSlowPeerTimeout.
	SlowPeerTimeout placement.Millis
	// MaxTotalWriteBuffer is the number of bytes that may wait for all peers of an event loop. Above it, the
	// connections whose bytes wait longest are closed. Zero means totalWriteBufferFactor times MaxWriteBuffer.
	MaxTotalWriteBuffer int

	// PauseAcceptAtLimit leaves connections above MaxConnections in the listen backlog until another connection ends.
	// It suits handlers that evict idle connections. If false, connections above the limit are rejected.
	PauseAcceptAtLimit bool

	// MaxQueuedEvents is the approximate limit of events queued for the handler. Above it, its sockets are not read, so
	// that TCP flow control slows its peers down; see Urgent for the exception. Zero means defaultQueuedEvents.
	MaxQueuedEvents int

	// MaxReadSize is the approximate number of bytes that are read from one incoming connection before the others get
	// their turn. Zero means the default of the event loop, 64 KiB.
	MaxReadSize int

	// MessageTimeout is the time in milliseconds in which a peer that has begun a message must complete it or send
	// another progressSize bytes of it; zero means defaultMessageTimeout. A message whose bytes keep arriving at that
	// rate may take any time, with pauses of up to maxProgressTimeouts times the limit. It guards against peers that
	// stop in the middle of a message, or send it byte by byte, and stay connected. A low value disconnects peers on
	// slow networks.
	MessageTimeout placement.Millis
}

// DefaultLimits are the limits of AddHandler: 1 MiB per frame, 4 MiB of waiting bytes per connection.
var DefaultLimits = Limits{
	MaxFrameSize:   1 << 20,
	MaxWriteBuffer: 4 << 20,
	MaxConnections: 4096,
}

const (
	// defaultQueuedEvents is used when Limits.MaxQueuedEvents is zero.
	defaultQueuedEvents = 1 << 16
	// defaultSlowPeerTimeout, in ms, is used when Limits.SlowPeerTimeout is zero. It is longer than the pauses of a
	// peer that reads: lost packets, a short partition, a stalled process.
	defaultSlowPeerTimeout = placement.Millis(3000)
	// defaultMessageTimeout, in ms, is used when Limits.MessageTimeout is zero. It is as long as
	// defaultSlowPeerTimeout, for the same pauses.
	defaultMessageTimeout = placement.Millis(3000)
	// totalWriteBufferFactor gives the default of Limits.MaxTotalWriteBuffer, in multiples of MaxWriteBuffer.
	totalWriteBufferFactor = 16
)

// withDefaults returns the limits with the defaults of those that are zero.
func (l Limits) withDefaults() Limits {
	if l.MaxQueuedEvents == 0 {
		l.MaxQueuedEvents = defaultQueuedEvents
	}
	if l.SlowPeerTimeout == 0 {
		l.SlowPeerTimeout = defaultSlowPeerTimeout
	}
	if l.MessageTimeout == 0 {
		l.MessageTimeout = defaultMessageTimeout
	}
	if l.MaxTotalWriteBuffer == 0 {
		l.MaxTotalWriteBuffer = totalWriteBufferFactor * l.MaxWriteBuffer
	}
	return l
}
