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

// sentRequest is a request that was sent. It is removed when its workload has ended.
type sentRequest struct {
	due     time.Time // by the schedule
	expires time.Time // its pending timeout
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
		conn:     conn,
		in:       bufio.NewReaderSize(conn, bufferSize),
		out:      bufio.NewWriterSize(conn, bufferSize),
		requests: map[uint64]*sentRequest{},
	}
	if err := c.handshake(name); err != nil {
		c.close()
		return nil, fmt.Errorf("%s: %w", target, err)
	}
	return c, nil
}

// handshake sends the client's hello and checks the allocator's. Each run is a new incarnation of the client.
func (c *client) handshake(name string) error {
	if err := c.conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set the deadline of the handshake: %w", err)
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
		return fmt.Errorf("clear the deadline of the handshake: %w", err)
	}
	return nil
}

// send puts a frame into the buffer.
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

// flush writes what is in the buffer.
func (c *client) flush() error {
	if err := c.out.Flush(); err != nil {
		return fmt.Errorf("send to the allocator: %w", err)
	}
	return nil
}

// receive waits for the next frame.
func (c *client) receive() (*pb.Frame, error) { return transport.ReadFrame(c.in, maxFrameSize) }

// close ends the connection. An error does not matter: no answer is waited for any more.
func (c *client) close() { _ = c.conn.Close() }

// requestFrame returns the frame of a request, pendingTimeout before it expires.
func (c *client) requestFrame(number uint64, request Request, pendingTimeout time.Duration) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId:         number,
		Key:               c.idempotencyKey(number),
		Service:           request.Service,
		Group:             request.Group,
		Cores:             request.Cores,
		Memory:            request.Memory,
		PendingTimeoutMs:  inMilliseconds(pendingTimeout),
		ExpectedRuntimeMs: inMilliseconds(request.RunTime),
		Retried:           request.Retried,
		SentMs:            processTime(),
	}}}
}

// idempotencyKey returns a key that requests of other connections and runs do not have.
func (c *client) idempotencyKey(number uint64) uint64 {
	const numberFactor = 0x9e3779b97f4a7c15 // odd, with well-mixed bits: successive numbers give distant keys
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.conn.LocalAddr().String())) // a hash never returns an error
	return hash.Sum64() ^ uint64(time.Now().UnixNano())<<20 ^ number*numberFactor
}

// processStart is the zero of processTime.
var processStart = time.Now()

// processTime is the time in ms that frames are stamped with.
func processTime() float64 { return inMilliseconds(time.Since(processStart)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
