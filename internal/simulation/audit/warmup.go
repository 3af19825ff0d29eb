package audit

import (
	"fmt"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// arrivalHistory is how long arrivals at a node that is warming up are kept.
const arrivalHistory = placement.Millis(60e3)

// arrival is an offer that reached a node that is warming up.
type arrival struct {
	at    placement.Millis
	known bool // the allocator knew of this incarnation of the node
	key   observer.BindKey
	seen  frame
}

// hasArrival reports whether an offer of a bind has reached the node before.
func (n *nodeState) hasArrival(key observer.BindKey) bool {
	return slices.ContainsFunc(n.arrivals, func(x arrival) bool { return x.key == key })
}

// addArrival adds an arrival, and drops those that are too old to matter.
func (n *nodeState) addArrival(added arrival) {
	n.arrivals = append(n.arrivals, added)
	oldest := added.at - arrivalHistory
	n.arrivals = slices.DeleteFunc(n.arrivals, func(x arrival) bool { return x.at < oldest })
}

// arrivalsSince returns the offers that arrived since a time, and how many of them came from allocators that knew of
// the node's incarnation.
func (n *nodeState) arrivalsSince(from placement.Millis) (offers []frame, known int) {
	for _, x := range n.arrivals {
		if x.at < from {
			continue
		}
		offers = append(offers, x.seen)
		if x.known {
			known++
		}
	}
	return offers, known
}

// checkWarmUp reports more offers to a node that is warming up than it withstands. It does not if more than a third of
// them came from allocators that could not know that the node had restarted.
func (a *Auditor) checkWarmUp(node uint32, offer *pb.Offer, seen frame) {
	model := a.terms.Model
	n := a.nodes.node(node)
	now := seen.arrived
	upFor := now - n.startedAt
	if upFor >= model.WarmUpDuration {
		return
	}
	key := observer.KeyOf(offer.Bind)
	if n.hasArrival(key) {
		return // the network duplicated it; a node handles it once
	}
	view := a.allocator(offer.Bind.Allocator).view(node)
	n.addArrival(arrival{
		at:    now,
		known: view.incarnation == n.incarnation,
		key:   key,
		seen:  seen,
	})
	offers, known := n.arrivalsSince(now - model.OverloadWindow)
	count := len(offers)
	rate := model.InitialRate + (1-model.InitialRate)*float64(upFor/model.WarmUpDuration)
	limit := model.BindLimit(rate)
	a.LimitUse.Cold = max(a.LimitUse.Cold, float64(count)/limit)
	if float64(count) > limit && 3*known >= 2*count {
		message := fmt.Sprintf("%d offers within %.0f ms at a cold node that bears %.0f",
			count, model.OverloadWindow, limit)
		a.report(ruleWarmUp, now, node, nil, message, offers...)
		n.arrivals = nil // so that one overload is reported once
	}
}
