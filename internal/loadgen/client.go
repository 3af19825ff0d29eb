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
	bufferSize       = 1 << 16  // bytes, for reading and for writing
	flushThreshold   = 1 << 15  // buffered bytes above which frames are flushed without waiting for a pause
	maxFrameSize     = 16 << 20 // bytes
)

// requestState is the state of a sent request.
type requestState uint8

const (
	requestPending  requestState = iota
	requestPlaced                // answered; the workload has not ended
	requestAnswered              // answered: rejected or unschedulable
	requestLost                  // not answered before the connection was lost
)

// sentRequest is a request that was sent. It is deleted when its workload ends.
type sentRequest struct {
	due     time.Time // scheduled time
	expires time.Time // end of the pending timeout
	state   requestState
}

// client is a connection to the allocator. After the handshake, only the sending goroutine uses out, and only the
// connection's reading goroutine uses in. The tally's mutex guards requests, last and err.
type client struct {
	conn     net.Conn
	in       *bufio.Reader
	out      *bufio.Writer
	requests map[uint64]*sentRequest // key: request number
	last     uint64                  // number of the latest request, 0 for none
	err      error                   // cause of the connection's loss, nil while it is open
}

// connect opens a connection and exchanges hellos.
func connect(target, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", target, handshakeTimeout)
	if err != nil {
		return nil, fmt.Errorf("no allocator at %s: %w", target, err)
	}
	c := &client{
		conn:     conn,
		in:       bufio.NewReaderSize(conn, bufferSize),
		out:      bufio.NewWriterSize(conn, bufferSize),
		requests: map[uint64]*sentRequest{},
	}
	if err := c.handshake(name); err != nil {
		c.close()
		return nil, fmt.Errorf("handshake with %s: %w", target, err)
	}
	return c, nil
}

// handshake sends the client's hello and checks the allocator's. The incarnation is the current time, so that each run
// is a new incarnation of the client.
func (c *client) handshake(name string) error {
	if err := c.conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set the handshake deadline: %w", err)
	}
	hello := &pb.Hello{
		Role:        pb.Role_CLIENT,
		Name:        name,
		Incarnation: uint64(time.Now().UnixNano()),
		SentMs:      processTime(),
	}
	if err := c.send(transport.HelloFrame(hello)); err != nil {
		return err
	}
	if err := c.flush(); err != nil {
		return err
	}
	reply, err := c.receive()
	if err != nil {
		return err
	}
	if _, err := transport.CheckHello(reply); err != nil {
		return err
	}
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear the handshake deadline: %w", err)
	}
	return nil
}

// send appends a frame to the write buffer, which is written when it is full.
func (c *client) send(frame *pb.Frame) error {
	encoded, err := transport.AppendFrame(nil, frame)
	if err != nil {
		return err
	}
	if _, err := c.out.Write(encoded); err != nil {
		return fmt.Errorf("send to the allocator: %w", err)
	}
	return nil
}

// flush writes the buffered frames.
func (c *client) flush() error {
	if err := c.out.Flush(); err != nil {
		return fmt.Errorf("send to the allocator: %w", err)
	}
	return nil
}

// receive blocks until a frame arrives or the connection ends.
func (c *client) receive() (*pb.Frame, error) { return transport.ReadFrame(c.in, maxFrameSize) }

// close ends the connection. The error is ignored, since no more answers are read.
func (c *client) close() { _ = c.conn.Close() }

// requestFrame returns the frame of a request; pendingTimeout is the time left until the request expires.
func (c *client) requestFrame(number uint64, request Request, pendingTimeout time.Duration) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId:         number,
		Key:               c.idempotencyKey(number),
		Service:           request.Service,
		Group:             request.Group,
		Cores:             request.Cores,
		Memory:            request.Memory,
		PendingTimeoutMs:  toMillis(pendingTimeout),
		ExpectedRuntimeMs: toMillis(request.RunTime),
		Retried:           request.Retried,
		SentMs:            processTime(),
	}}}
}

// idempotencyKey returns a key that differs, with high probability, from those of other connections and runs.
func (c *client) idempotencyKey(number uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, odd: spreads successive numbers
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.conn.LocalAddr().String())) // a hash never returns an error
	return hash.Sum64() ^ uint64(time.Now().UnixNano())<<20 ^ number*multiplier
}

// processStart is the origin of processTime.
var processStart = time.Now()

// processTime returns the time in ms since processStart, for the SentMs of frames.
func processTime() float64 { return toMillis(time.Since(processStart)) }

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
