package loadgen

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net"
	"time"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	handshakeTimeout = 5 * time.Second
	bufferSize       = 1 << 16
	flushThreshold   = 1 << 15 // bytes in the buffer after which it is flushed at once
	maxFrameSize     = 16 << 20
)

// requestState is the state of a request that was sent.
type requestState uint8

const (
	requestPending  requestState = iota
	requestPlaced                // until its workload ends
	requestAnswered              // rejected or unschedulable
	requestLost                  // the connection was lost before the answer
)

// sentRequest is a request that was sent, until its workload has ended.
type sentRequest struct {
	due     time.Time
	expires time.Time
	state   requestState
}

// client is a connection to the allocator. Its writer belongs to the goroutine that sends, its reader to the one that
// reads; the other fields are guarded by the mutex of the tally.
type client struct {
	conn     net.Conn
	in       *bufio.Reader
	out      *bufio.Writer
	requests map[uint64]*sentRequest // by number
	last     uint64                  // number of the last request
	err      error                   // that ended the connection, nil while it is open
}

// connect opens a connection and exchanges hellos.
func connect(target, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", target, handshakeTimeout)
	if err != nil {
		return nil, fmt.Errorf("no allocator at %s: %w", target, err)
	}
	c := &client{
		conn: conn, in: bufio.NewReaderSize(conn, bufferSize), out: bufio.NewWriterSize(conn, bufferSize),
		requests: map[uint64]*sentRequest{},
	}
	if err := c.handshake(name); err != nil {
		c.close()
		return nil, fmt.Errorf("%s: %w", target, err)
	}
	return c, nil
}

func (c *client) handshake(name string) error {
	if err := c.conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	hello := &pb.Hello{Role: pb.Role_CLIENT, Name: name, Incarnation: uint64(time.Now().UnixNano()), SentMs: processTime()}
	if err := c.send(transport.HelloFrame(hello)); err != nil {
		return err
	}
	if err := c.out.Flush(); err != nil {
		return err
	}
	f, err := c.receive()
	if err != nil {
		return err
	}
	if _, err := transport.CheckHello(f); err != nil {
		return err
	}
	return c.conn.SetDeadline(time.Time{})
}

// send puts a frame into the buffer.
func (c *client) send(f *pb.Frame) error {
	b, err := transport.AppendFrame(nil, f)
	if err != nil {
		return err
	}
	_, err = c.out.Write(b)
	return err
}

func (c *client) receive() (*pb.Frame, error) { return transport.ReadFrame(c.in, maxFrameSize) }

// close ends the connection. Errors are of no interest: nothing that was sent is waited for any more.
func (c *client) close() { _ = c.conn.Close() }

// requestFrame returns the frame of a request that has some time left until its pending timeout.
func (c *client) requestFrame(number uint64, r Request, left time.Duration) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId: number, Key: c.idempotencyKey(number), Service: r.Service, Group: r.Group, Cores: r.Cores, Memory: r.Memory,
		PendingTimeoutMs: inMilliseconds(left), ExpectedRuntimeMs: inMilliseconds(r.RunTime), Retried: r.Retried, SentMs: processTime(),
	}}}
}

// idempotencyKey returns a key that requests of other connections and runs do not have.
func (c *client) idempotencyKey(number uint64) uint64 {
	const numberFactor = 0x9e3779b97f4a7c15 // odd, and its bits spread: successive numbers give distant keys
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.conn.LocalAddr().String())) // a hash never returns an error
	return h.Sum64() ^ uint64(time.Now().UnixNano())<<20 ^ number*numberFactor
}

// processStart is the zero of processTime.
var processStart = time.Now()

// processTime is the time in ms that frames are stamped with.
func processTime() float64 { return inMilliseconds(time.Since(processStart)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
