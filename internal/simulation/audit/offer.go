package audit

import (
	"fmt"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// offerSent checks an offer at the time at which the allocator sends it.
func (a *Auditor) offerSent(state *allocatorState, node uint32, offer *pb.Offer, seen frame) {
	req := a.offeredRequest(offer)
	if req == nil {
		a.report(ruleAnswer, seen.at, node, nil, "an offer for no ask", seen)
		return
	}
	req.frames = append(req.frames, seen)
	b := &bind{
		key:     observer.KeyOf(offer.Bind),
		node:    node,
		sentAt:  seen.at,
		timeout: placement.Millis(offer.AcceptWithinMs),
		request: req,
	}
	group := a.terms.Groups[req.spec.Group]
	a.checkRequestOpen(b)
	if offer.Gang == nil { // checkPartBinds limits the binds of parts of gangs
		a.checkBindCount(b)
	}
	for _, earlier := range req.binds {
		a.checkSecondBind(group, earlier, b)
	}
	a.checkDrain(state.view(node), b)
	if group.Idempotency == placement.AtMostOnce {
		a.checkAtMostOnce(b)
	}
	req.binds = append(req.binds, b)
	state.openBinds[b.key] = b
	if group.SpreadScope != placement.ScopeNone {
		a.checkSpread(state, group, b)
	}
}

// offeredRequest returns the request of an offer, or nil. Each part of a gang has its own request.
func (a *Auditor) offeredRequest(offer *pb.Offer) *request {
	r := a.requests.find(offer.Client, offer.Request.RequestId)
	if r != nil && r.gang {
		return a.gangs.partRequest(r, offer)
	}
	return r
}

// checkRequestOpen reports an offer for a request that was already answered or withdrawn.
func (a *Auditor) checkRequestOpen(b *bind) {
	switch {
	case b.request.verdict != pb.Verdict_VERDICT_UNSPECIFIED:
		a.reportBind(ruleAnswer, b, "an offer after the answer")
	case b.request.withdrawn:
		a.reportBind(ruleAnswer, b, "an offer after the owner withdrew")
	}
}

// checkBindCount reports a bind that exceeds the maximum number of binds of a request.
func (a *Auditor) checkBindCount(b *bind) {
	limit := a.terms.MaxBinds
	count := len(b.request.binds) + 1
	if limit > 0 && count > limit {
		a.reportBind(ruleIdempotency, b, fmt.Sprintf("bind %d of an ask that may have %d", count, limit))
	}
}

// checkSecondBind reports a bind that is not allowed after an earlier one of the same request.
func (a *Auditor) checkSecondBind(group placement.Group, earlier, b *bind) {
	switch {
	case earlier.neverRan:
	case earlier.key == b.key:
		a.reportBind(ruleIdempotency, b, "the same bind sent twice")
	case earlier.pending(b.sentAt):
		a.reportBind(ruleIdempotency, b, "two binds out at once")
	case group.Idempotency == placement.AtMostOnce:
		a.reportBind(ruleIdempotency, b, "a run-once workload sent again that may have run")
	case group.Idempotency == placement.IdempotentByKey && !a.keyRecognized(group, earlier, b):
		a.reportBind(ruleIdempotency, b, "a deduplicated workload sent beyond its scope or window")
	}
}

// keyRecognized reports whether the node of a bind recognizes the idempotency key of an earlier bind: both are in one
// key scope, and the key window has not expired.
func (a *Auditor) keyRecognized(group placement.Group, earlier, b *bind) bool {
	withinWindow := b.sentAt-earlier.sentAt < group.KeyWindow
	return withinWindow && a.nodes.sameScope(group.KeyScope, earlier.node, b.node)
}

// checkDrain reports an offer to a draining or removed node if the allocator received that state more than the drain
// grace before.
func (a *Auditor) checkDrain(view *nodeView, b *bind) {
	grace := a.terms.DrainGrace
	for _, since := range [2]placement.Millis{view.listedDrainingSince, view.reportedDrainingSince} {
		if since == notDraining {
			continue
		}
		if grace > 0 {
			a.LimitUse.Drain = max(a.LimitUse.Drain, float64((b.sentAt-since)/grace))
		}
		if b.sentAt > since+grace {
			message := fmt.Sprintf("an offer %.0f ms after it was told that the node drains or is gone", b.sentAt-since)
			a.reportBind(ruleDrain, b, message)
			return
		}
	}
}

// checkSpread reports a bind by which the workloads of a service in one scope exceed the limit. The bind must already
// be one of the open binds.
func (a *Auditor) checkSpread(s *allocatorState, group placement.Group, b *bind) {
	count := a.countInScope(s, group.SpreadScope, b)
	limit := group.MaxPerScope
	a.LimitUse.Spread = max(a.LimitUse.Spread, float64(count)/float64(max(1, limit)))
	if count > limit {
		message := fmt.Sprintf("%d of the service in one %s where %d are allowed",
			count, scopeNames[group.SpreadScope], limit)
		a.reportBind(ruleSpread, b, message)
	}
}

// countInScope returns the number of an allocator's open binds, accepted or pending, that have the service and scope of
// a bind. The bind itself counts.
func (a *Auditor) countInScope(s *allocatorState, scope placement.Scope, b *bind) int {
	count := 0
	for _, other := range s.openBinds {
		counts := other.accepted || other.pending(b.sentAt)
		sameService := other.request.spec.Service == b.request.spec.Service
		if counts && sameService && a.nodes.sameScope(scope, other.node, b.node) {
			count++
		}
	}
	return count
}

// scopeNames holds the names of scopes in violations. Spread limits never apply to the whole fleet, so it has no name.
var scopeNames = map[placement.Scope]string{
	placement.ScopeNode: "node",
	placement.ScopeCell: "cell",
	placement.ScopeZone: "zone",
}
