package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "grebeglade/proto/grebeglade/v1"
)

// Guards against treating a part whose lease expired as finished. A search found the fault (seed 72, run 537): after a
// forward step of a node's clock, a gang was confirmed with one part of three left.
func TestGangPart_LeaseExpired_NotFinished(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.requestGang(1)
	offers := harness.offers(nodeConn)
	harness.startWorkload(nodeConn, offers[0].Bind)
	harness.endWorkload(nodeConn, offers[0].Bind, pb.Reason_LEASE_EXPIRED)
	harness.startWorkload(nodeConn, offers[1].Bind)
	assert.Empty(t, harness.verdicts(), "the gang is rolled back and retried later")
	assert.NotNil(t, harness.network.takeSent(nodeConn)[0].GetStop())
}

func TestGangPart_LostToBeReplaced_OfferedAgain(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	offers := harness.runGang(nodeConn, func(request *pb.GangRequest) {
		request.Replace = true
		request.ReplaceTimeoutMs = 3000
	})
	harness.endWorkload(nodeConn, offers[0].Bind, pb.Reason_LOST)
	replacement := harness.offer(nodeConn)
	assert.Equal(t, offers[0].Gang.Part, replacement.Gang.Part)
	assert.InDelta(t, 3000+float64(leaseMargin), replacement.Gang.LeaseMs, 1e-6)
	harness.startWorkload(nodeConn, replacement.Bind)
	sent := harness.network.takeSent(nodeConn)
	require.Len(t, sent, 2)
	assert.Equal(t, replacement.Bind, sent[0].GetConfirmGang().GetBind())
	assert.Empty(t, harness.network.takeSent(clientConn), "the client is not notified of a replacement")
}

func TestGangPart_AtMostOnceUnanswered_GangUnschedulable(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.requestGang(1, firstPartAtMostOnce)
	offers := harness.offers(nodeConn)
	require.Len(t, offers, 2)
	harness.startWorkload(nodeConn, offers[1].Bind)
	harness.advanceTo(6000)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_UNSCHEDULABLE}, harness.verdicts())
	assert.Contains(t, harness.stops(nodeConn), offers[0].Bind, "the part may run, but its gang is rolled back")
}

func TestGangPart_AtMostOnceConnectionLost_GangUnschedulable(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.requestGang(1, firstPartAtMostOnce)
	require.Len(t, harness.offers(nodeConn), 2)
	harness.closeConn(nodeConn, errReset)
	answers := harness.answers()
	require.Len(t, answers, 1)
	assert.Equal(t, pb.Verdict_UNSCHEDULABLE, answers[0].Verdict)
	assert.Equal(t, reasonPartMayHaveRun, answers[0].Reason)
	assert.Empty(t, harness.gangs.byRequest)
}

func TestGangPart_ConfirmationMeansRunning_PlacedOnAcceptance(t *testing.T) {
	harness := newHarness(t, func(c *Config) { c.Settings.ConfirmsRunning = true })
	nodeConn := harness.startNode(1)
	harness.requestGang(1)
	for _, offer := range harness.offers(nodeConn) {
		harness.acceptOffer(nodeConn, offer.Bind)
	}
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_PLACED}, harness.verdicts())
}

// firstPartAtMostOnce sets the group of a gang's first part to atMostOnce.
func firstPartAtMostOnce(request *pb.GangRequest) { request.Parts[0].Group = atMostOnce }
