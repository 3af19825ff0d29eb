package transport

import (
	"context"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
)

// priorityClass decides which event loop serves a connection. A full queue blocks the event loop that reads for it, and
// with it the connections of the same class only.
type priorityClass uint8

const (
	classIncoming priorityClass = iota
	classOutgoing
	classUrgent // dialled with an Urgent codec: its events are handled before those of the other classes
	numClasses
)

// connState is the lifecycle of a connection as its worker sees it. It never moves back.
type connState uint8

const (
	statePending connState = iota // not established, or the handler is yet to be notified of it
	stateOpen
	stateClosed // the handler has closed it, or was notified of its end
)

// connection is one connection of a worker.
type connection struct {
	worker *worker
	class  priorityClass
	codec  Codec
	socket gnet.Conn // set by the event loop before it notifies the worker

	// Used by the worker's goroutine only.
	id          ConnID // of an incoming connection, zero until the worker handles its opening
	state       connState
	cancelDial  context.CancelFunc // of dialled connections
	writeBuffer []byte             // encoded messages that are not flushed yet

	shared     sharedState
	incomplete incompleteMessage
}

// sharedState is what the worker and the event loop both access of a connection. The event loop may know of an end that
// the worker has yet to handle.
type sharedState struct {
	ended       atomic.Bool           // the event loop has closed the socket
	closeReason atomic.Pointer[error] // why this side ends the connection; nil if it does not
	unwritten   atomic.Int64          // bytes that were flushed and that the event loop has yet to accept
}

// open moves a connection to stateOpen, and reports false if the handler has already closed it.
func (c *connection) open() bool {
	if c.state == stateClosed {
		return false
	}
	c.state = stateOpen
	return true
}

// close ends the connection for the handler, which is not notified.
func (c *connection) close() {
	c.flush()
	before := c.state
	c.state = stateClosed
	switch before {
	case stateOpen:
		c.closeSocket()
	case statePending:
		c.cancelDial() // frees the descriptor now, not only when dialling would have failed
	case stateClosed:
		// The socket was closed when the connection reached this state.
	}
}

// fail ends the connection for a reason with which the handler is notified. The first reason counts.
func (c *connection) fail(reason error) {
	c.setCloseReason(reason)
	c.closeSocket()
}

// setCloseReason records why this side ends the connection, unless a reason is recorded already.
func (c *connection) setCloseReason(reason error) {
	c.shared.closeReason.CompareAndSwap(nil, &reason)
}

// closeSocket has the event loop close the socket after what was flushed. If that fails, the socket stays open.
func (c *connection) closeSocket() {
	if err := c.socket.Close(); err != nil {
		c.worker.loop.log.Warn("connection not closed", "peer", c.socket.RemoteAddr(), "error", err)
	}
}

// reason returns why the connection has ended, given the error with which the event loop has closed it.
func (c *connection) reason(err error) error {
	if own := c.shared.closeReason.Load(); own != nil {
		return *own
	}
	return socketError(err)
}
