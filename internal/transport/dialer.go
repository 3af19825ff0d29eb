package transport

import (
	"context"
	"net"
)

// dialer establishes the connections that a worker's handler dials.
type dialer struct {
	loops *eventLoops
	queue *eventQueue
}

// dial establishes a connection and hands it to its event loop, which reports that it is open. A failure goes to the queue
// as the connection's end. It blocks for as long as ctx allows.
func (d *dialer) dial(ctx context.Context, c *connection, addr string) {
	defer c.cancelDial()
	if err := d.connect(ctx, c, addr); err != nil {
		d.queue.push(event{kind: eventClosed, conn: c, reason: dialError(err)})
	}
}

func (d *dialer) connect(ctx context.Context, c *connection, addr string) error {
	var netDialer net.Dialer
	socket, err := netDialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	if err := d.loops.register(socket, c); err != nil {
		_ = socket.Close() // nothing was written to it, and the attempt may have closed it
		return err
	}
	return nil
}
