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

const talkWithin = 5 * time.Second // for a connection and for an answer that costs no placing

// client is a blocking connection to an allocator.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	made time.Time
}

// dial connects and says hello.
func dial(addr string, role pb.Role, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, talkWithin)
	if err != nil {
		return nil, failure{fmt.Errorf("no allocator at %s: %w; start one with 'grebeglade serve', or name it with --to", addr, err)}
	}
	c := &client{conn: conn, in: bufio.NewReader(conn), made: time.Now()}
	if err := c.send(transport.HelloFrame(&pb.Hello{Role: role, Name: name, Incarnation: 1, SentMs: c.clock()})); err != nil {
		return nil, err
	}
	f, err := c.receive(talkWithin)
	if err != nil {
		return nil, err
	}
	if _, refusal := transport.CheckHello(f); refusal != "" {
		return nil, failure{fmt.Errorf("%s: %s", addr, refusal)}
	}
	return c, nil
}

// clock is the time in ms that an owner's frames are stamped with.
func (c *client) clock() float64 { return float64(time.Since(c.made)) / float64(time.Millisecond) }

func (c *client) send(f *pb.Frame) error {
	b, err := transport.AppendFrame(nil, f)
	if err == nil {
		_, err = c.conn.Write(b)
	}
	if err != nil {
		return failure{err}
	}
	return nil
}

func (c *client) receive(within time.Duration) (*pb.Frame, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, failure{err}
	}
	f, err := transport.ReadFrame(c.in, 64<<20)
	if err != nil {
		return nil, failure{fmt.Errorf("no answer: %w", err)}
	}
	return f, nil
}

func (c *client) Close() error { return c.conn.Close() }

// toFlag adds the flag that names the allocator to talk to.
func toFlag(c *cobra.Command, to *string) {
	c.Flags().StringVar(to, "to", environment("GREBEGLADE_ADDR", "127.0.0.1:7070"),
		"address of the allocator; GREBEGLADE_ADDR in the environment sets it for all commands")
}

// query asks an allocator what it knows.
func query(to string, what pb.Query_What, most uint32) (*pb.State, error) {
	c, err := dial(to, pb.Role_OPERATOR, "")
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.send(&pb.Frame{Body: &pb.Frame_Query{Query: &pb.Query{What: what, Most: most}}}); err != nil {
		return nil, err
	}
	f, err := c.receive(talkWithin)
	if err != nil {
		return nil, err
	}
	if f.GetState() == nil {
		return nil, failure{fmt.Errorf("the allocator answered with %T", f.Body)}
	}
	return f.GetState(), nil
}
