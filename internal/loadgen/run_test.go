package loadgen

import (
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

// runLoad sends the requests and returns the result; an error fails the test.
func runLoad(t *testing.T, target string, connections int, requests ...Request) *Result {
	t.Helper()
	options := Options{
		Target:      target,
		Connections: connections,
		Name:        "t",
	}
	result, err := Run(context.Background(), &fixedSchedule{requests: requests}, options)
	require.NoError(t, err)
	return result
}

// requestAt returns a request that is due at the given time since the start of the load.
func requestAt(at time.Duration) Request {
	return Request{
		At:             at,
		Group:          "g",
		Cores:          1,
		Memory:         1,
		PendingTimeout: 5 * time.Second,
	}
}

// requestsAtIntervals returns requests that are due at even intervals, the first at the start of the load.
func requestsAtIntervals(count int, interval time.Duration) []Request {
	var requests []Request
	for i := range count {
		requests = append(requests, requestAt(time.Duration(i)*interval))
	}
	return requests
}

// Guards against a generator that waits for an answer before it sends the next request, and so measures latencies that
// are too short. The allocator answers only when it has all requests, so the first request's latency covers the time
// until the last is due. It rejects every fifth.
func TestRun_RequestsDoNotWaitForAnswers(t *testing.T) {
	const (
		requestCount   = 50
		rejectionEvery = 5
		rejected       = requestCount / rejectionEvery
		intervalMs     = 2
	)
	target := emulateAllocator(t, func(p *peer) {
		var received []uint64
		for len(received) < requestCount {
			number := p.receiveRequest()
			if number == 0 {
				return
			}
			received = append(received, number)
		}
		for i, number := range received {
			verdict := pb.Verdict_PLACED
			if i%rejectionEvery == 0 {
				verdict = pb.Verdict_REJECTED
			}
			p.answer(number, verdict)
		}
	})

	result := runLoad(t, target, 1, requestsAtIntervals(requestCount, intervalMs*time.Millisecond)...)

	assert.Equal(t, requestCount, result.Sent)
	assert.Equal(t, requestCount-rejected, result.Placed)
	assert.Equal(t, rejected, result.Rejected)
	assert.Equal(t, map[string]int{rejectionReason: rejected}, result.Reasons)
	assert.GreaterOrEqual(t, result.Latency.Max, float64(intervalMs*(requestCount-1)), "from the scheduled time")
	assert.EqualValues(t, requestCount, result.Latency.Count)
	assert.Zero(t, result.Unanswered)
	assert.Empty(t, result.Wrong)
}

func TestRun_ProtocolViolations_Reported(t *testing.T) {
	target := emulateAllocator(t, func(p *peer) {
		number := p.receiveRequest()
		p.answer(number, pb.Verdict_REJECTED)
		p.answer(number, pb.Verdict_PLACED)
		p.answer(99, pb.Verdict_PLACED)
		p.receiveRequest()
		_ = p.conn.Close() // the second request is unanswered
	})
	result := runLoad(t, target, 1, requestAt(0), requestAt(time.Millisecond))
	assert.Equal(t, []string{
		"a second answer for request 1",
		"an answer for request 99, which waits for none",
	}, result.Wrong)
	assert.Equal(t, 1, result.Unanswered)
	assert.NotEmpty(t, result.Broken)
	assert.False(t, result.Good())
}

func TestRun_UnansweredRequest_Counted(t *testing.T) {
	target := emulateAllocator(t, func(p *peer) {
		p.receiveRequest()
		p.receiveRequest() // blocks until the connection ends, since no second request is sent
	})
	result := runLoad(t, target, 1, Request{Group: "g", PendingTimeout: 10 * time.Millisecond})
	assert.Equal(t, 1, result.Unanswered)
	assert.Zero(t, result.Latency.Count, "an unanswered request has no latency")
}

// Guards against an overrun that is not reported. All requests are due 1 s before the load starts, so all are late.
func TestRun_GeneratorTooSlow_ReportsOverrun(t *testing.T) {
	target := emulateAllocator(t, func(p *peer) {
		for number := p.receiveRequest(); number != 0; number = p.receiveRequest() {
			p.answer(number, pb.Verdict_REJECTED)
		}
	})
	var requests []Request
	for range 2000 {
		requests = append(requests, requestAt(-time.Second))
	}
	result := runLoad(t, target, 4, requests...)
	assert.True(t, result.Overrun)
	assert.False(t, result.Good())
	assert.Greater(t, result.SendDelay.Median, 900.0)
}

func TestRun_ConnectionFails_ErrorHasTarget(t *testing.T) {
	_, err := Run(context.Background(), &fixedSchedule{}, Options{Target: "127.0.0.1:1", Connections: 1})
	require.ErrorContains(t, err, "no allocator at 127.0.0.1:1")
}

func TestRun_EmptySchedule_CountsNothingDue(t *testing.T) {
	target := emulateAllocator(t, func(*peer) {})
	result := runLoad(t, target, 1)
	assert.Zero(t, result.Due)
}

func TestRun_PeerRefusesHello_ReturnsReason(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { assert.NoError(t, listener.Close()) }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			(&peer{conn: conn}).send(transport.RefusalFrame("no clients accepted"))
		}
	}()
	target := listener.Addr().String()
	_, err = Run(context.Background(), &fixedSchedule{}, Options{Target: target, Connections: 1})
	var refused *transport.RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, "no clients accepted", refused.Reason)
	assert.ErrorContains(t, err, target)
}

// An allocator without nodes rejects all requests immediately, with the same reason.
func TestRun_AllocatorWithoutNodes_RejectsAllRequests(t *testing.T) {
	target := startAllocator(t)
	result := runLoad(t, target, 2, requestAt(0), requestAt(0), requestAt(0))
	assert.Equal(t, 3, result.Rejected)
	assert.True(t, result.Good() || result.Overrun)
	assert.Len(t, result.Reasons, 1)
}

// startAllocator starts an allocator that has no nodes, and returns its address.
func startAllocator(t *testing.T) string {
	t.Helper()
	group := placement.Group{
		LatencyObjective: 1000,
		PriorityWeight:   1,
		RequiredKind:     -1,
	}
	frontend := native.New(native.Config{
		Name:        "a",
		Incarnation: 1,
		GroupNames:  []string{"g"},
		KindNames:   []string{"k"},
		Settings: placement.Settings{
			Allocators: 1,
			Groups:     []placement.Group{group},
			NodeKinds:  []placement.NodeKind{{Cores: 2, Memory: 2}},
			MaxBinds:   3,
		},
	})
	loop := transport.NewLoop(nil)
	t.Cleanup(loop.Close)
	address, err := loop.ListenFrames(frontend, "127.0.0.1:0", transport.DefaultLimits)
	require.NoError(t, err)
	loop.Run()
	return address
}
