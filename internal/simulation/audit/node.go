package audit

import (
	"fmt"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// nodeState is what a node says of itself, and the offers that reached it lately if it is warming up.
type nodeState struct {
	zone, cell  string
	incarnation uint64
	startedAt   placement.Millis
	arrivals    []arrival
}

// arrival is an offer that reached a warming node.
type arrival struct {
	at    placement.Millis
	known bool // the allocator knew of this incarnation of the node
	key   observer.BindKey
	seen  frame
}

func (a *Auditor) node(id uint32) *nodeState {
	n := a.nodes[id]
	if n == nil {
		n = &nodeState{startedAt: placement.DistantPast}
		a.nodes[id] = n
	}
	return n
}

// atNode handles a frame at a node's end.
func (a *Auditor) atNode(now, arrived placement.Millis, p *observer.Process, c transport.ConnID, seen frame) {
	id := uint32(p.ID)
	switch b := seen.message.Body.(type) {
	case *pb.Frame_Hello:
		if other := a.peers[p][c]; other != nil {
			a.reconcileGangParts(now, id, other.name, b.Hello)
		}
	case *pb.Frame_Register:
		a.node(id).register(now, b.Register)
	case *pb.Frame_Offer:
		if !seen.sent {
			a.gangs.partOffered(id, b.Offer, seen)
			a.checkWarmUp(arrived, id, b.Offer, seen)
		}
	case *pb.Frame_UsageReport:
		if b.UsageReport.Kind == pb.UsageReport_RUNNING {
			a.checkStart(now, id, b.UsageReport.Bind)
		}
	case *pb.Frame_OfferReply:
		if seen.sent {
			a.gangPartAnswered(now, b.OfferReply)
		}
		if b.OfferReply.Accepted && a.terms.Model.ConfirmsRunning {
			a.checkStart(now, id, b.OfferReply.Bind)
		}
	case *pb.Frame_End:
		if k := observer.KeyOf(b.End.Bind); seen.sent && a.gangs.parts[k] != nil {
			a.endGangPart(now, k, b.End.Reason)
		}
	}
}

func (n *nodeState) register(now placement.Millis, e *pb.NodeEntry) {
	n.zone, n.cell = e.Zone, e.Cell
	if e.Incarnation == n.incarnation {
		return
	}
	n.incarnation, n.startedAt, n.arrivals = e.Incarnation, placement.DistantPast, nil
	if e.UpForMs >= 0 {
		n.startedAt = now - placement.Millis(e.UpForMs)
	}
}

// checkWarmUp reports more offers at a warming node than it withstands, unless most allocators could not know that it has
// started anew.
func (a *Auditor) checkWarmUp(now placement.Millis, id uint32, o *pb.Offer, seen frame) {
	m, n := a.terms.Model, a.node(id)
	upFor := now - n.startedAt
	if upFor >= m.WarmUpDuration {
		return
	}
	k := observer.KeyOf(o.Bind)
	if slices.ContainsFunc(n.arrivals, func(x arrival) bool { return x.key == k }) {
		return // the network duplicated it; a node takes it once
	}
	known := a.allocator(o.Bind.Allocator).view(id).incarnation == n.incarnation
	n.arrivals = append(n.arrivals, arrival{now, known, k, seen})
	n.arrivals = slices.DeleteFunc(n.arrivals, func(x arrival) bool { return x.at < now-arrivalHistory })
	var window []frame
	byKnowing := 0
	for _, x := range n.arrivals {
		if x.at >= now-m.OverloadWindow {
			window = append(window, x.seen)
			if x.known {
				byKnowing++
			}
		}
	}
	rate := m.InitialRate + (1-m.InitialRate)*float64(upFor/m.WarmUpDuration)
	limit := m.BindLimit(rate)
	a.LimitUse.Cold = max(a.LimitUse.Cold, float64(len(window))/limit)
	if float64(len(window)) > limit && 3*byKnowing >= 2*len(window) {
		a.report(4, now, id, nil, fmt.Sprintf("%d offers within %.0f ms at a cold node that bears %.0f",
			len(window), m.OverloadWindow, limit), window...)
		n.arrivals = nil
	}
}

// checkStart reports an at-most-once workload that starts a second time.
func (a *Auditor) checkStart(now placement.Millis, node uint32, id *pb.BindID) {
	k := observer.KeyOf(id)
	b := a.allocator(id.Allocator).openBinds[k]
	if b == nil || a.terms.Groups[b.request.ask.Group].Idempotency != placement.AtMostOnce {
		return
	}
	started := a.starts[b.request.ask.Key]
	if !slices.Contains(started, k) {
		a.starts[b.request.ask.Key] = append(started, k)
		if len(started) > 0 {
			a.report(2, now, node, b.request, "a run-once workload started twice")
		}
	}
}
