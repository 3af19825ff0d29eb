package loadgen

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/native"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// peer is an allocator's side of a connection. Its methods ignore errors: what is not sent shows in what the client counts.
type peer struct {
	conn net.Conn
	in   *bufio.Reader
}

func (p *peer) receive() (*pb.Frame, error) { return transport.ReadFrame(p.in, maxFrameSize) }

func (p *peer) send(f *pb.Frame) {
	if b, err := transport.AppendFrame(nil, f); err == nil {
		_, _ = p.conn.Write(b)
	}
}

// receiveRequest returns the number of the next request, or 0 once the connection has ended.
func (p *peer) receiveRequest() uint64 {
	f, err := p.receive()
	if err != nil {
		return 0
	}
	return f.GetPlaceRequest().GetRequestId()
}

// fakeAllocator returns the address of an allocator that serves each connection with a function.
func fakeAllocator(t *testing.T, serve func(p *peer)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, l.Close()) })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				p := &peer{conn: conn, in: bufio.NewReader(conn)}
				if _, err := p.receive(); err == nil {
					p.send(transport.HelloFrame(&pb.Hello{Role: pb.Role_ALLOCATOR, Name: "a", Incarnation: 1}))
					serve(p)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func answer(request uint64, v pb.Verdict) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{RequestId: request, Verdict: v, Reason: "so"}}}
}

func run(t *testing.T, target string, conns int, requests ...Request) *Result {
	t.Helper()
	r, err := Run(context.Background(), &fixedSchedule{requests: requests}, Options{Target: target, Connections: conns, Name: "t"})
	require.NoError(t, err)
	return r
}

func requestAt(at time.Duration) Request {
	return Request{At: at, Group: "g", Cores: 1, Memory: 1, PendingTimeout: 5 * time.Second}
}

// The allocator answers nothing until it has all requests, so the first request's latency holds the whole time until the
// last one is due.
func TestRun_RequestsDoNotWaitForAnswers(t *testing.T) {
	const n = 50
	target := fakeAllocator(t, func(p *peer) {
		var got []uint64
		for len(got) < n {
			number := p.receiveRequest()
			if number == 0 {
				return
			}
			got = append(got, number)
		}
		for i, number := range got {
			v := pb.Verdict_PLACED
			if i%5 == 0 {
				v = pb.Verdict_REJECTED
			}
			p.send(answer(number, v))
		}
	})
	var requests []Request
	for i := range n {
		requests = append(requests, requestAt(time.Duration(i)*2*time.Millisecond))
	}
	r := run(t, target, 1, requests...)
	assert.Equal(t, n, r.Sent)
	assert.Equal(t, n/5*4, r.Placed)
	assert.Equal(t, n/5, r.Rejected)
	assert.Equal(t, map[string]int{"so": n / 5}, r.Reasons)
	assert.GreaterOrEqual(t, r.Latency.Max, 2.0*(n-1), "from when it was due")
	assert.EqualValues(t, n, r.Latency.Count)
	assert.Zero(t, r.Unanswered)
	assert.Empty(t, r.Wrong)
}

func TestRun_ProtocolViolations_Reported(t *testing.T) {
	target := fakeAllocator(t, func(p *peer) {
		number := p.receiveRequest()
		p.send(answer(number, pb.Verdict_REJECTED))
		p.send(answer(number, pb.Verdict_PLACED))
		p.send(answer(99, pb.Verdict_PLACED))
		p.receiveRequest()
		_ = p.conn.Close() // with a request unanswered
	})
	r := run(t, target, 1, requestAt(0), requestAt(time.Millisecond))
	assert.Equal(t, []string{"a second answer for request 1", "an answer for request 99, which waits for none"}, r.Wrong)
	assert.Equal(t, 1, r.Unanswered)
	assert.NotEmpty(t, r.Broken)
	assert.False(t, r.Good())
}

func TestRun_UnansweredRequest_Counted(t *testing.T) {
	target := fakeAllocator(t, func(p *peer) { p.receiveRequest(); p.receiveRequest() })
	r := run(t, target, 1, Request{Group: "g", PendingTimeout: 10 * time.Millisecond})
	assert.Equal(t, 1, r.Unanswered)
	assert.Zero(t, r.Latency.Count, "what has no answer has no latency")
}

// All requests are late already when the load begins.
func TestRun_GeneratorTooSlow_ReportsOverrun(t *testing.T) {
	target := fakeAllocator(t, func(p *peer) {
		for number := p.receiveRequest(); number != 0; number = p.receiveRequest() {
			p.send(answer(number, pb.Verdict_REJECTED))
		}
	})
	var requests []Request
	for range 2000 {
		requests = append(requests, requestAt(-time.Second))
	}
	r := run(t, target, 4, requests...)
	assert.True(t, r.Overrun)
	assert.False(t, r.Good())
	assert.Greater(t, r.SendDelay.Median, 900.0)
}

func TestRun_ConnectionFails_ErrorNamesTarget(t *testing.T) {
	_, err := Run(context.Background(), &fixedSchedule{}, Options{Target: "127.0.0.1:1", Connections: 1})
	require.ErrorContains(t, err, "no allocator at 127.0.0.1:1")
	target := fakeAllocator(t, func(*peer) {})
	r := run(t, target, 1)
	assert.Zero(t, r.Due)
}

func TestRun_PeerRefusesHello_ReturnsItsReason(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { assert.NoError(t, l.Close()) }()
	go func() {
		if conn, err := l.Accept(); err == nil {
			(&peer{conn: conn}).send(transport.RefusalFrame("not here"))
		}
	}()
	_, err = Run(context.Background(), &fixedSchedule{}, Options{Target: l.Addr().String(), Connections: 1})
	var refused *transport.RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, "not here", refused.Reason)
	assert.ErrorContains(t, err, l.Addr().String())
}

// Without a node, an allocator rejects all requests at once, with the reason.
func TestRun_RealAllocator_Rejects(t *testing.T) {
	loop := transport.NewLoop(nil)
	defer loop.Close()
	p := native.New(native.Config{
		Name: "a", Incarnation: 1, GroupNames: []string{"g"}, KindNames: []string{"k"},
		Settings: placement.Settings{
			Allocators: 1, Groups: []placement.Group{{LatencyObjective: 1000, PriorityWeight: 1, RequiredKind: -1}}, NodeKinds: []placement.NodeKind{{Cores: 2, Memory: 2}}, MaxBinds: 3,
		},
	})
	addr, err := loop.ListenFrames(p, "127.0.0.1:0", transport.DefaultLimits)
	require.NoError(t, err)
	loop.Run()
	r := run(t, addr, 2, requestAt(0), requestAt(0), requestAt(0))
	assert.Equal(t, 3, r.Rejected)
	assert.True(t, r.Good() || r.Overrun)
	assert.Len(t, r.Reasons, 1)
}
