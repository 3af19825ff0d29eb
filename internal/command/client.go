package command

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/spf13/cobra"

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
		return nil, runError{fmt.Errorf("no allocator at %s: %w; start one with 'grebeglade serve', or name it with --to", address, err)}
	}
	c := &client{conn: conn, in: bufio.NewReader(conn), connected: time.Now()}
	if err := c.hello(address, role, name); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) hello(address string, role pb.Role, name string) error {
	hello := &pb.Hello{Role: role, Name: name, Incarnation: 1, SentMs: c.clock()}
	if err := c.send(transport.HelloFrame(hello)); err != nil {
		return err
	}
	f, err := c.receive(replyTimeout)
	if err != nil {
		return err
	}
	if _, err := transport.CheckHello(f); err != nil {
		return runError{fmt.Errorf("%s: %w", address, err)}
	}
	return nil
}

// clock returns the milliseconds since the connection was made, with which a client's frames are stamped.
func (c *client) clock() float64 { return milliseconds(time.Since(c.connected)) }

func (c *client) send(f *pb.Frame) error {
	b, err := transport.AppendFrame(nil, f)
	if err == nil {
		_, err = c.conn.Write(b)
	}
	if err != nil {
		return runError{err}
	}
	return nil
}

func (c *client) receive(timeout time.Duration) (*pb.Frame, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, runError{err}
	}
	f, err := transport.ReadFrame(c.in, maxReplySize)
	if err != nil {
		return nil, runError{fmt.Errorf("no answer: %w", err)}
	}
	return f, nil
}

// close ends the connection. All replies have been read, so an error does not matter.
func (c *client) close() { _ = c.conn.Close() }

// toFlag adds the flag that names the allocator to talk to.
func toFlag(cmd *cobra.Command, to *string) {
	cmd.Flags().StringVar(to, "to", defaultAllocator(),
		"address of the allocator; GREBEGLADE_ADDR in the environment sets it for all commands")
}

// defaultAllocator returns the address of the allocator to talk to if none is given.
func defaultAllocator() string { return environmentOr("GREBEGLADE_ADDR", "127.0.0.1:7070") }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
