package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	pb "grebeglade/proto/grebeglade/v1"
)

func TestReconcile_WorkloadOfEarlierIncarnation_Adopted(t *testing.T) {
	harness := newHarness(t)
	offer := earlierOffer(7, atMostOnce)
	offer.Bind.Number = 1
	nodeConn := harness.startNode(1, runningOf(offer))
	assert.Equal(t, 1, harness.WorkloadCount())
	harness.request(78, atMostOnce, func(request *pb.PlaceRequest) { request.Key = offer.Request.Key })
	assert.Equal(t, map[uint64]pb.Verdict{78: pb.Verdict_REJECTED}, harness.verdicts(), "the key is in use")
	// The next hello lists the same workload. A withdrawal stops it by its bind id on the node.
	harness.closeConn(nodeConn, errReset)
	nodeConn = harness.reconnectNode(runningOf(offer))
	assert.Equal(t, 1, harness.WorkloadCount())
	harness.withdraw(offer.Request.RequestId)
	assert.Equal(t, offer.Bind, harness.network.takeSent(nodeConn)[1].GetStop().GetBind())
	harness.endWorkload(nodeConn, offer.Bind, pb.Reason_STOPPED)
	assert.Zero(t, harness.WorkloadCount())
}

// A stop can be lost with its connection. It is sent again after the node's next hello.
func TestReconcile_StopLostWithConnection_Repeated(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.request(1, idempotent)
	offer := harness.offer(nodeConn)
	harness.acceptOffer(nodeConn, offer.Bind)
	harness.withdraw(1)
	assert.NotNil(t, harness.network.takeSent(nodeConn)[0].GetStop())
	harness.closeConn(nodeConn, errReset)
	nodeConn = harness.reconnectNode(&pb.RunningWorkload{Offer: offer})
	assert.Equal(t, offer.Bind, harness.network.takeSent(nodeConn)[1].GetStop().GetBind())
}

// Guards against the adoption of withdrawn workloads. A workload is withdrawn before the node's reply, and its stop is
// lost with the connection. If the node's next hello lists it, it must be stopped, even if it is at-most-once and may
// have had an effect: otherwise it would run to its end without a client.
func TestReconcile_WithdrawnWorkload_Stopped(t *testing.T) {
	for _, group := range []string{atMostOnce, idempotent} {
		t.Run(group, func(t *testing.T) {
			harness := newHarness(t)
			nodeConn := harness.startNode(1)
			harness.request(1, group)
			offer := harness.offer(nodeConn)
			harness.withdraw(1)
			harness.closeConn(nodeConn, errReset)
			nodeConn = harness.reconnectNode(runningOf(offer))
			assert.Equal(t, offer.Bind, harness.network.takeSent(nodeConn)[1].GetStop().GetBind())
			assert.Zero(t, harness.WorkloadCount())
		})
	}
}
