package native

import (
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// startNode lists and connects a node. The given workloads run on it.
func (h *testHarness) startNode(id uint32, running ...*pb.RunningWorkload) transport.ConnID {
	h.t.Helper()
	h.listNode(id, pb.NodeEntry_READY, nodeIncarnation, longRunning)
	return h.connectNode(id, nodeIncarnation, longRunning, running...)
}

// connectNode opens the connection that was dialed to a node, and passes the node's hello to the frontend.
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

// reconnectNode advances the time until node 1 is dialed again, and connects it.
func (h *testHarness) reconnectNode(running ...*pb.RunningWorkload) transport.ConnID {
	h.t.Helper()
	before := h.network.dialed[nodeAddress(1)]
	for h.network.dialed[nodeAddress(1)] == before {
		h.advance(10)
	}
	return h.connectNode(1, nodeIncarnation, longRunning, running...)
}

// firstNode returns the node with the smallest id in the node table.
func (h *testHarness) firstNode() *node { return h.nodes.sorted[0] }

// refuseDials fails all connections that are being dialed to nodes.
func (h *testHarness) refuseDials() {
	for _, n := range h.nodes.sorted {
		if n.session.state == sessionConnecting {
			h.closeConn(n.session.conn, errRefused)
		}
	}
}

// runGang requests a gang of two parts and starts both on a node. It returns their offers.
func (h *testHarness) runGang(nodeConn transport.ConnID, change ...func(*pb.GangRequest)) []*pb.Offer {
	h.t.Helper()
	h.requestGang(1, change...)
	offers := h.offers(nodeConn)
	require.Len(h.t, offers, 2)
	for _, offer := range offers {
		h.startWorkload(nodeConn, offer.Bind)
	}
	require.Equal(h.t, map[uint64]pb.Verdict{1: pb.Verdict_PLACED}, h.verdicts())
	h.network.takeSent(nodeConn)
	return offers
}

// offers returns the offers that were sent to a node since the last call, in order.
func (h *testHarness) offers(nodeConn transport.ConnID) []*pb.Offer {
	var offers []*pb.Offer
	for _, frame := range h.network.takeSent(nodeConn) {
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

// acceptOffer passes a node's acceptance of an offer to the frontend.
func (h *testHarness) acceptOffer(nodeConn transport.ConnID, bind *pb.BindID) {
	reply := &pb.OfferReply{Bind: bind, Accepted: true}
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: reply}})
}

// rejectOffer passes a node's rejection of an offer to the frontend.
func (h *testHarness) rejectOffer(nodeConn transport.ConnID, bind *pb.BindID, reason pb.Reason) {
	reply := &pb.OfferReply{Bind: bind, Reason: reason}
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: reply}})
}

// startWorkload passes a node's acceptance of an offer, and its report that the workload runs, to the frontend.
func (h *testHarness) startWorkload(nodeConn transport.ConnID, bind *pb.BindID) {
	h.acceptOffer(nodeConn, bind)
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_UsageReport{UsageReport: &pb.UsageReport{
		Bind:  bind,
		Kind:  pb.UsageReport_RUNNING,
		Value: 1,
	}}})
}

// endWorkload passes a node's report of a workload's end to the frontend.
func (h *testHarness) endWorkload(nodeConn transport.ConnID, bind *pb.BindID, reason pb.Reason) {
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: bind, Reason: reason}}})
}

// setDraining passes a node's draining report to the frontend.
func (h *testHarness) setDraining(nodeConn transport.ConnID, draining bool) {
	h.receive(nodeConn, &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}})
}

// stops returns the binds whose stop was sent to a node since the last call, in order.
func (h *testHarness) stops(nodeConn transport.ConnID) []*pb.BindID {
	var stops []*pb.BindID
	for _, frame := range h.network.takeSent(nodeConn) {
		if stop := frame.GetStop(); stop != nil {
			stops = append(stops, stop.Bind)
		}
	}
	return stops
}

// confirmations returns the binds whose gang was confirmed to a node since the last call, in order.
func (h *testHarness) confirmations(nodeConn transport.ConnID) []*pb.BindID {
	var confirmations []*pb.BindID
	for _, frame := range h.network.takeSent(nodeConn) {
		if confirmation := frame.GetConfirmGang(); confirmation != nil {
			confirmations = append(confirmations, confirmation.Bind)
		}
	}
	return confirmations
}
