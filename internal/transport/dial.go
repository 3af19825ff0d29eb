package transport

import (
	"context"
	"net"
)

// dial establishes the connection and hands it to its event loop, which reports that it is open. A failure is queued as
// the connection's end. It blocks for as long as ctx allows.
func (c *connection) dial(ctx context.Context, addr string) {
	defer c.cancelDial()
	if err := c.connect(ctx, addr); err != nil {
		c.worker.queue.push(event{
			kind:   eventClosed,
			conn:   c,
			reason: err,
		})
	}
}

// connect dials addr and registers the socket with an event loop. Its errors are classified by dialError.
func (c *connection) connect(ctx context.Context, addr string) error {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return dialError(err)
	}
	if err := c.worker.loops.register(socket, c); err != nil {
		_ = socket.Close() // nothing was written to it, and the attempt may have closed it
		return dialError(err)
	}
	return nil
}
