package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/recovery"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// fakeNetwork is a network that keeps what was sent.
type fakeNetwork struct {
	now    placement.Millis
	dialed map[string]transport.ConnID // the last connection to each address
	last   transport.ConnID
	sent   map[transport.ConnID][]*pb.Frame
	closed map[transport.ConnID]bool
	wakeAt placement.Millis
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		dialed: map[string]transport.ConnID{}, sent: map[transport.ConnID][]*pb.Frame{}, closed: map[transport.ConnID]bool{},
	}
}

func (n *fakeNetwork) Dial(addr string) transport.ConnID {
	n.last++
	n.dialed[addr] = n.last
	return n.last
}
func (n *fakeNetwork) Send(c transport.ConnID, f *pb.Frame) { n.sent[c] = append(n.sent[c], f) }
func (n *fakeNetwork) Close(c transport.ConnID)             { n.closed[c] = true }
func (n *fakeNetwork) WakeAt(t placement.Millis)            { n.wakeAt = t }
func (n *fakeNetwork) Now() placement.Millis                { return n.now }

// take returns what was sent over a connection since the last call.
func (n *fakeNetwork) take(c transport.ConnID) []*pb.Frame {
	sent := n.sent[c]
	delete(n.sent, c)
	return sent
}

const (
	clientConn transport.ConnID = 1000 + iota
	secondClientConn
	operatorConn
)

const discoveryAddress = "list"

// fixture is a frontend with a discovery service and a client on a fake network.
type fixture struct {
	*testing.T
	f         *Frontend
	network   *fakeNetwork
	now       placement.Millis
	discovery transport.ConnID
	revision  uint64 // of the last update of the discovery service
}

func newFixture(t *testing.T, change ...func(*Config)) *fixture {
	t.Helper()
	group := placement.Group{LatencyObjective: 1000, PriorityWeight: 1, RequiredKind: -1}
	once, dedup := group, group
	once.Idempotency = placement.AtMostOnce
	dedup.Idempotency, dedup.KeyScope, dedup.KeyWindow = placement.IdempotentByKey, placement.ScopeCell, 5000
	c := Config{
		Name: "a", Incarnation: 5, Seed: 1, GroupNames: []string{"serve", "once", "check"}, KindNames: []string{"k"},
		DiscoveryAddress: discoveryAddress,
		Settings: placement.Settings{
			Allocators: 1, Groups: []placement.Group{group, once, dedup}, NodeKinds: []placement.NodeKind{{Cores: 10, Memory: 20}},
			MaxBinds: 3, EntriesCarryCapacity: true, ReportsUsage: true, WarmUpDuration: 10000, WarmUpBudget: 10, OverloadWindow: 2000,
		},
	}
	for _, f := range change {
		f(&c)
	}
	x := &fixture{T: t, f: New(c), network: newFakeNetwork()}
	x.f.Start(0, x.network)
	x.discovery = x.network.dialed[discoveryAddress]
	x.f.Opened(0, x.discovery)
	x.receive(x.discovery, transport.HelloFrame(&pb.Hello{Role: pb.Role_DISCOVERY, Name: "list", Incarnation: 1}))
	x.connectClient(clientConn, "o")
	return x
}

// setTime sets the time without waking the frontend.
func (x *fixture) setTime(now placement.Millis) { x.now, x.network.now = now, now }

// runUntil lets time pass, waking the frontend whenever it asked for it.
func (x *fixture) runUntil(end placement.Millis) {
	for x.network.wakeAt <= end {
		x.setTime(x.network.wakeAt)
		x.f.Wake(x.now)
	}
	x.setTime(end)
	x.f.Wake(end)
}

func (x *fixture) receive(c transport.ConnID, f *pb.Frame) { x.f.Received(x.now, c, f) }

func (x *fixture) disconnect(c transport.ConnID) { x.f.Closed(x.now, c, transport.ErrConnectionLost) }

// connectClient connects a client and drops the answer to its hello.
func (x *fixture) connectClient(c transport.ConnID, name string) {
	x.f.Opened(x.now, c)
	x.receive(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT, Name: name, Incarnation: 1}))
	x.network.take(c)
}

func address(id uint32) string { return "node-" + string(rune('0'+id)) }

// update has the discovery service name one node.
func (x *fixture) update(id uint32, state pb.NodeEntry_State, incarnation uint64, upFor float64) {
	x.revision++
	x.firstSnapshot()
	x.receive(x.discovery, &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: &pb.NodeListUpdate{
		Kind: pb.NodeListUpdate_DELTA, Epoch: 1, Revision: x.revision, Entries: []*pb.NodeEntry{{
			Id: id, State: state, Kind: "k", Zone: "z", Cell: "c", Incarnation: incarnation, UpForMs: upFor,
			FreeCores: 10, FreeMemory: 20, Address: address(id),
		}},
	}}})
}

// snapshot has the discovery service name all its nodes.
func (x *fixture) snapshot(entries ...*pb.NodeEntry) {
	x.firstSnapshot()
	x.revision++
	x.receive(x.discovery, &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: &pb.NodeListUpdate{
		Kind: pb.NodeListUpdate_SNAPSHOT, Epoch: 1, Revision: x.revision, Entries: entries,
	}}})
}

// firstSnapshot has the discovery service begin with an empty snapshot, once.
func (x *fixture) firstSnapshot() {
	if x.revision == 1 {
		x.receive(x.discovery, &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: &pb.NodeListUpdate{
			Kind: pb.NodeListUpdate_SNAPSHOT, Epoch: 1, Revision: 0,
		}}})
	}
}

func nodeEntry(id uint32, zone, cell string) *pb.NodeEntry {
	return &pb.NodeEntry{
		Id: id, Kind: "k", Zone: zone, Cell: cell, Incarnation: 1, UpForMs: -1, FreeCores: 10, FreeMemory: 20, Address: "far",
	}
}

// node brings a node up: named by the discovery service and connected, with the workloads that run on it.
func (x *fixture) node(id uint32, running ...*pb.RunningWorkload) transport.ConnID {
	x.Helper()
	x.update(id, pb.NodeEntry_READY, 1, -1)
	return x.connectNode(id, 1, -1, running...)
}

// connectNode lets the connection that was dialled to a node open, and sends its hello.
func (x *fixture) connectNode(id uint32, incarnation uint64, upFor float64, running ...*pb.RunningWorkload) transport.ConnID {
	x.Helper()
	c := x.network.dialed[address(id)]
	require.NotZero(x, c, "not dialled")
	x.f.Opened(x.now, c)
	x.receive(c, transport.HelloFrame(&pb.Hello{
		Role: pb.Role_NODE, Name: "n", Node: id, Incarnation: incarnation, UpForMs: upFor, RunningWorkloads: running,
	}))
	return c
}

// reconnectNode waits until node 1, which was connected, is dialled again, and connects it.
func (x *fixture) reconnectNode(running ...*pb.RunningWorkload) transport.ConnID {
	x.Helper()
	for before := x.network.dialed[address(1)]; x.network.dialed[address(1)] == before; {
		x.runUntil(x.now + 10)
	}
	return x.connectNode(1, 1, -1, running...)
}

// firstNode is the known node with the smallest id.
func (x *fixture) firstNode() *node { return x.knownNodes()[0] }

func (x *fixture) knownNodes() []*node { return x.f.nodes.table.sorted }

// request sends a client's request.
func (x *fixture) request(id uint64, group string, change ...func(*pb.PlaceRequest)) {
	a := &pb.PlaceRequest{RequestId: id, Key: id + 100, Service: 1, Group: group, Cores: 1, Memory: 1, PendingTimeoutMs: 6000, ExpectedRuntimeMs: 1000}
	for _, f := range change {
		f(a)
	}
	x.receive(clientConn, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: a}})
}

// requestGang sends a client's request for a gang of two parts.
func (x *fixture) requestGang(id uint64, change ...func(*pb.GangRequest)) {
	part := func(key uint64) *pb.PlaceRequest {
		return &pb.PlaceRequest{Key: key, Service: 1, Group: "serve", Cores: 1, Memory: 1, ExpectedRuntimeMs: 1000}
	}
	a := &pb.GangRequest{RequestId: id, PendingTimeoutMs: 6000, Parts: []*pb.PlaceRequest{part(id * 10), part(id*10 + 1)}}
	for _, f := range change {
		f(a)
	}
	x.receive(clientConn, &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: a}})
}

// withdraw sends a client's withdrawal.
func (x *fixture) withdraw(request uint64) {
	x.receive(clientConn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{RequestId: request}}})
}

// offers are those that were sent to a node since the last call, in order.
func (x *fixture) offers(c transport.ConnID) []*pb.Offer {
	var offers []*pb.Offer
	for _, f := range x.network.take(c) {
		if o := f.GetOffer(); o != nil {
			offers = append(offers, o)
		}
	}
	return offers
}

// offer is the one offer that was sent to a node since the last call.
func (x *fixture) offer(c transport.ConnID) *pb.Offer {
	x.Helper()
	offers := x.offers(c)
	require.Len(x, offers, 1)
	return offers[0]
}

// answerOffer sends a node's answer to an offer.
func (x *fixture) answerOffer(c transport.ConnID, b *pb.BindID, accepted bool, why pb.Reason) {
	x.receive(c, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: &pb.OfferReply{Bind: b, Accepted: accepted, Reason: why}}})
}

// startWorkload has a node accept an offer and report that the workload runs.
func (x *fixture) startWorkload(c transport.ConnID, b *pb.BindID) {
	x.answerOffer(c, b, true, 0)
	x.receive(c, &pb.Frame{Body: &pb.Frame_UsageReport{UsageReport: &pb.UsageReport{Bind: b, Kind: pb.UsageReport_RUNNING, Value: 1}}})
}

// endWorkload has a node report the end of a workload.
func (x *fixture) endWorkload(c transport.ConnID, b *pb.BindID, why pb.Reason) {
	x.receive(c, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: b, Reason: why}}})
}

// setDraining has a node say whether it drains.
func (x *fixture) setDraining(c transport.ConnID, draining bool) {
	x.receive(c, &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}})
}

// answers are the answers that the client was sent since the last call, in order.
func (x *fixture) answers() []*pb.Answer {
	var answers []*pb.Answer
	for _, f := range x.network.take(clientConn) {
		if a := f.GetAnswer(); a != nil {
			answers = append(answers, a)
		}
	}
	return answers
}

// stops are the binds whose stop was sent to a node since the last call, in order.
func (x *fixture) stops(c transport.ConnID) []*pb.BindID {
	var stops []*pb.BindID
	for _, f := range x.network.take(c) {
		if s := f.GetStop(); s != nil {
			stops = append(stops, s.Bind)
		}
	}
	return stops
}

// verdicts are the answers that the client was sent since the last call, by request.
func (x *fixture) verdicts() map[uint64]pb.Verdict {
	got := map[uint64]pb.Verdict{}
	for _, f := range x.network.take(clientConn) {
		if a := f.GetAnswer(); a != nil {
			_, twice := got[a.RequestId]
			assert.False(x, twice, "answered twice")
			got[a.RequestId] = a.Verdict
		}
	}
	return got
}

// slowJournal is a journal whose binds are durable when the test says so.
type slowJournal struct {
	done []func(placement.Millis, error)
}

func (j *slowJournal) PersistBind(_ recovery.Bind, done func(placement.Millis, error)) {
	j.done = append(j.done, done)
}
func (j *slowJournal) ForgetBind(uint64, uint64, uint32) {}
