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
	replyLimit   = 20 * time.Second
	maxFrameSize = 1 << 20
)

// peer is one end of a connection that speaks the allocator's protocol.
type peer struct {
	conn net.Conn
	in   *bufio.Reader
	mu   sync.Mutex // of writes
}

func newPeer(conn net.Conn) *peer { return &peer{conn: conn, in: bufio.NewReader(conn)} }

// dial connects to an allocator as a client and exchanges hellos.
func dial(address, name string, incarnation uint64) (*peer, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	p := newPeer(conn)
	err = p.send(transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT, Name: name, Incarnation: incarnation}))
	if err == nil {
		_, err = p.receive()
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
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

// receive waits for a frame, as a client does that has sent a request.
func (p *peer) receive() (*pb.Frame, error) {
	if err := p.conn.SetReadDeadline(time.Now().Add(replyLimit)); err != nil {
		return nil, err
	}
	return p.next()
}

// next waits for a frame without a limit, as a server does.
func (p *peer) next() (*pb.Frame, error) { return transport.ReadFrame(p.in, maxFrameSize) }

// close ends the connection; an error says nothing that a test depends on.
func (p *peer) close() { _ = p.conn.Close() }
