package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/recovery"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// answerMargin is how long, in ms, before a request's timeout the placement module answers it.
const answerMargin = 20

func TestRequest_SentTwice_PlacedOnce(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.request(1, idempotent)
	harness.request(1, idempotent)
	offer := harness.offer(nodeConn)
	assert.Equal(t, uint64(1), harness.Counters.DuplicateRequests)
	harness.request(2, idempotent, func(request *pb.PlaceRequest) { request.Key = offer.Request.Key })
	assert.Equal(t, map[uint64]pb.Verdict{2: pb.Verdict_REJECTED}, harness.verdicts())
}

// rejectionReasons returns the reasons of the rejections that the client was sent since the last call, in order.
func (h *testHarness) rejectionReasons() []string {
	h.t.Helper()
	var reasons []string
	for _, frame := range h.network.takeSent(clientConn) {
		assert.Equal(h.t, pb.Verdict_REJECTED, frame.GetAnswer().GetVerdict())
		reasons = append(reasons, frame.GetAnswer().GetReason())
	}
	return reasons
}

func TestRequest_NoNodeKnown_RejectedAtTimeout(t *testing.T) {
	harness := newHarness(t)
	harness.request(1, idempotent, func(request *pb.PlaceRequest) { request.PendingTimeoutMs = 10 })
	harness.advanceTo(2000)
	assert.Equal(t, []string{"no node is known"}, harness.rejectionReasons())
}

func TestRequest_NotAdmissible_RejectedWithReason(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*pb.PlaceRequest)
		reason string
	}{
		"group unknown": {
			change: func(request *pb.PlaceRequest) { request.Group = "nobody" },
			reason: `group "nobody" is not known here; known are ["serve" "once" "check"]`,
		},
		"no cores": {
			change: func(request *pb.PlaceRequest) { request.Cores = 0 },
			reason: "cores is 0; it must be above 0",
		},
		"memory negative": {
			change: func(request *pb.PlaceRequest) { request.Memory = -1 },
			reason: "memory is -1; it must be above 0",
		},
		"no time": {
			change: func(request *pb.PlaceRequest) { request.PendingTimeoutMs = 0 },
			reason: "left_ms is 0; it must be above 0",
		},
		"larger than any node": {
			change: func(request *pb.PlaceRequest) { request.Cores = 99 },
			reason: "it is larger than any kind of node",
		},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.startNode(1)
			harness.request(1, idempotent, test.change)
			assert.Equal(t, []string{test.reason}, harness.rejectionReasons())
		})
	}
}

func TestRequest_FrontendFullOrDraining_Rejected(t *testing.T) {
	harness := newHarness(t, func(c *Config) { c.MaxWorkloads = 1 })
	nodeConn := harness.startNode(1)
	harness.request(6, idempotent, func(request *pb.PlaceRequest) { request.Cores = 99 })
	assert.Equal(t, []string{"it is larger than any kind of node"}, harness.rejectionReasons(),
		"a rejected request does not count")
	harness.request(7, idempotent)
	harness.offer(nodeConn)
	harness.request(8, idempotent)
	assert.Equal(t, []string{"the allocator holds 1 workloads, the most it may"}, harness.rejectionReasons())
	harness.Drain()
	harness.request(9, idempotent)
	assert.Equal(t, []string{"the allocator is stopping; ask another"}, harness.rejectionReasons())
	assert.Equal(t, 1, harness.Pending())
}

// Frames that waited while the process was stopped are older than they look.
func TestRequest_AfterProcessStall_HasLessTimeLeft(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.advanceTo(100)
	harness.setTime(3100)
	harness.request(1, atMostOnce)
	assert.InDelta(t, 3000-answerMargin, harness.offer(nodeConn).AcceptWithinMs, 1)
}

// A process without anything to do did not notice a stall of 60 ms, and took a request that had waited through it for a
// new one: its answer was sent 2 ms after its client's timeout. Found by a search.
func TestRequest_AfterShortStallWhileIdle_HasLessTimeLeft(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.advanceTo(5000)
	harness.setTime(5060)
	harness.request(1, atMostOnce)
	acceptWithin := harness.offer(nodeConn).AcceptWithinMs
	assert.Less(t, acceptWithin, 6000.0-answerMargin-40)
	assert.Greater(t, acceptWithin, 6000.0-answerMargin-100)
}

// A request that arrived again after its answer was answered twice; one that arrived after its withdrawal was
// placed for no client. Both need a network, or a client, that repeats or reorders what it sends.
func TestRequest_RepeatedAfterAnswerOrWithdrawal_Ignored(t *testing.T) {
	harness := newHarness(t)
	harness.request(1, "unknown")
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, harness.verdicts())
	harness.request(1, "unknown")
	assert.Empty(t, harness.verdicts())
	harness.withdraw(2)
	harness.request(2, atMostOnce)
	assert.Empty(t, harness.verdicts())
	assert.EqualValues(t, 2, harness.Counters.DuplicateRequests)
	// Another connection is another session: a client that starts anew may number its requests from 1 again.
	harness.closeConn(clientConn, errClosed)
	harness.connectClient(clientConn, clientName)
	harness.request(1, "unknown")
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, harness.verdicts())
}

func TestRequestHistory_Full_ForgetsOldest(t *testing.T) {
	history := &requestHistory{}
	for request := range uint64(3 * maxHistory) {
		history.add(request, requestAnswered)
		history.add(request, requestAnswered)
	}
	assert.Len(t, history.ended, maxHistory)
	assert.Contains(t, history.ended, uint64(3*maxHistory-1))
	assert.NotContains(t, history.ended, uint64(2*maxHistory-1))
}

// Only a request that was longer in transit than the quickest frame of its session in the last minute was delayed.
func TestRequest_DelayedByNetwork_HasLessTimeLeft(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	const undelayed = 6000 - answerMargin
	for i, test := range []struct {
		receivedAt     placement.Millis
		sentMs         float64
		acceptWithinMs float64
		reason         string
	}{
		{1000, 5000, undelayed, "the first of its connection"},
		{2000, 5700, undelayed - 300, "300 ms later than the first"},
		{3000, 7000, undelayed, "as quick as the first"},
		{3000, 0, undelayed, "its client sends no time"},
		{4000 + transitWindow, 7900, undelayed, "no earlier frame to compare it with any more"},
	} {
		if test.receivedAt > harness.now {
			harness.advanceTo(test.receivedAt)
		}
		harness.request(uint64(i+1), atMostOnce, func(request *pb.PlaceRequest) { request.SentMs = test.sentMs })
		assert.InDelta(t, test.acceptWithinMs, harness.offer(nodeConn).AcceptWithinMs, 1e-6, test.reason)
	}
}

func TestTransitTimes_Full_ForgetsOldest(t *testing.T) {
	transit := &transitTimes{}
	for range 2 * maxTransitTimes {
		transit.observe(4000, 8000)
	}
	assert.Len(t, *transit, maxTransitTimes)
}

func TestRequest_KeyKnownToJournal_AnsweredAtOnce(t *testing.T) {
	known := recovery.Bind{
		Key:         101,
		Group:       atMostOnce,
		Incarnation: allocatorIncarnation - 1,
		ExpiresAt:   1e6,
	}
	harness := newHarness(t, func(c *Config) {
		c.Journal = &fakeJournal{}
		c.RecoveredBinds = []recovery.Bind{known}
		c.MaxDurableKeys = 1
	})
	harness.startNode(1)
	harness.request(1, atMostOnce)
	harness.request(2, atMostOnce)
	harness.requestGang(3, func(request *pb.GangRequest) { request.Parts[1].Key = known.Key })
	answers := harness.answers()
	require.Len(t, answers, 3)
	assert.Equal(t, pb.Verdict_UNSCHEDULABLE, answers[0].Verdict)
	assert.Equal(t, reasonKeyBound, answers[0].Reason)
	assert.Equal(t, pb.Verdict_REJECTED, answers[1].Verdict)
	assert.Equal(t, reasonRegistryFull, answers[1].Reason)
	assert.Equal(t, pb.Verdict_UNSCHEDULABLE, answers[2].Verdict)
	assert.Equal(t, reasonPartKeyBound, answers[2].Reason)
	assert.Equal(t, uint64(3), harness.Counters.AnsweredFromJournal)
	assert.Zero(t, harness.WorkloadCount())
}

func TestRequest_UnknownFrameOfClient_Refused(t *testing.T) {
	harness := newHarness(t)
	harness.receive(clientConn, healthCheck())
	assert.True(t, harness.network.closed[clientConn])
	assert.Contains(t, harness.network.takeSent(clientConn)[0].GetRefusal().GetReason(), "Frame_Probe")
}
