package audit

import (
	"fmt"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// arrivalRetention is the time, in ms, for which arrivals at a warming-up node are kept.
const arrivalRetention = placement.Millis(60e3)

// arrival is an offer that arrived at a warming-up node.
type arrival struct {
	at       placement.Millis
	informed bool // the allocator had received this incarnation of the node
	key      observer.BindKey
	seen     frame
}

// hasArrival reports whether an offer of a bind has already arrived at the node.
func (n *nodeState) hasArrival(key observer.BindKey) bool {
	return slices.ContainsFunc(n.arrivals, func(x arrival) bool { return x.key == key })
}

// addArrival adds an arrival, and removes those older than arrivalRetention.
func (n *nodeState) addArrival(added arrival) {
	n.arrivals = append(n.arrivals, added)
	oldest := added.at - arrivalRetention
	n.arrivals = slices.DeleteFunc(n.arrivals, func(x arrival) bool { return x.at < oldest })
}

// arrivalsSince returns the offers that arrived since a time, and the number of them from allocators that had received
// the node's current incarnation.
func (n *nodeState) arrivalsSince(from placement.Millis) (offers []frame, informed int) {
	for _, x := range n.arrivals {
		if x.at < from {
			continue
		}
		offers = append(offers, x.seen)
		if x.informed {
			informed++
		}
	}
	return offers, informed
}

// checkWarmUp reports offers to a warming-up node in excess of its bind limit. It does not report them if more than a
// third came from allocators that had not yet received the node's new incarnation.
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
		return // duplicated by the network; a node handles it once
	}
	view := a.allocator(offer.Bind.Allocator).view(node)
	n.addArrival(arrival{
		at:       now,
		informed: view.incarnation == n.incarnation,
		key:      key,
		seen:     seen,
	})
	offers, informed := n.arrivalsSince(now - model.OverloadWindow)
	count := len(offers)
	rate := model.InitialRate + (1-model.InitialRate)*float64(upFor/model.WarmUpDuration)
	limit := model.BindLimit(rate)
	a.LimitUse.Cold = max(a.LimitUse.Cold, float64(count)/limit)
	if float64(count) > limit && 3*informed >= 2*count {
		message := fmt.Sprintf("%d offers within %.0f ms at a cold node that bears %.0f",
			count, model.OverloadWindow, limit)
		a.report(ruleWarmUp, now, node, nil, message, offers...)
		n.arrivals = nil // report each overload only once
	}
}
