package command

import (
	"bufio"
	"net"
	"time"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	replyTimeout = 5 * time.Second // limit for connecting, and for replies that await no placement
	maxReplySize = 64 << 20        // maximum size in bytes of a frame from an allocator
)

// client is a blocking connection to an allocator.
type client struct {
	conn      net.Conn
	in        *bufio.Reader
	connected time.Time // time of connection establishment
}

// dial connects to an allocator and exchanges hellos.
func dial(address string, role pb.Role, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, replyTimeout)
	if err != nil {
		return nil, runErrorf("no allocator at %s: %w; start one with 'grebeglade serve', or give its address with --to",
			address, err)
	}
	c := &client{
		conn:      conn,
		in:        bufio.NewReader(conn),
		connected: time.Now(),
	}
	if err := c.handshake(address, role, name); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// handshake sends the client's hello and checks the allocator's.
func (c *client) handshake(address string, role pb.Role, name string) error {
	hello := &pb.Hello{
		Role:        role,
		Name:        name,
		Incarnation: 1,
		SentMs:      c.elapsedMs(),
	}
	if err := c.send(transport.HelloFrame(hello)); err != nil {
		return err
	}
	reply, err := c.receive(replyTimeout)
	if err != nil {
		return err
	}
	if _, err := transport.CheckHello(reply); err != nil {
		return runErrorf("handshake with %s: %w", address, err)
	}
	return nil
}

// elapsedMs returns the time since the connection was established, for the SentMs of frames.
func (c *client) elapsedMs() float64 { return milliseconds(time.Since(c.connected)) }

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

// receive reads the next frame. It returns an error if the frame is not complete within the timeout.
func (c *client) receive(timeout time.Duration) (*pb.Frame, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, runErrorf("set the read deadline: %w", err)
	}
	frame, err := transport.ReadFrame(c.in, maxReplySize)
	if err != nil {
		return nil, runErrorf("receive from the allocator: %w", err)
	}
	return frame, nil
}

// close ends the connection. The error is ignored, since all replies have been read.
func (c *client) close() { _ = c.conn.Close() }
