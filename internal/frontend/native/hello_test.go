package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// helloPeers are the peers that have to send a hello: begin connects one and returns its connection, and timeout is the
// time limit of its hello.
var helloPeers = map[string]struct {
	begin   func(harness *testHarness) transport.ConnID
	timeout placement.Millis
}{
	"client": {
		begin: func(harness *testHarness) transport.ConnID {
			harness.openConn(otherConn)
			return otherConn
		},
		timeout: helloTimeout,
	},
	"node": {
		begin: func(harness *testHarness) transport.ConnID {
			harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning)
			return harness.network.dialed[nodeAddress(1)]
		},
		timeout: connectTimeout,
	},
	"discovery service": {
		begin: func(harness *testHarness) transport.ConnID {
			harness.reconnectDiscovery()
			return harness.discoveryConn
		},
		timeout: helloTimeout,
	},
}

// Guards against a peer that keeps a connection with a hello that drips, just fast enough for the transport.
func TestHello_Drips_ConnectionOfAClientEnds(t *testing.T) {
	harness := newHarness(t)
	harness.openConn(otherConn)
	harness.network.receiving[otherConn] = true
	harness.advance(maxHelloTime - 100)
	assert.False(t, harness.network.closed[otherConn])
	harness.advance(200)
	assert.True(t, harness.network.closed[otherConn])
}

// Guards against time limits that count whole frames: a node whose hello lists many workloads, or any peer on a slow
// network, was disconnected while its hello arrived, and on each new connection again. A hello that is queued has
// arrived, and this process has delayed it.
func TestHello_OnItsWay_ConnectionKept(t *testing.T) {
	for state, arriving := range map[string]func(*fakeNetwork) map[transport.ConnID]bool{
		"a part has arrived": func(n *fakeNetwork) map[transport.ConnID]bool { return n.receiving },
		"queued":             func(n *fakeNetwork) map[transport.ConnID]bool { return n.queued },
	} {
		for name, peer := range helloPeers {
			t.Run(name+", "+state, func(t *testing.T) {
				harness := newHarness(t)
				conn := peer.begin(harness)
				arriving(harness.network)[conn] = true
				harness.advance(3 * peer.timeout)
				assert.False(t, harness.network.closed[conn])
				arriving(harness.network)[conn] = false
				harness.advance(helloCheckInterval)
				assert.True(t, harness.network.closed[conn], "it ends if nothing more arrives")
			})
		}
	}
}
