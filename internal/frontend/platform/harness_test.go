package platform

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/settings"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	nodeName      = "s-01" // the node that the harness's configuration names
	nodeAddr      = "127.0.0.9:5080"
	discoveryAddr = "127.0.0.8:7070"

	firstClient = transport.ConnID(1000) // the connection of the harness's client
	otherConn   = transport.ConnID(2000) // the first connection of another client
)

// testHarness is a frontend with one node, the discovery service and one client, all connected to it.
type testHarness struct {
	*Frontend
	network    *fakeNetwork
	clientConn transport.ConnID
	nodeConn   transport.ConnID
	now        placement.Millis
}

// unusedWaiter is a connWaiter that only has a node dialed.
type unusedWaiter struct{}

func (unusedWaiter) connected(*nodeConn) {}
func (unusedWaiter) unreachable()        {}

func newHarness(t *testing.T) *testHarness {
	t.Helper()
	harness := &testHarness{
		Frontend:   New(harnessConfig(), nil),
		network:    newFakeNetwork(),
		clientConn: firstClient,
	}
	harness.endpoints.unixTime = func() placement.Millis { return 1e9 + harness.now }
	harness.Start(0, harness.network)
	harness.nodeConns.await(harness.nodes.byName[nodeName], unusedWaiter{})
	harness.nodeConn = harness.network.lastDialed(nodeAddr)
	require.NotZero(t, harness.nodeConn)
	harness.now = 1
	harness.openConn(harness.nodeConn)
	harness.openConn(harness.discoveryConn())
	harness.openConn(harness.clientConn)
	return harness
}

// harnessConfig returns a configuration with one node and two classes: tiles, and trace, which is to run at most once.
func harnessConfig() *Config {
	return &Config{
		Name:             "one",
		Listen:           "127.0.0.1:5080",
		DiscoveryAddress: discoveryAddr,
		Seed:             5,
		Revision:         1,
		Limits: Limits{
			Cores:    1,
			MemoryMB: 64,
			Sockets:  64,
		},
		Settings: &settings.Received{
			Settings:     harnessSettings(),
			GroupNames:   []string{"tiles", "trace"},
			KindNames:    []string{"small"},
			ZoneNames:    []string{"z"},
			ReportFields: []string{"x0"},
		},
		KnownEvents: []json.RawMessage{nodeEvent(1, "Ready", 0)},
	}
}

func harnessSettings() placement.Settings {
	return placement.Settings{
		Allocators:           1,
		MaxBinds:             4,
		HealthChecksAllowed:  true,
		ConfirmsRunning:      true,
		ReportsUsage:         true,
		EntriesCarryCapacity: true,
		NodeKinds:            []placement.NodeKind{{Cores: 20, Memory: 40}},
		Groups: []placement.Group{
			{
				LatencyObjective:       350,
				PriorityWeight:         1,
				FullServiceUtilization: 0.8,
				DegradationRange:       0.1,
				RequiredKind:           -1,
			},
			{
				LatencyObjective:       2000,
				PriorityWeight:         5,
				Idempotency:            placement.AtMostOnce,
				FullServiceUtilization: 0.8,
				DegradationRange:       0.1,
				RequiredKind:           -1,
			},
		},
	}
}

// advance lets time pass, in ms, with a wake-up every 10 ms.
func (h *testHarness) advance(duration placement.Millis) {
	for end := h.now + duration; h.now < end; {
		h.now = min(end, h.now+10)
		h.network.now = h.now
		h.Wake(h.now)
	}
}

// Reasons for which connections end.
var (
	errReset   = fmt.Errorf("%w: reset", transport.ErrConnectionLost)
	errClosed  = transport.ErrClosedByPeer
	errRefused = transport.ErrConnectionRefused
)

// openConn opens a connection that was dialed, or accepts one of a client.
func (h *testHarness) openConn(c transport.ConnID) { h.Opened(h.now, c) }

// closeConn ends a connection, or fails one that is being dialed.
func (h *testHarness) closeConn(c transport.ConnID, reason error) { h.Closed(h.now, c, reason) }

// openNodeConns opens all connections that are being dialed to nodes, and returns how many there are to nodes.
func (h *testHarness) openNodeConns() int {
	for _, c := range frontend.SortedValues(h.nodeConns.conns) {
		if c.state == connDialing {
			h.openConn(c.id)
		}
	}
	return len(h.nodeConns.conns)
}

// discoveryConn returns the last connection dialed to the discovery service.
func (h *testHarness) discoveryConn() transport.ConnID { return h.network.lastDialed(discoveryAddr) }

// receive has the frontend receive a message on a connection.
func (h *testHarness) receive(c transport.ConnID, message codec.Message) {
	h.Received(h.now, c, message)
}

// receiveLine has the frontend receive a line on a client's connection, as its bytes.
func (h *testHarness) receiveLine(t *testing.T, c transport.ConnID, line string) {
	t.Helper()
	message, _, err := codec.ClientCodec{}.Decode([]byte(line + "\n"))
	require.NoError(t, err)
	h.Received(h.now, c, message)
}

// startWorkload has the harness's client request a workload, and the harness's node confirm it.
func (h *testHarness) startWorkload(tag codec.Tag) {
	h.receive(h.clientConn, request(tag))
	h.receive(h.nodeConn, confirmation(tag))
}

// publish has the discovery service send an event.
func (h *testHarness) publish(revision uint64, data []byte) {
	h.Received(h.now, h.discoveryConn(), batchOf(revision, data))
}

// publishNode has the discovery service send an event with the harness's node in a state.
func (h *testHarness) publishNode(revision int, status string) {
	h.publish(uint64(revision), nodeEvent(revision, status, 0))
}

// publishNodes has the discovery service name n more nodes, all with capacity.
func (h *testHarness) publishNodes(n int) {
	endpoints := make([]string, n)
	for i := range endpoints {
		endpoints[i] = readyEndpoint(extraNodeName(i), extraNodeAddr(i))
	}
	h.publish(2, deltaEvent(endpoints...))
}

// extraNodeName returns the name of a node of publishNodes.
func extraNodeName(i int) string { return fmt.Sprintf("m-%02d", i) }

// extraNodeAddr returns the address of a node of publishNodes.
func extraNodeAddr(i int) string { return fmt.Sprintf("127.0.1.%d:5080", i) }

// sentAbout returns the messages about a workload that were sent on a connection, health checks aside.
func (h *testHarness) sentAbout(c transport.ConnID, tag codec.Tag) (all []sentMessage) {
	for _, sent := range h.network.sent[c] {
		message, ok := sent.(codec.Message)
		if !ok || message.Envelope().Tag != tag {
			continue
		}
		if _, check := message.(*codec.HealthCheck); !check {
			all = append(all, sentMessageOf(message))
		}
	}
	return all
}
