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
		// What the peer has not read by now is buffered in the event loop. Over the limit the connection ends, so that
		// other connections are not delayed.
		if err == nil && socket != nil && socket.OutboundBuffered() > maxBuffer {
			c.failSlowPeer()
		}
		return nil
	})
	if err != nil {
		c.fail(&closeError{class: ErrConnectionLost, cause: fmt.Errorf("write: %w", err)})
	}
}

// buffered returns how many of the flushed bytes the event loop has not written to the socket. It returns 0 once the
// connection or ctx has ended.
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

// failSlowPeer ends the connection because its peer does not read.
func (c *connection) failSlowPeer() {
	c.worker.loop.Stats.SlowPeers.Add(1)
	c.fail(fmt.Errorf("%w: over %d bytes wait to be written", ErrSlowPeer, c.worker.limits.MaxWriteBuffer))
}
