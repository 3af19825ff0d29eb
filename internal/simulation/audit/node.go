package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// nodeState is a node's own registration, and the recent offers that arrived at it while it is warming up.
type nodeState struct {
	zone        string
	cell        string
	incarnation uint64
	startedAt   placement.Millis
	arrivals    []arrival
}

// nodeTable holds the nodes by node ID.
type nodeTable map[uint32]*nodeState

// node returns the state of a node, which it adds if there is none. A node that has not registered counts as warmed up.
func (t nodeTable) node(id uint32) *nodeState {
	n := t[id]
	if n == nil {
		n = &nodeState{startedAt: placement.DistantPast}
		t[id] = n
	}
	return n
}

// sameScope reports whether two nodes are in the same scope: the same node, cell or zone, or the whole fleet.
func (t nodeTable) sameScope(scope placement.Scope, first, second uint32) bool {
	n := t.node(first)
	m := t.node(second)
	switch scope {
	case placement.ScopeNode:
		return first == second
	case placement.ScopeCell:
		return n.zone == m.zone && n.cell == m.cell
	case placement.ScopeZone:
		return n.zone == m.zone
	case placement.ScopeAll:
		return true
	case placement.ScopeNone:
		return false
	}
	return false
}

// register records a node's registration. A new incarnation starts without arrivals.
func (n *nodeState) register(now placement.Millis, entry *pb.NodeEntry) {
	n.zone = entry.Zone
	n.cell = entry.Cell
	if entry.Incarnation == n.incarnation {
		return
	}
	n.incarnation = entry.Incarnation
	n.arrivals = nil
	n.startedAt = placement.DistantPast
	if entry.UpForMs >= 0 {
		n.startedAt = now - placement.Millis(entry.UpForMs)
	}
}

// atNode handles a frame that a node sent or received.
func (a *Auditor) atNode(seen frame) {
	node := uint32(seen.process.ID)
	switch body := seen.message.Body.(type) {
	case *pb.Frame_Hello:
		if other, ok := a.connections.peerOf(seen); ok {
			a.gangs.reconcileNode(seen.at, node, other.name, body.Hello)
		}
	case *pb.Frame_Register:
		a.nodes.node(node).register(seen.at, body.Register)
	case *pb.Frame_Offer:
		a.offerAtNode(node, body.Offer, seen)
	case *pb.Frame_OfferReply:
		a.replyAtNode(node, body.OfferReply, seen)
	case *pb.Frame_UsageReport:
		if body.UsageReport.Kind == pb.UsageReport_RUNNING {
			a.checkStart(seen.at, node, body.UsageReport.Bind)
		}
	case *pb.Frame_End:
		if seen.sent {
			a.gangs.partEnded(seen.at, observer.KeyOf(body.End.Bind), body.End.Reason)
		}
	}
}

func (a *Auditor) offerAtNode(node uint32, offer *pb.Offer, seen frame) {
	if !seen.sent {
		a.gangs.partOffered(node, offer, seen)
		a.checkWarmUp(node, offer, seen)
	}
}

// replyAtNode handles a node's reply to an offer. If nodes accept a workload only after its start, an acceptance also
// reports the start.
func (a *Auditor) replyAtNode(node uint32, reply *pb.OfferReply, seen frame) {
	if seen.sent {
		a.gangs.partReplied(seen.at, reply)
	}
	if reply.Accepted && a.terms.Model.ConfirmsRunning {
		a.checkStart(seen.at, node, reply.Bind)
	}
}
