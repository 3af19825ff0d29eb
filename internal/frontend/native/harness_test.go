package native

import (
	"testing"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Connections that the frontend accepts.
const (
	clientConn transport.ConnID = 1000 + iota
	otherConn
	operatorConn
)

const discoveryAddress = "list"

// Reasons for the end of connections.
var (
	errReset   = transport.ErrConnectionLost
	errClosed  = transport.ErrClosedByPeer
	errRefused = transport.ErrConnectionRefused
)

// testHarness is a frontend on a fake network, with a connected discovery service and client.
type testHarness struct {
	*Frontend
	t             *testing.T
	network       *fakeNetwork
	now           placement.Millis
	discoveryConn transport.ConnID
	revision      uint64 // revision of the discovery service's last update
}

func newHarness(t *testing.T, change ...func(*Config)) *testHarness {
	t.Helper()
	config := harnessConfig()
	for _, apply := range change {
		apply(&config)
	}
	harness := &testHarness{
		Frontend: New(config),
		t:        t,
		network:  newFakeNetwork(),
	}
	harness.Start(0, harness.network)
	harness.discoveryConn = harness.network.dialed[discoveryAddress]
	harness.openConn(harness.discoveryConn)
	harness.receive(harness.discoveryConn, discoveryHello())
	harness.connectClient(clientConn, clientName)
	return harness
}

// harnessConfig returns a configuration with one node kind and three groups.
func harnessConfig() Config {
	return Config{
		Name:             allocatorName,
		Incarnation:      allocatorIncarnation,
		Seed:             1,
		GroupNames:       []string{idempotent, atMostOnce, byKey},
		KindNames:        []string{"k"},
		DiscoveryAddress: discoveryAddress,
		Settings: placement.Settings{
			Allocators:           1,
			Groups:               harnessGroups(),
			NodeKinds:            []placement.NodeKind{{Cores: 10, Memory: 20}},
			MaxBinds:             3,
			EntriesCarryCapacity: true,
			ReportsUsage:         true,
			WarmUpDuration:       10000,
			WarmUpBudget:         10,
			OverloadWindow:       2000,
		},
	}
}

func harnessGroups() []placement.Group {
	group := placement.Group{
		LatencyObjective: 1000,
		PriorityWeight:   1,
		RequiredKind:     -1,
	}
	once := group
	once.Idempotency = placement.AtMostOnce
	keyed := group
	keyed.Idempotency = placement.IdempotentByKey
	keyed.KeyScope = placement.ScopeCell
	keyed.KeyWindow = 5000
	return []placement.Group{group, once, keyed}
}

// setTime sets the time without a wake-up, like a stall of the process.
func (h *testHarness) setTime(now placement.Millis) {
	h.now = now
	h.network.now = now
}

// advance advances the time by a duration in ms, with the wake-ups that the frontend requests.
func (h *testHarness) advance(duration placement.Millis) { h.advanceTo(h.now + duration) }

// advanceTo advances the time to the given one, with the wake-ups that the frontend requests and one at the end.
func (h *testHarness) advanceTo(end placement.Millis) {
	for h.network.wakeAt <= end {
		h.setTime(h.network.wakeAt)
		h.Wake(h.now)
	}
	h.setTime(end)
	h.Wake(end)
}

// openConn opens a connection that was dialed, or accepts one.
func (h *testHarness) openConn(conn transport.ConnID) { h.Opened(h.now, conn) }

// closeConn ends a connection, or fails one that is being dialed.
func (h *testHarness) closeConn(conn transport.ConnID, reason error) { h.Closed(h.now, conn, reason) }

// receive passes a frame on a connection to the frontend.
func (h *testHarness) receive(conn transport.ConnID, frame *pb.Frame) { h.Received(h.now, conn, frame) }
