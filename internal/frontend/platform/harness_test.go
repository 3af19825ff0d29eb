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
	nodeName      = "s-01" // the node in the harness's configuration
	nodeAddr      = "127.0.0.9:5080"
	discoveryAddr = "127.0.0.8:7070"

	firstClient = transport.ConnID(1000) // connection of the harness's client
	otherConn   = transport.ConnID(2000) // first connection of other clients
)

// testHarness is a frontend that is connected to one node, the discovery service and one client.
type testHarness struct {
	*Frontend
	network    *fakeNetwork
	clientConn transport.ConnID
	nodeConn   transport.ConnID
	now        placement.Millis
}

// noopWaiter is a connWaiter that ignores its calls. Awaiting a connection with it only dials the node.
type noopWaiter struct{}

func (noopWaiter) connected(*nodeConn) {}
func (noopWaiter) unreachable()        {}

func newHarness(t *testing.T) *testHarness {
	t.Helper()
	harness := &testHarness{
		Frontend:   New(harnessConfig(), nil),
		network:    newFakeNetwork(),
		clientConn: firstClient,
	}
	harness.endpoints.clock.unixTime = func() placement.Millis { return 1e9 + harness.now }
	harness.Start(0, harness.network)
	harness.nodeConns.await(harness.nodes.byName[nodeName], noopWaiter{})
	harness.nodeConn = harness.network.lastDialed(nodeAddr)
	require.NotZero(t, harness.nodeConn)
	harness.now = 1
	harness.openConn(harness.nodeConn)
	harness.openConn(harness.discoveryConn())
	harness.openConn(harness.clientConn)
	return harness
}

// harnessConfig returns a configuration with one node and two classes: tiles, which is idempotent, and trace, whose
// workloads must run at most once.
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

// advance advances the clock by a duration in ms, with a wake-up every 10 ms.
func (h *testHarness) advance(duration placement.Millis) {
	for end := h.now + duration; h.now < end; {
		h.now = min(end, h.now+10)
		h.network.now = h.now
		h.Wake(h.now)
	}
}

// keepDiscoveryAlive advances the clock while the discovery service sends its keep-alive comments.
func (h *testHarness) keepDiscoveryAlive(duration placement.Millis) {
	for end := h.now + duration; h.now < end; {
		h.advance(min(1000, end-h.now))
		h.Received(h.now, h.discoveryConn(), &codec.EventBatch{})
	}
}

// Reasons for which the transport reports connections as closed.
var (
	errReset   = fmt.Errorf("%w: reset", transport.ErrConnectionLost)
	errClosed  = transport.ErrClosedByPeer
	errRefused = transport.ErrConnectionRefused
)

// openConn reports a dialed connection as open, or a client connection as accepted.
func (h *testHarness) openConn(c transport.ConnID) { h.Opened(h.now, c) }

// closeConn reports a connection as closed, or its dial as failed.
func (h *testHarness) closeConn(c transport.ConnID, reason error) { h.Closed(h.now, c, reason) }

// openNodeConns opens all node connections that are being dialed, and returns the number of node connections.
func (h *testHarness) openNodeConns() int {
	for _, c := range frontend.SortedValues(h.nodeConns.conns) {
		if c.state == connDialing {
			h.openConn(c.id)
		}
	}
	return len(h.nodeConns.conns)
}

// discoveryConn returns the last connection that was dialed to the discovery service's first address.
func (h *testHarness) discoveryConn() transport.ConnID { return h.network.lastDialed(discoveryAddr) }

// receive passes a message received on a connection to the frontend.
func (h *testHarness) receive(c transport.ConnID, message codec.Message) {
	h.Received(h.now, c, message)
}

// receiveLine decodes a client line and passes it to the frontend.
func (h *testHarness) receiveLine(t *testing.T, c transport.ConnID, line string) {
	t.Helper()
	message, _, err := codec.ClientCodec{}.Decode([]byte(line + "\n"))
	require.NoError(t, err)
	h.Received(h.now, c, message)
}

// startWorkload receives a request for a workload from the harness's client and its confirmation from the harness's
// node.
func (h *testHarness) startWorkload(tag codec.Tag) {
	h.receive(h.clientConn, request(tag))
	h.receive(h.nodeConn, confirmation(tag))
}

// publish receives an event from the discovery service.
func (h *testHarness) publish(revision uint64, data []byte) {
	h.Received(h.now, h.discoveryConn(), batchOf(revision, data))
}

// publishNode receives an event from the discovery service with the given status of the harness's node.
func (h *testHarness) publishNode(revision int, status string) {
	h.publish(uint64(revision), nodeEvent(revision, status, 0))
}

// publishNodes receives an event from the discovery service that adds n ready nodes with free capacity.
func (h *testHarness) publishNodes(n int) {
	endpoints := make([]string, n)
	for i := range endpoints {
		endpoints[i] = readyEndpoint(extraNodeName(i), extraNodeAddr(i))
	}
	h.publish(2, deltaEvent(endpoints...))
}

// extraNodeName returns the name of node i of publishNodes.
func extraNodeName(i int) string { return fmt.Sprintf("m-%02d", i) }

// extraNodeAddr returns the address of node i of publishNodes.
func extraNodeAddr(i int) string { return fmt.Sprintf("127.0.1.%d:5080", i) }

// sentAbout returns the messages with the given tag that were sent on a connection, except health checks.
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
