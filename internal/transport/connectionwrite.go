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
	c.worker.loop.Stats.Writes.Add(1)
	backlog := c.worker.loops.backlog(c.class)
	err := c.socket.AsyncWrite(out, func(_ gnet.Conn, err error) error {
		if err == nil {
			backlog.written(c.worker.loop.Now(), c, len(out))
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

// failTotalBacklog closes the connection because more than MaxTotalWriteBuffer bytes wait for all peers, and those for
// this peer wait longest.
func (c *connection) failTotalBacklog() {
	c.worker.loop.Stats.SlowPeers.Add(1)
	c.fail(fmt.Errorf("%w: write buffers of all peers exceed %d bytes", ErrSlowPeer, c.worker.limits.MaxTotalWriteBuffer))
}
