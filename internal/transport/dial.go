package transport

import (
	"context"
	"net"
)

// dial connects to addr and registers the socket with an event loop, which queues eventOpened. On failure it queues
// eventClosed. It blocks until then; ctx limits the time to connect, not the registration.
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

// connect dials addr and registers the socket with an event loop. It returns errors of dialError.
func (c *connection) connect(ctx context.Context, addr string) error {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return dialError(err)
	}
	if err := c.worker.loops.register(socket, c); err != nil {
		_ = socket.Close() // nothing was written; the failed registration may have closed it already
		return dialError(err)
	}
	return nil
}
