package transport

import (
	"context"
	"fmt"

	"github.com/panjf2000/gnet/v2"
)

// flush passes the encoded messages to the event loop.
func (c *connection) flush() {
	if len(c.writeBuffer) == 0 || c.state == stateClosed {
		return
	}
	out := c.writeBuffer
	c.writeBuffer = nil
	maxBuffer := c.worker.limits.MaxWriteBuffer
	if c.shared.unwritten.Add(int64(len(out))) > int64(maxBuffer) {
		c.failSlowPeer()
		return
	}
	c.worker.loop.Stats.Writes.Add(1)
	err := c.socket.AsyncWrite(out, func(socket gnet.Conn, err error) error {
		c.shared.unwritten.Add(-int64(len(out)))
		// The event loop buffers what the socket does not accept. Above the limit the connection is closed, so that its
		// buffer does not delay other connections.
		if err == nil && socket != nil && socket.OutboundBuffered() > maxBuffer {
			c.failSlowPeer()
		}
		return nil
	})
	if err != nil {
		c.fail(&closeError{class: ErrConnectionLost, cause: fmt.Errorf("write: %w", err)})
	}
}

// buffered returns the number of flushed bytes that the event loop has not yet written to the socket. It returns 0 if
// the connection or ctx has ended.
func (c *connection) buffered(ctx context.Context) int {
	remaining := make(chan int, 1)
	// The callback runs after all earlier writes.
	err := c.socket.AsyncWrite(nil, func(socket gnet.Conn, err error) error {
		if err != nil {
			remaining <- 0
		} else {
			remaining <- socket.OutboundBuffered()
		}
		return nil
	})
	if err != nil {
		return 0
	}
	select {
	case n := <-remaining:
		return n
	case <-ctx.Done():
		return 0
	}
}

// failSlowPeer closes the connection because more than MaxWriteBuffer bytes wait for the peer to read them.
func (c *connection) failSlowPeer() {
	c.worker.loop.Stats.SlowPeers.Add(1)
	c.fail(fmt.Errorf("%w: write buffer exceeds %d bytes", ErrSlowPeer, c.worker.limits.MaxWriteBuffer))
}
