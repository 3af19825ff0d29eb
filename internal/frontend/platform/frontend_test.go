package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
)

func TestFrontend_WorkloadFromRequestToEnd(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, request(7))
	require.Equal(t, []string{"offer"}, r.sentAbout(r.node, 7))
	r.receive(r.node, confirmation(7))
	r.receive(r.node, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"confirmation", "termination 16"}, r.sentAbout(r.client, 7))
	assert.Equal(t, confirmation(7), r.fake.sent[r.client][0], "the node's description reaches the client")
	assert.Empty(t, r.workloads.byID)
	assert.Empty(t, r.workloads.byTag)
	assert.Zero(t, r.workloads.unanswered)
}

func TestFrontend_TablesAreEmptyAfterManyWorkloadsAndConnections(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, codec.NewTermination(1, codec.CauseNormal)) // a first message, so that the connection stays
	for i := range 3000 {
		tag := codec.Tag(10 + i)
		c := transport.ConnID(10000 + i)
		r.Opened(r.at, c)
		r.receive(c, request(tag))
		switch i % 4 {
		case 0:
			r.receive(r.fake.lastTo(nodeAddr), confirmation(tag))
			r.receive(r.fake.lastTo(nodeAddr), codec.NewTermination(tag, codec.CauseNormal))
		case 1:
			r.receive(r.fake.lastTo(nodeAddr), codec.NewTermination(tag, codec.CauseNoCapacity))
		case 2:
			r.receive(c, codec.NewTermination(tag, codec.CauseNormal))
		}
		r.close(c, errClosed)
		r.pass(20)
	}
	r.pass(70e3)
	assert.Empty(t, r.workloads.byID)
	assert.Empty(t, r.workloads.byTag)
	assert.Zero(t, r.workloads.unanswered)
	assert.Empty(t, r.clients.undelivered)
	assert.Zero(t, r.healthChecks.pending.Len())
	assert.Zero(t, r.host.DeferredCalls())
	assert.LessOrEqual(t, r.host.PendingTimers(), 10)
	assert.LessOrEqual(t, len(r.clients.conns)+len(r.nodeConns.conns), 3)
	for _, n := range r.nodes.byID {
		assert.Empty(t, n.workloads)
		assert.Empty(t, n.pendingReleases)
		assert.Empty(t, n.waiters)
	}
}
