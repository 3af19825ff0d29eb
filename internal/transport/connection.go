package transport

import (
	"context"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
)

// priorityClass selects the event loop of a connection. Each class has its own event loop, so that an event loop that
// is blocked by a full event queue delays only connections of its class.
type priorityClass uint8

const (
	classIncoming priorityClass = iota
	classOutgoing
	classUrgent // dialed with an Urgent codec; its events are handled before those of other classes
	numClasses
)

// connState is the lifecycle state of a connection, as tracked by its worker. It only increases.
type connState uint8

const (
	statePending connState = iota // not established, or Handler.Opened not called yet
	stateOpen
	stateClosed // closed by the handler, or Handler.Closed was called
)

// connection is one connection of a worker.
type connection struct {
	worker *worker
	class  priorityClass
	codec  Codec
	socket gnet.Conn // set by the event loop before it queues eventOpened

	// Used by the worker's goroutine only.
	id          ConnID // zero for an incoming connection until the worker handles its eventOpened
	state       connState
	cancelDial  context.CancelFunc // nil for incoming connections
	writeBuffer []byte             // encoded messages not yet flushed

	shared   sharedState
	inbound  inbound
	outbound outbound // used by the event loop only
}

// sharedState is the state of a connection that its worker and its event loop both access.
type sharedState struct {
	ended       atomic.Bool           // socket closed by the event loop; the worker may not have handled eventClosed yet
	closeReason atomic.Pointer[error] // reason recorded by setCloseReason; nil if none
	queued      atomic.Int64          // messages received and not handled yet
}

// open changes the state to stateOpen. It returns false if the handler has already closed the connection.
func (c *connection) open() bool {
	if c.state == stateClosed {
		return false
	}
	c.state = stateOpen
	return true
}

// close flushes and closes the connection on the handler's request. Handler.Closed is not called for it.
func (c *connection) close() {
	c.flush()
	before := c.state
	c.state = stateClosed
	switch before {
	case stateOpen:
		c.closeSocket()
	case statePending:
		c.cancelDial() // frees the descriptor now instead of at the dial timeout
	case stateClosed:
		// The socket was closed when the connection reached this state.
	}
}

// fail closes the connection and passes the reason to Handler.Closed. Only the first reason is kept.
func (c *connection) fail(reason error) {
	c.setCloseReason(reason)
	c.closeSocket()
}

// setCloseReason records why this side closes the connection, unless a reason is already recorded.
func (c *connection) setCloseReason(reason error) {
	c.shared.closeReason.CompareAndSwap(nil, &reason)
}

// closeSocket has the event loop close the socket once all flushed bytes are written. On error the socket stays open.
func (c *connection) closeSocket() {
	if err := c.socket.Close(); err != nil {
		c.worker.loop.log.Warn("connection not closed", "peer", c.socket.RemoteAddr(), "error", err)
	}
}

// reason returns the reason for Handler.Closed: the recorded one, or the class of err, the event loop's error.
func (c *connection) reason(err error) error {
	if own := c.shared.closeReason.Load(); own != nil {
		return *own
	}
	return socketError(err)
}
