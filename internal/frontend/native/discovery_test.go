package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/eventlog"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestDiscovery_OlderUpdate_Ignored(t *testing.T) {
	harness := newHarness(t)
	harness.startNode(1)
	harness.listNode(1, pb.NodeEntry_DRAINING, nodeIncarnation, longRunning)
	harness.revision -= 2
	harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning)
	assert.Equal(t, placement.Draining, harness.firstNode().entry.State)
}

func TestDiscovery_ServiceRestarted_DeltaOnlyAfterSnapshot(t *testing.T) {
	harness := newHarness(t)
	harness.startNode(1)
	harness.network.takeSent(harness.discoveryConn)
	harness.receive(harness.discoveryConn, nodeListUpdate(&pb.NodeListUpdate{
		Kind:     pb.NodeListUpdate_DELTA,
		Epoch:    2,
		Revision: 1,
	}))
	assert.NotNil(t, harness.network.takeSent(harness.discoveryConn)[0].GetNodeListRequest())
	assert.Len(t, harness.nodes.sorted, 1)
	harness.receive(harness.discoveryConn, nodeListUpdate(&pb.NodeListUpdate{
		Kind:     pb.NodeListUpdate_SNAPSHOT,
		Epoch:    2,
		Revision: 1,
	}))
	assert.Equal(t, placement.Removed, harness.firstNode().entry.State, "kept until the node is disconnected")
}

// withPolledDiscovery configures the engine to request the node list periodically.
func withPolledDiscovery(c *Config) {
	c.Settings.PolledDiscovery = true
	c.Settings.PollInterval = 3000
}

func TestDiscovery_Disconnected_PollFailsAndDialedAgainWithBackoff(t *testing.T) {
	harness := newHarness(t, withPolledDiscovery)
	harness.advanceTo(100)
	require.Equal(t, uint64(1), harness.Counters.DiscoveryCalls)
	dialed := harness.network.dialed
	for _, delay := range []placement.Millis{100, 200, 400} {
		before := dialed[discoveryAddress]
		harness.closeConn(before, errRefused)
		closedAt := harness.now
		harness.advanceTo(closedAt + delay*3/4 - 1)
		assert.Equal(t, before, dialed[discoveryAddress], "dialed earlier than 3/4 of the backoff of %v ms", delay)
		harness.advanceTo(closedAt + delay*5/4)
		assert.NotEqual(t, before, dialed[discoveryAddress], "not dialed within 5/4 of the backoff of %v ms", delay)
	}
	failed := 0
	events, _ := harness.EventLog().Since(0)
	for _, event := range events {
		if event.Kind == eventlog.NodesUpdated && event.Detail == uint8(placement.PollFailed) {
			failed++
		}
	}
	assert.Equal(t, 1, failed, "one subscription was unanswered")
}

func TestDiscovery_NoHello_Disconnected(t *testing.T) {
	harness := newHarness(t)
	harness.reconnectDiscovery()
	assert.NotNil(t, harness.network.takeSent(harness.discoveryConn)[0].GetHello())
	harness.advance(helloTimeout)
	assert.True(t, harness.network.closed[harness.discoveryConn])
}

func TestDiscovery_PeerWithOtherRole_Disconnected(t *testing.T) {
	harness := newHarness(t)
	harness.reconnectDiscovery()
	harness.receive(harness.discoveryConn, transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "n"}))
	assert.True(t, harness.network.closed[harness.discoveryConn])
}

func TestDiscovery_Reconnected_SubscribesFromLastRevision(t *testing.T) {
	harness := newHarness(t, withPolledDiscovery)
	harness.startNode(1)
	harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning)
	harness.reconnectDiscovery()
	harness.receive(harness.discoveryConn, discoveryHello())
	harness.advanceTo(2000)
	sent := harness.network.takeSent(harness.discoveryConn)
	require.Greater(t, len(sent), 1)
	call := sent[1].GetNodeListRequest()
	assert.True(t, call.GetWatch())
	assert.Equal(t, uint64(1), call.GetEpoch())
	assert.Equal(t, harness.revision, call.GetRevision())
}
