package native

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	boundsDays    = 3
	boundsMinutes = boundsDays * 24 * 60
	monthMs       = 30 * 24 * 3600e3
)

// Guards against state that is never released. For three days, every minute a node is replaced by one in a new cell, a
// client connects under a new name, sends requests with timeouts of a month and disconnects, and a gang starts and
// ends.
func TestFrontend_StateOverDays_StaysBounded(t *testing.T) {
	harness := newHarness(t, func(c *Config) { c.EventLogSize = 100 })
	for minute := range uint32(boundsMinutes) {
		harness.simulateMinute(minute)
		for part, size := range harness.stateSizes() {
			require.LessOrEqual(t, size, 16, "minute %d: %s", minute, part)
		}
	}
	assert.EqualValues(t, 2*boundsMinutes, harness.Counters.Requests)
	assert.EqualValues(t, boundsMinutes, harness.Counters.GangsPlaced)
}

// simulateMinute simulates a minute in which a new node and a new client connect, a workload and a gang run and end,
// and the node and the client disconnect.
func (h *testHarness) simulateMinute(minute uint32) {
	h.t.Helper()
	nodeConn := h.replaceNode(minute)
	h.advance(25e3) // past the node's warm-up, so that no budget limits its binds
	client := transport.ConnID(1e6 + minute)
	h.connectNewClient(client, minute)
	h.sendRequestsOfMinute(client, minute)
	offers := h.offers(nodeConn)
	require.Len(h.t, offers, 3)
	for _, offer := range offers {
		h.startWorkload(nodeConn, offer.Bind)
	}
	h.advance(1e3)
	for _, offer := range offers {
		h.endWorkload(nodeConn, offer.Bind, pb.Reason_FINISHED)
	}
	h.closeConn(client, errClosed)
	h.closeConn(nodeConn, errClosed)
	h.advance(34e3)
	clear(h.network.sent)
	clear(h.network.closed)
}

// replaceNode publishes a snapshot with only one new node, in a new cell, and connects the node.
func (h *testHarness) replaceNode(minute uint32) transport.ConnID {
	h.t.Helper()
	const upForMs = 5
	id := minute + 1
	entry := listEntry(id, "z", fmt.Sprint("cell-", minute))
	entry.Address = fmt.Sprint("at-", id)
	entry.UpForMs = upForMs
	h.publishSnapshot(entry)
	nodeConn := h.network.dialed[entry.Address]
	require.NotZero(h.t, nodeConn)
	h.openConn(nodeConn)
	h.receive(nodeConn, transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_NODE,
		Name:        "n",
		Node:        id,
		Incarnation: nodeIncarnation,
		UpForMs:     upForMs,
	}))
	return nodeConn
}

// connectNewClient connects a client under a new name. Its hello contains a send time.
func (h *testHarness) connectNewClient(client transport.ConnID, minute uint32) {
	h.openConn(client)
	hello := clientHello(fmt.Sprint("client-", minute))
	hello.GetHello().SentMs = 1
	h.receive(client, hello)
}

// sendRequestsOfMinute sends a request for a workload and one for a gang of two parts, each with a timeout of a
// month.
func (h *testHarness) sendRequestsOfMinute(client transport.ConnID, minute uint32) {
	part := func(number uint64) *pb.PlaceRequest {
		request := gangPartRequest(uint64(minute)*10 + number)
		request.Service = uint64(minute)
		request.ExpectedRuntimeMs = 1
		return request
	}
	request := part(0)
	request.RequestId = 1
	request.PendingTimeoutMs = monthMs
	h.receive(client, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: request}})
	h.receive(client, &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: &pb.GangRequest{
		RequestId:        2,
		PendingTimeoutMs: monthMs,
		Parts:            []*pb.PlaceRequest{part(1), part(2)},
	}}})
}

// stateSizes returns the size of each part of the frontend's state.
func (h *testHarness) stateSizes() map[string]int {
	return map[string]int{
		"connections":      len(h.connections.byID),
		"clients":          len(h.clients.byName),
		"nodes":            len(h.nodes.sorted),
		"removed nodes":    len(h.nodes.removedStarts),
		"zones":            len(h.nodes.zones.byName),
		"zone numbers":     len(h.nodes.zones.used),
		"cells":            len(h.nodes.cells.byName),
		"cell numbers":     len(h.nodes.cells.used),
		"workloads":        len(h.workloads.byID),
		"requests":         len(h.workloads.byRequest),
		"keys":             len(h.workloads.byKey),
		"adopted binds":    len(h.workloads.byAdopted),
		"persisting binds": len(h.binder.persisting),
		"gangs":            len(h.gangs.byRequest),
		"health checks":    h.healthChecks.checks.Len(),
		"deferred calls":   h.host.DeferredCalls(),
		"timers":           h.host.PendingTimers(),
		"engine":           h.host.Engine().WorkloadCount(),
		"pending requests": h.Pending(),
	}
}
