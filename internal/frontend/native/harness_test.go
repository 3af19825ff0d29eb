package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// Reasons for which connections end.
var (
	errReset   = transport.ErrConnectionLost
	errClosed  = transport.ErrClosedByPeer
	errRefused = transport.ErrConnectionRefused
)

// testHarness is a frontend on a fake network, with a discovery service and a client that are connected to it.
type testHarness struct {
	*Frontend
	t             *testing.T
	network       *fakeNetwork
	now           placement.Millis
	discoveryConn transport.ConnID
	revision      uint64 // of the discovery service's last update
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

// setTime sets the time without a wake-up, as if the process had been stopped.
func (h *testHarness) setTime(now placement.Millis) {
	h.now = now
	h.network.now = now
}

// advance lets time pass, in ms, with the wake-ups that the frontend requests.
func (h *testHarness) advance(duration placement.Millis) { h.advanceTo(h.now + duration) }

// advanceTo lets time pass until the given time, with the wake-ups that the frontend requests and one at the end.
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

// receive has the frontend receive a frame on a connection.
func (h *testHarness) receive(conn transport.ConnID, frame *pb.Frame) { h.Received(h.now, conn, frame) }

// connectClient connects a client and drops the answer to its hello.
func (h *testHarness) connectClient(conn transport.ConnID, name string) {
	h.openConn(conn)
	h.receive(conn, clientHello(name))
	h.network.take(conn)
}

// connectOperator connects an operator and drops the answer to its hello.
func (h *testHarness) connectOperator() {
	h.openConn(operatorConn)
	h.receive(operatorConn, transport.HelloFrame(&pb.Hello{Role: pb.Role_OPERATOR}))
	h.network.take(operatorConn)
}

// query returns the answer to a query of the operator.
func (h *testHarness) query(kind pb.Query_Kind) *pb.State {
	h.t.Helper()
	h.receive(operatorConn, &pb.Frame{Body: &pb.Frame_Query{Query: &pb.Query{Kind: kind}}})
	sent := h.network.take(operatorConn)
	require.Len(h.t, sent, 1)
	return sent[0].GetState()
}

// nodeAddress returns the address of a node that listNode lists.
func nodeAddress(id uint32) string { return "node-" + string(rune('0'+id)) }

// listNode has the discovery service list a node in a delta.
func (h *testHarness) listNode(id uint32, state pb.NodeEntry_State, incarnation uint64, upForMs float64) {
	h.revision++
	h.publishFirstSnapshot()
	entry := listEntry(id, "z", "c")
	entry.State = state
	entry.Incarnation = incarnation
	entry.UpForMs = upForMs
	entry.Address = nodeAddress(id)
	h.receive(h.discoveryConn, nodeListUpdate(&pb.NodeListUpdate{
		Kind:     pb.NodeListUpdate_DELTA,
		Epoch:    1,
		Revision: h.revision,
		Entries:  []*pb.NodeEntry{entry},
	}))
}

// publishSnapshot has the discovery service list all its nodes.
func (h *testHarness) publishSnapshot(entries ...*pb.NodeEntry) {
	h.publishFirstSnapshot()
	h.revision++
	h.receive(h.discoveryConn, nodeListUpdate(&pb.NodeListUpdate{
		Kind:     pb.NodeListUpdate_SNAPSHOT,
		Epoch:    1,
		Revision: h.revision,
		Entries:  entries,
	}))
}

// publishFirstSnapshot has the discovery service publish an empty snapshot before the update of revision 1.
func (h *testHarness) publishFirstSnapshot() {
	if h.revision == 1 {
		h.receive(h.discoveryConn, nodeListUpdate(&pb.NodeListUpdate{
			Kind:     pb.NodeListUpdate_SNAPSHOT,
			Epoch:    1,
			Revision: 0,
		}))
	}
}

// startNode has a node listed and connected, with the workloads that run on it.
func (h *testHarness) startNode(id uint32, running ...*pb.RunningWorkload) transport.ConnID {
	h.t.Helper()
	h.listNode(id, pb.NodeEntry_READY, nodeIncarnation, longRunning)
	return h.connectNode(id, nodeIncarnation, longRunning, running...)
}

// connectNode opens the connection that was dialed to a node, and sends its hello.
func (h *testHarness) connectNode(
	id uint32, incarnation uint64, upForMs float64, running ...*pb.RunningWorkload,
) transport.ConnID {
	h.t.Helper()
	conn := h.network.dialed[nodeAddress(id)]
	require.NotZero(h.t, conn, "not dialed")
	h.openConn(conn)
	h.receive(conn, transport.HelloFrame(&pb.Hello{
		Role:             pb.Role_NODE,
		Name:             "n",
		Node:             id,
		Incarnation:      incarnation,
		UpForMs:          upForMs,
		RunningWorkloads: running,
	}))
	return conn
}

// reconnectNode waits until node 1, which was connected, is dialed again, and connects it.
func (h *testHarness) reconnectNode(running ...*pb.RunningWorkload) transport.ConnID {
	h.t.Helper()
	before := h.network.dialed[nodeAddress(1)]
	for h.network.dialed[nodeAddress(1)] == before {
		h.advance(10)
	}
	return h.connectNode(1, nodeIncarnation, longRunning, running...)
}

// reconnectDiscovery ends the connection to the discovery service, and opens the next one that is dialed.
func (h *testHarness) reconnectDiscovery() {
	h.closeConn(h.discoveryConn, errReset)
	h.advanceTo(200)
	h.discoveryConn = h.network.dialed[discoveryAddress]
	h.openConn(h.discoveryConn)
}

// firstNode returns the known node with the smallest id.
func (h *testHarness) firstNode() *node { return h.nodes.sorted[0] }

// refuseDials fails all connections that are being dialed to nodes.
func (h *testHarness) refuseDials() {
	for _, n := range h.nodes.sorted {
		if n.session.state == sessionConnecting {
			h.closeConn(n.session.conn, errRefused)
		}
	}
}

// request sends a request of the client.
func (h *testHarness) request(id uint64, group string, change ...func(*pb.PlaceRequest)) {
	request := placeRequest(id, group)
	for _, apply := range change {
		apply(request)
	}
	h.receive(clientConn, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: request}})
}

// requestGang sends a request of the client for a gang of two parts.
func (h *testHarness) requestGang(id uint64, change ...func(*pb.GangRequest)) {
	request := gangRequestOfTwo(id)
	for _, apply := range change {
		apply(request)
	}
	h.receive(clientConn, &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: request}})
}

// runGang requests a gang and has its two parts run on a node. It returns their offers.
func (h *testHarness) runGang(nodeConn transport.ConnID, change ...func(*pb.GangRequest)) []*pb.Offer {
	h.t.Helper()
	h.requestGang(1, change...)
	offers := h.offers(nodeConn)
	require.Len(h.t, offers, 2)
	for _, offer := range offers {
		h.startWorkload(nodeConn, offer.Bind)
	}
	require.Equal(h.t, map[uint64]pb.Verdict{1: pb.Verdict_PLACED}, h.verdicts())
	h.network.take(nodeConn)
	return offers
}

// withdraw sends a withdrawal of the client.
func (h *testHarness) withdraw(request uint64) {
	h.receive(clientConn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{RequestId: request}}})
}

// offers returns the offers that were sent to a node since the last call, in order.
func (h *testHarness) offers(nodeConn transport.ConnID) []*pb.Offer {
	var offers []*pb.Offer
	for _, frame := range h.network.take(nodeConn) {
		if offer := frame.GetOffer(); offer != nil {
			offers = append(offers, offer)
		}
	}
	return offers
}

// offer returns the one offer that was sent to a node since the last call.
func (h *testHarness) offer(nodeConn transport.ConnID) *pb.Offer {
	h.t.Helper()
	offers := h.offers(nodeConn)
	require.Len(h.t, offers, 1)
	return offers[0]
}

// acceptOffer has a node accept an offer.
func (h *testHarness) acceptOffer(nodeConn transport.ConnID, bind *pb.BindID) {
	reply := &pb.OfferReply{Bind: bind, Accepted: true}
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: reply}})
}

// rejectOffer has a node reject an offer.
func (h *testHarness) rejectOffer(nodeConn transport.ConnID, bind *pb.BindID, reason pb.Reason) {
	reply := &pb.OfferReply{Bind: bind, Reason: reason}
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: reply}})
}

// startWorkload has a node accept an offer and report that the workload runs.
func (h *testHarness) startWorkload(nodeConn transport.ConnID, bind *pb.BindID) {
	h.acceptOffer(nodeConn, bind)
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_UsageReport{UsageReport: &pb.UsageReport{
		Bind:  bind,
		Kind:  pb.UsageReport_RUNNING,
		Value: 1,
	}}})
}

// endWorkload has a node report the end of a workload.
func (h *testHarness) endWorkload(nodeConn transport.ConnID, bind *pb.BindID, reason pb.Reason) {
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: bind, Reason: reason}}})
}

// setDraining has a node report whether it drains.
func (h *testHarness) setDraining(nodeConn transport.ConnID, draining bool) {
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}})
}

// answers returns the answers that the client was sent since the last call, in order.
func (h *testHarness) answers() []*pb.Answer {
	var answers []*pb.Answer
	for _, frame := range h.network.take(clientConn) {
		if answer := frame.GetAnswer(); answer != nil {
			answers = append(answers, answer)
		}
	}
	return answers
}

// verdicts returns the verdicts of the answers that the client was sent since the last call, by request.
func (h *testHarness) verdicts() map[uint64]pb.Verdict {
	verdicts := map[uint64]pb.Verdict{}
	for _, answer := range h.answers() {
		_, twice := verdicts[answer.RequestId]
		assert.False(h.t, twice, "answered twice")
		verdicts[answer.RequestId] = answer.Verdict
	}
	return verdicts
}

// stops returns the binds whose stop was sent to a node since the last call, in order.
func (h *testHarness) stops(nodeConn transport.ConnID) []*pb.BindID {
	var stops []*pb.BindID
	for _, frame := range h.network.take(nodeConn) {
		if stop := frame.GetStop(); stop != nil {
			stops = append(stops, stop.Bind)
		}
	}
	return stops
}

// confirmations returns the binds whose gang was confirmed to a node since the last call, in order.
func (h *testHarness) confirmations(nodeConn transport.ConnID) []*pb.BindID {
	var confirmations []*pb.BindID
	for _, frame := range h.network.take(nodeConn) {
		if confirmation := frame.GetConfirmGang(); confirmation != nil {
			confirmations = append(confirmations, confirmation.Bind)
		}
	}
	return confirmations
}
