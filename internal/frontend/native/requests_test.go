package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/recovery"
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestRequest_SentTwice_PlacedOnce(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.request(1, "serve")
	x.request(1, "serve")
	x.offer(n)
	assert.Equal(t, uint64(1), x.f.Counters.DuplicateRequests)
	x.request(2, "serve", func(a *pb.PlaceRequest) { a.Key = 101 })
	assert.Equal(t, map[uint64]pb.Verdict{2: pb.Verdict_REJECTED}, x.verdicts())
}

func TestRequest_NotAdmissible_RejectedWithReason(t *testing.T) {
	x := newFixture(t, func(c *Config) { c.MaxWorkloads = 1 })
	reasons := func() (all []string) {
		for _, f := range x.network.take(clientConn) {
			assert.Equal(t, pb.Verdict_REJECTED, f.GetAnswer().GetVerdict())
			all = append(all, f.GetAnswer().GetReason())
		}
		return all
	}
	x.request(1, "serve", func(a *pb.PlaceRequest) { a.PendingTimeoutMs = 10 })
	x.runUntil(2000)
	assert.Equal(t, []string{"no node is known"}, reasons())
	n := x.node(1)
	x.request(2, "nobody")
	x.request(3, "serve", func(a *pb.PlaceRequest) { a.Cores = 0 })
	x.request(4, "serve", func(a *pb.PlaceRequest) { a.Memory = -1 })
	x.request(5, "serve", func(a *pb.PlaceRequest) { a.PendingTimeoutMs = 0 })
	x.request(6, "serve", func(a *pb.PlaceRequest) { a.Cores = 99 })
	assert.Equal(t, []string{
		`group "nobody" is not known here; known are ["serve" "once" "check"]`, "cores is 0; it must be above 0",
		"memory is -1; it must be above 0", "left_ms is 0; it must be above 0", "it is larger than any kind of node",
	}, reasons())
	x.request(7, "serve")
	x.offer(n)
	x.request(8, "serve")
	assert.Equal(t, []string{"the allocator holds 1 workloads, the most it may"}, reasons())
	x.f.Drain()
	x.request(9, "serve")
	assert.Equal(t, []string{"the allocator is stopping; ask another"}, reasons())
	assert.Equal(t, 1, x.f.Pending())
}

// Frames that waited while the process was stopped are older than they look.
func TestRequest_AfterProcessStall_HasLessTimeLeft(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.runUntil(100)
	x.setTime(3100)
	x.request(1, "once")
	assert.InDelta(t, 3000-20, x.offer(n).AcceptWithinMs, 1)
}

// A process without anything to do did not notice a stall of 60 ms, and took a request that had waited through it for a new
// one: its answer was sent 2 ms after its client had given up. Found by a search.
func TestRequest_AfterShortStallWhileIdle_HasLessTimeLeft(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.runUntil(5000)
	x.setTime(5060)
	x.request(1, "once")
	left := x.offer(n).AcceptWithinMs
	assert.Less(t, left, 6000-20.0-40)
	assert.Greater(t, left, 6000-20.0-100)
}

// A request that arrived again after its answer was answered twice; one that arrived after its withdrawal was placed for
// nobody. Both need a network, or a client, that repeats or reorders what it sends.
func TestRequest_RepeatedAfterAnswerOrWithdrawal_Ignored(t *testing.T) {
	x := newFixture(t)
	x.request(1, "unknown")
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, x.verdicts())
	x.request(1, "unknown")
	assert.Empty(t, x.verdicts())
	x.withdraw(2)
	x.request(2, "once")
	assert.Empty(t, x.verdicts())
	assert.EqualValues(t, 2, x.f.Counters.DuplicateRequests)
	// Another connection is another session: a client that starts anew may number its requests from 1 again.
	x.f.Closed(x.now, clientConn, transport.ErrClosedByPeer)
	x.connectClient(clientConn, "o")
	x.request(1, "unknown")
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, x.verdicts())
}

func TestRequestHistory_Full_ForgetsOldest(t *testing.T) {
	h := &requestHistory{}
	for request := range uint64(3 * maxHistory) {
		h.add(request, false)
		h.add(request, false)
	}
	assert.Len(t, h.ended, maxHistory)
	assert.Contains(t, h.ended, uint64(3*maxHistory-1))
	assert.NotContains(t, h.ended, uint64(2*maxHistory-1))
}

// Only a request that was longer in transit than the quickest frame of its session in the last minute was delayed.
func TestRequest_DelayedByNetwork_HasLessTimeLeft(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	left := func(id uint64, sent float64) float64 {
		x.request(id, "once", func(a *pb.PlaceRequest) { a.SentMs = sent })
		return x.offer(n).AcceptWithinMs
	}
	x.runUntil(1000)
	assert.InDelta(t, 6000-20, left(1, 5000), 1e-6, "the first of its connection")
	x.runUntil(2000)
	assert.InDelta(t, 6000-20-300, left(2, 5700), 1e-6, "300 ms later than the first")
	x.runUntil(3000)
	assert.InDelta(t, 6000-20, left(3, 7000), 1e-6, "as quick as the first")
	assert.InDelta(t, 6000-20, left(4, 0), 1e-6, "its client sends no time")
	x.runUntil(4000 + transitWindow)
	assert.InDelta(t, 6000-20, left(5, 7900), 1e-6, "nothing to compare it with any more")
	for range 2 * maxTransitTimes {
		x.f.clients.byName["o"].transit.delay(x.now, 8000)
	}
	assert.Len(t, x.f.clients.byName["o"].transit, maxTransitTimes)
}

func TestRequest_KeyKnownToJournal_AnsweredAtOnce(t *testing.T) {
	known := recovery.Bind{Key: 101, Group: "once", Incarnation: 4, ExpiresAt: 1e6}
	x := newFixture(t, func(c *Config) {
		c.Journal, c.RecoveredBinds, c.MaxDurableKeys = &slowJournal{}, []recovery.Bind{known}, 1
	})
	x.node(1)
	x.request(1, "once")
	x.request(2, "once")
	x.requestGang(3, func(a *pb.GangRequest) { a.Parts[1].Key = known.Key })
	answers := x.answers()
	require.Len(t, answers, 3)
	assert.Equal(t, pb.Verdict_UNSCHEDULABLE, answers[0].Verdict)
	assert.Equal(t, reasonKeyBound, answers[0].Reason)
	assert.Equal(t, pb.Verdict_REJECTED, answers[1].Verdict)
	assert.Equal(t, reasonRegistryFull, answers[1].Reason)
	assert.Equal(t, pb.Verdict_UNSCHEDULABLE, answers[2].Verdict)
	assert.Equal(t, reasonPartKeyBound, answers[2].Reason)
	assert.Equal(t, uint64(3), x.f.Counters.AnsweredFromJournal)
	assert.Zero(t, x.f.WorkloadCount())
}

func TestRequest_UnknownFrameOfClient_Refused(t *testing.T) {
	x := newFixture(t)
	x.receive(clientConn, &pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: &pb.HealthCheck{}}})
	assert.True(t, x.network.closed[clientConn])
	assert.Contains(t, x.network.take(clientConn)[0].GetRefusal().GetReason(), "Frame_Probe")
}
