package command

import (
	"bufio"
	"net"
	"time"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	replyTimeout = 5 * time.Second // for a connection, and for a reply that needs no placing
	maxReplySize = 64 << 20        // bytes of one frame from an allocator
)

// client is a blocking connection to an allocator.
type client struct {
	conn      net.Conn
	in        *bufio.Reader
	connected time.Time
}

// dial connects to an allocator and exchanges hellos.
func dial(address string, role pb.Role, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, replyTimeout)
	if err != nil {
		return nil, runErrorf("no allocator at %s: %w; start one with 'grebeglade serve', or name it with --to",
			address, err)
	}
	c := &client{
		conn:      conn,
		in:        bufio.NewReader(conn),
		connected: time.Now(),
	}
	if err := c.hello(address, role, name); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// hello sends the client's hello and checks the allocator's.
func (c *client) hello(address string, role pb.Role, name string) error {
	hello := &pb.Hello{
		Role:        role,
		Name:        name,
		Incarnation: 1,
		SentMs:      c.clock(),
	}
	if err := c.send(transport.HelloFrame(hello)); err != nil {
		return err
	}
	reply, err := c.receive(replyTimeout)
	if err != nil {
		return err
	}
	if _, err := transport.CheckHello(reply); err != nil {
		return runErrorf("%s: %w", address, err)
	}
	return nil
}

// clock returns the milliseconds since the connection was made, with which a client's frames are stamped.
func (c *client) clock() float64 { return milliseconds(time.Since(c.connected)) }

// send writes a frame.
func (c *client) send(frame *pb.Frame) error {
	encoded, err := transport.AppendFrame(nil, frame)
	if err != nil {
		return runErrorf("encode a frame: %w", err)
	}
	if _, err := c.conn.Write(encoded); err != nil {
		return runErrorf("send to the allocator: %w", err)
	}
	return nil
}

// receive reads the next frame, which must be complete before the timeout.
func (c *client) receive(timeout time.Duration) (*pb.Frame, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, runErrorf("set the deadline of a reply: %w", err)
	}
	frame, err := transport.ReadFrame(c.in, maxReplySize)
	if err != nil {
		return nil, runErrorf("no answer: %w", err)
	}
	return frame, nil
}

// close ends the connection. All replies have been read, so an error does not matter.
func (c *client) close() { _ = c.conn.Close() }
