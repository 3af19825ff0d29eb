package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "grebeglade/proto/grebeglade/v1"
)

func TestClient_Reconnected_ReceivesRunningWorkloadsAndLosses(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.request(1, idempotent)
	harness.acceptOffer(nodeConn, harness.offer(nodeConn).Bind)
	harness.request(2, idempotent)
	harness.offer(nodeConn)
	harness.closeConn(clientConn, errReset)
	assert.Equal(t, uint64(1), harness.Counters.Withdrawn, "withdrawn, since no answer can be sent to it")
	harness.openConn(otherConn)
	harness.receive(otherConn, clientHello(clientName))
	running := harness.network.takeSent(otherConn)[0].GetHello().RunningWorkloads
	require.Len(t, running, 1)
	assert.Equal(t, uint64(1), running[0].Offer.Request.RequestId)
	harness.listNode(1, pb.NodeEntry_REMOVED, nodeIncarnation, longRunning)
	harness.closeConn(nodeConn, errReset)
	assert.Equal(t, pb.Reason_LOST, harness.network.takeSent(otherConn)[0].GetWorkloadEnded().Reason)
}
