package transport

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"

	"grebeglade/placement"
)

// priorityClass decides which event loop a connection is on: a reader that blocks since the worker's queue is full blocks
// the connections of its own class only.
type priorityClass uint8

const (
	classIncoming priorityClass = iota
	classOutgoing
	classUrgent // dialled with an Urgent codec: its events are handled before those of the other classes
	numClasses
)

// connState is the lifecycle of a connection as its worker sees it. It only goes forward.
type connState uint8

const (
	statePending connState = iota // not established, or the handler is yet to be notified of it
	stateOpen
	stateClosed // the handler has closed it, or is notified of its end
)

// connection is one connection of a worker.
type connection struct {
	worker *worker
	class  priorityClass
	codec  Codec
	socket gnet.Conn // set by the event loop before it notifies the worker

	// Of the worker's goroutine.
	id          ConnID // zero until the worker is notified of an incoming connection
	state       connState
	cancelDial  context.CancelFunc // of dialled connections
	writeBuffer []byte             // encoded messages, not flushed yet

	// Shared by the worker and the event loop. The event loop may know of an end that the worker has yet to handle.
	ended       atomic.Bool           // the event loop has closed the socket
	closeReason atomic.Pointer[error] // why this side ends it; nil if it does not
	unwritten   atomic.Int64          // bytes that were flushed and that the event loop has yet to take
	incomplete  atomic.Uint64         // number of the incomplete message that the peer has begun; zero if there is none

	incompleteCount uint64 // incomplete messages so far; of the event loop
}

// open moves a connection to stateOpen, and reports false if the handler has closed it meanwhile.
func (c *connection) open() bool {
	if c.state == stateClosed {
		return false
	}
	c.state = stateOpen
	return true
}

// flush hands the encoded messages to the event loop.
func (c *connection) flush() {
	if len(c.writeBuffer) == 0 || c.state == stateClosed {
		return
	}
	out := c.writeBuffer
	c.writeBuffer = nil
	maxBuffer := c.worker.limits.MaxWriteBuffer
	if c.unwritten.Add(int64(len(out))) > int64(maxBuffer) {
		c.failSlowPeer()
		return
	}
	c.worker.loop.Stats.Writes.Add(1)
	err := c.socket.AsyncWrite(out, func(socket gnet.Conn, err error) error {
		c.unwritten.Add(-int64(len(out)))
		// What the peer has not read by now waits in the event loop. Past the limit the connection ends, and no other waits.
		if err == nil && socket != nil && socket.OutboundBuffered() > maxBuffer {
			c.failSlowPeer()
		}
		return nil
	})
	if err != nil {
		c.fail(&closeError{class: ErrConnectionLost, cause: fmt.Errorf("write: %w", err)})
	}
}

// buffered returns how many bytes of what was flushed are still with the event loop, and 0 if the connection or ctx has
// ended.
func (c *connection) buffered(ctx context.Context) int {
	left := make(chan int, 1)
	// The callback runs after all writes that were flushed before.
	err := c.socket.AsyncWrite(nil, func(socket gnet.Conn, err error) error {
		if err != nil {
			left <- 0
		} else {
			left <- socket.OutboundBuffered()
		}
		return nil
	})
	if err != nil {
		return 0
	}
	select {
	case n := <-left:
		return n
	case <-ctx.Done():
		return 0
	}
}

// close ends the connection for the handler, which is not notified of it.
func (c *connection) close() {
	c.flush()
	before := c.state
	c.state = stateClosed
	switch before {
	case stateOpen:
		c.closeSocket()
	case statePending:
		c.cancelDial() // its descriptor is free now, not only when dialling would have failed
	}
}

// fail ends the connection with a reason of which the handler is notified. The first reason counts.
func (c *connection) fail(reason error) {
	c.closeReason.CompareAndSwap(nil, &reason)
	c.closeSocket()
}

func (c *connection) failSlowPeer() {
	c.worker.loop.Stats.SlowPeers.Add(1)
	c.fail(fmt.Errorf("%w: over %d bytes wait to be written", ErrSlowPeer, c.worker.limits.MaxWriteBuffer))
}

// closeSocket has the event loop close the socket after what was flushed. An error means that the socket stays open.
func (c *connection) closeSocket() {
	if err := c.socket.Close(); err != nil {
		c.worker.loop.log.Warn("connection not closed", "peer", c.socket.RemoteAddr(), "error", err)
	}
}

// reason returns why the connection has ended, where the event loop ended it with err.
func (c *connection) reason(err error) error {
	if own := c.closeReason.Load(); own != nil {
		return *own
	}
	return socketError(err)
}

// watchMessage ends the connection if a message that the peer has begun is not complete within the limit. The event loop
// calls it after each read: decoded reports whether a message was complete, begun whether the beginning of one is left.
func (c *connection) watchMessage(decoded, begun bool) {
	if decoded || !begun {
		c.incomplete.Store(0)
	}
	if !begun || c.incomplete.Load() != 0 {
		return
	}
	c.incompleteCount++
	number, limit := c.incompleteCount, c.worker.limits.MessageTimeout
	c.incomplete.Store(number)
	c.worker.queue.push(event{kind: eventCall, at: c.worker.loop.Now() + limit, call: func(placement.Millis) {
		if c.incomplete.Load() == number && c.state != stateClosed {
			c.fail(fmt.Errorf("%w after %v ms", ErrMessageTimeout, limit))
		}
	}})
}
