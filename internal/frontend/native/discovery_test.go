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
	x := newFixture(t)
	x.node(1)
	x.update(1, pb.NodeEntry_DRAINING, 1, -1)
	x.revision -= 2
	x.update(1, pb.NodeEntry_READY, 1, -1)
	assert.Equal(t, placement.Draining, x.firstNode().entry.State)
	// Changes since a restart of the service mean nothing without a snapshot.
	x.network.take(x.discovery)
	x.receive(x.discovery, &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: &pb.NodeListUpdate{Epoch: 2, Revision: 1}}})
	assert.NotNil(t, x.network.take(x.discovery)[0].GetNodeListRequest())
	assert.Len(t, x.knownNodes(), 1)
	x.receive(x.discovery, &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: &pb.NodeListUpdate{
		Epoch: 2, Revision: 1, Kind: pb.NodeListUpdate_SNAPSHOT,
	}}})
	assert.Equal(t, placement.Removed, x.firstNode().entry.State, "kept while it is connected")
}

// polled has the engine subscribe by itself.
func polled(c *Config) { c.Settings.PolledDiscovery, c.Settings.PollInterval = true, 3000 }

func TestDiscovery_Disconnected_PollFailsAndDialedAgainWithBackoff(t *testing.T) {
	x := newFixture(t, polled)
	x.runUntil(100)
	require.Equal(t, uint64(1), x.f.Counters.DiscoveryCalls)
	for _, delay := range []placement.Millis{100, 200, 400} {
		before := x.network.dialed[discoveryAddress]
		x.f.Closed(x.now, before, transport.ErrConnectionRefused)
		closedAt := x.now
		x.runUntil(closedAt + delay*3/4 - 1)
		assert.Equal(t, before, x.network.dialed[discoveryAddress], "dialled before the shortest delay after %v ms", delay)
		x.runUntil(closedAt + delay*5/4)
		assert.NotEqual(t, before, x.network.dialed[discoveryAddress], "not dialled by the longest delay after %v ms", delay)
	}
	failed := 0
	events, _ := x.f.EventLog().Since(0)
	for _, e := range events {
		if e.Kind == eventlog.NodesUpdated && e.Detail == uint8(placement.PollFailed) {
			failed++
		}
	}
	assert.Equal(t, 1, failed, "one subscription was unanswered")
}

func TestDiscovery_NoHello_Disconnected(t *testing.T) {
	x := newFixture(t)
	x.disconnect(x.discovery)
	x.runUntil(200)
	c := x.network.dialed[discoveryAddress]
	x.f.Opened(x.now, c)
	assert.NotNil(t, x.network.take(c)[0].GetHello())
	x.runUntil(x.now + helloTimeout)
	assert.True(t, x.network.closed[c])
}

func TestDiscovery_PeerOfAnotherRole_Disconnected(t *testing.T) {
	x := newFixture(t)
	x.disconnect(x.discovery)
	x.runUntil(200)
	c := x.network.dialed[discoveryAddress]
	x.f.Opened(x.now, c)
	x.receive(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "n"}))
	assert.True(t, x.network.closed[c])
}

func TestDiscovery_Reconnected_SubscribesFromLastRevision(t *testing.T) {
	x := newFixture(t, polled)
	x.node(1)
	x.update(1, pb.NodeEntry_READY, 1, -1)
	x.disconnect(x.discovery)
	x.runUntil(200)
	c := x.network.dialed[discoveryAddress]
	x.f.Opened(x.now, c)
	x.receive(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_DISCOVERY, Name: "list", Incarnation: 1}))
	x.runUntil(2000)
	sent := x.network.take(c)
	require.Greater(t, len(sent), 1)
	call := sent[1].GetNodeListRequest()
	assert.True(t, call.GetWatch())
	assert.Equal(t, []uint64{1, x.revision}, []uint64{call.GetEpoch(), call.GetRevision()})
}
