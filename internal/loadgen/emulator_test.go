package loadgen

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// rejectionReason is the reason in all answers of emulated allocators.
const rejectionReason = "test rejection"

// peer is the allocator's end of a connection. Its methods ignore write errors: a frame that is not sent is missing in
// the client's counts.
type peer struct {
	conn net.Conn
	in   *bufio.Reader
}

func (p *peer) receive() (*pb.Frame, error) { return transport.ReadFrame(p.in, maxFrameSize) }

func (p *peer) send(frame *pb.Frame) {
	if encoded, err := transport.AppendFrame(nil, frame); err == nil {
		_, _ = p.conn.Write(encoded)
	}
}

// receiveRequest returns the number of the next request, or 0 if the connection has ended.
func (p *peer) receiveRequest() uint64 {
	frame, err := p.receive()
	if err != nil {
		return 0
	}
	return frame.GetPlaceRequest().GetRequestId()
}

func (p *peer) answer(request uint64, verdict pb.Verdict) {
	p.send(&pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{
		RequestId: request,
		Verdict:   verdict,
		Reason:    rejectionReason,
	}}})
}

// emulateAllocator starts a listener that exchanges hellos as an allocator does and then calls serve, for each
// connection in a separate goroutine. It returns the listener's address.
func emulateAllocator(t *testing.T, serve func(p *peer)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, listener.Close()) })
	hello := &pb.Hello{
		Role:        pb.Role_ALLOCATOR,
		Name:        "a",
		Incarnation: 1,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				p := &peer{conn: conn, in: bufio.NewReader(conn)}
				if _, err := p.receive(); err == nil {
					p.send(transport.HelloFrame(hello))
					serve(p)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
