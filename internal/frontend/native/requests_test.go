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

// rejectionReasons returns the reasons of the rejections sent to the client since the last call, in order.
func (h *testHarness) rejectionReasons() []string {
	h.t.Helper()
	var reasons []string
	for _, frame := range h.network.takeSent(clientConn) {
		assert.Equal(h.t, pb.Verdict_REJECTED, frame.GetAnswer().GetVerdict())
		reasons = append(reasons, frame.GetAnswer().GetReason())
	}
	return reasons
}

func TestRequest_NoNodeListed_RejectedAtTimeout(t *testing.T) {
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

// Frames that were queued during a stall of the process are older than their receive time indicates.
func TestRequest_AfterProcessStall_HasLessTimeLeft(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.advanceTo(100)
	harness.setTime(3100)
	harness.request(1, atMostOnce)
	assert.InDelta(t, 3000-answerMargin, harness.offer(nodeConn).AcceptWithinMs, 1)
}

// Guards against undetected stalls of an idle process. A search found that a request that was queued during a stall of
// 60 ms counted as new, and was answered 2 ms after its client's timeout.
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

// Guards against answering a request twice, if it is received again after its answer, and against placing a request
// that is received after its withdrawal. A network or client that duplicates or reorders frames causes both.
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
	// A new connection is a new session: a restarted client may number its requests from 1 again.
	harness.closeConn(clientConn, errClosed)
	harness.connectClient(clientConn, clientName)
	harness.request(1, "unknown")
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, harness.verdicts())
}

func TestRequestHistory_Full_DropsOldest(t *testing.T) {
	history := &requestHistory{}
	for request := range uint64(3 * maxHistory) {
		history.add(request, requestAnswered)
		history.add(request, requestAnswered)
	}
	assert.Len(t, history.ended, maxHistory)
	assert.Contains(t, history.ended, uint64(3*maxHistory-1))
	assert.NotContains(t, history.ended, uint64(2*maxHistory-1))
}

// A request counts as delayed only if its transit time exceeds the shortest one of its session in the last minute.
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
		{1000, 5000, undelayed, "first frame of its session"},
		{2000, 5700, undelayed - 300, "300 ms later than the first"},
		{3000, 7000, undelayed, "same transit time as the first"},
		{3000, 0, undelayed, "no send time"},
		{4000 + transitWindow, 7900, undelayed, "all earlier frames are older than transitWindow"},
	} {
		if test.receivedAt > harness.now {
			harness.advanceTo(test.receivedAt)
		}
		harness.request(uint64(i+1), atMostOnce, func(request *pb.PlaceRequest) { request.SentMs = test.sentMs })
		assert.InDelta(t, test.acceptWithinMs, harness.offer(nodeConn).AcceptWithinMs, 1e-6, test.reason)
	}
}

func TestTransitTimes_Full_DropsOldest(t *testing.T) {
	transit := &transitTimes{}
	for range 2 * maxTransitTimes {
		transit.observe(4000, 8000)
	}
	assert.Len(t, *transit, maxTransitTimes)
}

func TestRequest_KeyInJournal_AnsweredImmediately(t *testing.T) {
	recovered := recovery.Bind{
		Key:         101,
		Group:       atMostOnce,
		Incarnation: allocatorIncarnation - 1,
		ExpiresAt:   1e6,
	}
	harness := newHarness(t, func(c *Config) {
		c.Journal = &fakeJournal{}
		c.RecoveredBinds = []recovery.Bind{recovered}
		c.MaxDurableKeys = 1
	})
	harness.startNode(1)
	harness.request(1, atMostOnce)
	harness.request(2, atMostOnce)
	harness.requestGang(3, func(request *pb.GangRequest) { request.Parts[1].Key = recovered.Key })
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

func TestRequest_UnexpectedFrameOfClient_Refused(t *testing.T) {
	harness := newHarness(t)
	harness.receive(clientConn, healthCheck())
	assert.True(t, harness.network.closed[clientConn])
	assert.Contains(t, harness.network.takeSent(clientConn)[0].GetRefusal().GetReason(), "Frame_Probe")
}
