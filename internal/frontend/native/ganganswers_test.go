package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "grebeglade/proto/grebeglade/v1"
)

func TestGang_AllPartsRunning_AnsweredOnceAndConfirmedToNodes(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.requestGang(1)
	offers := harness.offers(nodeConn)
	require.Len(t, offers, 2)
	assert.InDelta(t, 6000+float64(leaseMargin), offers[0].Gang.LeaseMs, 1)
	harness.startWorkload(nodeConn, offers[0].Bind)
	assert.Empty(t, harness.verdicts())
	harness.startWorkload(nodeConn, offers[1].Bind)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_PLACED}, harness.verdicts())
	assert.Len(t, harness.confirmations(nodeConn), 2)
	// A confirmation that was lost with the connection is sent again for the part that the node reports as unconfirmed.
	harness.closeConn(nodeConn, errReset)
	confirmed := runningOf(offers[0])
	confirmed.Confirmed = true
	nodeConn = harness.reconnectNode(confirmed, runningOf(offers[1]))
	sent := harness.network.takeSent(nodeConn)[1:]
	require.Len(t, sent, 1)
	assert.Equal(t, offers[1].Bind, sent[0].GetConfirmGang().GetBind())
	// A withdrawal stops both parts. The gang is removed after they have ended.
	harness.withdraw(1)
	for _, frame := range harness.network.takeSent(nodeConn) {
		harness.endWorkload(nodeConn, frame.GetStop().Bind, pb.Reason_STOPPED)
	}
	assert.Zero(t, harness.WorkloadCount())
	assert.Empty(t, harness.gangs.byRequest)
}

func TestGang_RunningEnds_ClientNotified(t *testing.T) {
	t.Run("all parts finished", func(t *testing.T) {
		harness := newHarness(t)
		nodeConn := harness.startNode(1)
		for _, offer := range harness.runGang(nodeConn) {
			harness.endWorkload(nodeConn, offer.Bind, pb.Reason_FINISHED)
		}
		assert.Equal(t, pb.Reason_FINISHED, harness.network.takeSent(clientConn)[0].GetWorkloadEnded().GetReason())
		assert.Empty(t, harness.gangs.byRequest)
	})
	t.Run("a part lost", func(t *testing.T) {
		harness := newHarness(t)
		nodeConn := harness.startNode(1)
		offers := harness.runGang(nodeConn)
		harness.endWorkload(nodeConn, offers[0].Bind, pb.Reason_LOST)
		assert.Equal(t, pb.Reason_LOST, harness.network.takeSent(clientConn)[0].GetWorkloadEnded().GetReason())
		assert.Equal(t, []*pb.BindID{offers[1].Bind}, harness.stops(nodeConn))
		harness.endWorkload(nodeConn, offers[1].Bind, pb.Reason_STOPPED)
		assert.Empty(t, harness.gangs.byRequest)
	})
}

func TestGang_RejectedByNodes_RejectedAfterAllAttempts(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.requestGang(1)
	for harness.Pending() > 0 && harness.now < 6000 {
		for _, offer := range harness.offers(nodeConn) {
			harness.rejectOffer(nodeConn, offer.Bind, pb.Reason_WRONG_NODE)
		}
		harness.advance(100)
	}
	answers := harness.answers()
	require.Len(t, answers, 1)
	assert.Equal(t, pb.Verdict_REJECTED, answers[0].Verdict)
	assert.Regexp(t, "it fell apart, [123] times begun", answers[0].Reason)
	assert.Empty(t, harness.gangs.byRequest)
}
