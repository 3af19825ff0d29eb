package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestNode_Draining_ReceivesNoOffer(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.setDraining(nodeConn, true)
	harness.setDraining(nodeConn, true)
	harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning) // older than the node's report
	harness.request(1, idempotent)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, harness.verdicts())
	harness.setDraining(nodeConn, false)
	harness.request(2, idempotent)
	offer := harness.offer(nodeConn)
	// The node drains before it replies to the offer, and rejects it.
	harness.setDraining(nodeConn, true)
	harness.rejectOffer(nodeConn, offer.Bind, pb.Reason_WRONG_NODE)
	assert.Equal(t, map[uint64]pb.Verdict{2: pb.Verdict_REJECTED}, harness.verdicts())
}

// The end of the connection does not clear a node's draining report. Only the node's next hello or a restart does.
func TestNode_DrainingAndDisconnected_DrainsUntilHelloOrRestart(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.setDraining(nodeConn, true)
	harness.closeConn(nodeConn, errReset)
	assert.Equal(t, placement.Draining, harness.firstNode().state())
	harness.request(3, idempotent)
	assert.Equal(t, map[uint64]pb.Verdict{3: pb.Verdict_REJECTED}, harness.verdicts())
	nodeConn = harness.reconnectNode()
	assert.Equal(t, placement.Ready, harness.firstNode().state())
	harness.setDraining(nodeConn, true)
	harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation+1, 5)
	assert.Equal(t, placement.Ready, harness.firstNode().state())
}

// A node's hello reports a restart before the discovery service does. No offers are sent to the node until it is
// connected.
func TestNode_Restarted_HelloCountsBeforeDiscovery(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.setTime(10)
	harness.closeConn(nodeConn, errReset)
	harness.advanceTo(180)
	harness.request(1, idempotent)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, harness.verdicts())
	nodeConn = harness.connectNode(1, nodeIncarnation+1, 0)
	assert.Empty(t, harness.network.takeSent(nodeConn)[1:])
	assert.InDelta(t, float64(harness.now), float64(harness.firstNode().entry.StartedAt), 0)
	// A late update for the previous incarnation has no effect.
	harness.listNode(1, pb.NodeEntry_DRAINING, nodeIncarnation, longRunning)
	assert.Equal(t, placement.Ready, harness.firstNode().entry.State)
	assert.InDelta(t, float64(harness.now), float64(harness.firstNode().entry.StartedAt), 0)
	// The same holds after the connection has ended: a search found a late update that undid a drain.
	harness.listNode(1, pb.NodeEntry_DRAINING, nodeIncarnation+1, longRunning)
	harness.closeConn(nodeConn, errReset)
	harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning)
	assert.Equal(t, placement.Draining, harness.firstNode().entry.State)
}

// Guards against an increasing dial rate for an unreachable node: each update of the node dials it, and each failed
// dial schedules a retry. If these retries run in parallel, updates every 200 ms increase their number without limit.
func TestNode_UpdatedWhileUnreachable_DialedInOneSeries(t *testing.T) {
	harness := newHarness(t)
	first := harness.countDials(60e3)
	harness.countDials(600e3)
	last := harness.countDials(60e3)
	assert.LessOrEqual(t, first, 330, "one dial for each update, and one series of retries")
	assert.LessOrEqual(t, last, 330, "the dial rate does not increase over minutes")
}

// countDials updates node 1 every 200 ms and refuses its connections, for the given duration. It returns the number of
// dials.
func (h *testHarness) countDials(duration placement.Millis) int {
	before := h.network.lastID
	for end := h.now + duration; h.now < end; {
		h.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning)
		for at := h.now + 200; h.network.wakeAt <= at; {
			h.setTime(h.network.wakeAt)
			h.Wake(h.now)
			h.refuseDials()
		}
		h.setTime(h.now + 1)
		h.refuseDials()
	}
	return int(h.network.lastID - before)
}

func TestNode_ConnectTimeout_DialedAgain(t *testing.T) {
	harness := newHarness(t)
	harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning)
	first := harness.network.dialed[nodeAddress(1)]
	harness.advanceTo(connectTimeout - 1)
	assert.False(t, harness.network.closed[first])
	harness.advanceTo(connectTimeout)
	assert.True(t, harness.network.closed[first])
	harness.advanceTo(connectTimeout + 125)
	assert.NotEqual(t, first, harness.network.dialed[nodeAddress(1)])
}

func TestNode_OtherNodeAtAddress_Disconnected(t *testing.T) {
	harness := newHarness(t)
	harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning)
	conn := harness.network.dialed[nodeAddress(1)]
	harness.openConn(conn)
	harness.receive(conn, transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_NODE,
		Name:        "n",
		Node:        2,
		Incarnation: nodeIncarnation,
	}))
	assert.True(t, harness.network.closed[conn])
	assert.Equal(t, errWrongNode.Error(), harness.firstNode().lastRejection)
}

func TestHealthCheck_SentToConnectedNode(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.network.takeSent(nodeConn)
	harness.healthChecks.check(1)
	check := harness.network.takeSent(nodeConn)[0].GetHealthCheck()
	require.NotNil(t, check)
	assert.Equal(t, 1, harness.healthChecks.checks.Len())
	harness.receive(nodeConn, &pb.Frame{Body: &pb.Frame_HealthReply{HealthReply: &pb.HealthReply{Id: check.Id}}})
	assert.Zero(t, harness.healthChecks.checks.Len())
	harness.healthChecks.check(2)
	assert.Zero(t, harness.healthChecks.checks.Len(), "the check of an unlisted node fails immediately")
	assert.Equal(t, 1, harness.host.DeferredCalls())
}
