package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
)

func TestFrontend_WorkloadFromRequestToEnd(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, request(7))
	require.Equal(t, []sentMessage{anOffer}, harness.sentAbout(harness.nodeConn, 7))
	harness.receive(harness.nodeConn, confirmation(7))
	harness.receive(harness.nodeConn, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseNormal)},
		harness.sentAbout(harness.clientConn, 7))
	assert.Equal(t, confirmation(7),
		harness.network.sent[harness.clientConn][0], "the client receives the node's description")
	assert.Empty(t, harness.workloads.byID)
	assert.Empty(t, harness.workloads.byTag)
	assert.Zero(t, harness.workloads.unanswered.Count())
}

func TestFrontend_ManyWorkloadsAndConnectionsEnded_TablesEmpty(t *testing.T) {
	harness := newHarness(t)
	// a first message, so that the connection is not closed after firstMessageTimeout
	harness.receive(harness.clientConn, codec.NewTermination(1, codec.CauseNormal))
	for i := range 3000 {
		tag := codec.Tag(10 + i)
		conn := transport.ConnID(10000 + i)
		harness.openConn(conn)
		harness.receive(conn, request(tag))
		switch i % 4 {
		case 0: // confirmed, then ended by the node
			harness.receive(harness.network.lastDialed(nodeAddr), confirmation(tag))
			harness.receive(harness.network.lastDialed(nodeAddr), codec.NewTermination(tag, codec.CauseNormal))
		case 1: // rejected by the node
			harness.receive(harness.network.lastDialed(nodeAddr), codec.NewTermination(tag, codec.CauseNoCapacity))
		case 2: // cancelled by the client; in case 3, the close of the connection withdraws the request
			harness.receive(conn, codec.NewTermination(tag, codec.CauseNormal))
		}
		harness.closeConn(conn, errClosed)
		harness.advance(20)
	}
	harness.advance(70e3)
	assert.Empty(t, harness.workloads.byID)
	assert.Empty(t, harness.workloads.byTag)
	assert.Zero(t, harness.workloads.unanswered.Count())
	assert.Empty(t, harness.clients.undelivered)
	assert.Zero(t, harness.healthChecks.checks.Len())
	assert.Zero(t, harness.host.DeferredCalls())
	assert.LessOrEqual(t, harness.host.PendingTimers(), 10)
	assert.LessOrEqual(t, len(harness.clients.conns)+len(harness.nodeConns.conns), 3)
	for _, n := range harness.nodes.byID {
		assert.Empty(t, n.workloads)
		assert.Empty(t, n.pendingReleases)
		assert.Empty(t, n.waiters)
	}
}
