package audit

import (
	"fmt"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// offerSent checks an offer as it leaves the allocator.
func (a *Auditor) offerSent(now placement.Millis, s *allocatorState, node uint32, o *pb.Offer, seen frame) {
	r := a.requests[requestRef{o.Client, o.Request.RequestId}]
	if r != nil && r.gang {
		r = a.gangs.partRequest(r, o)
	}
	if r == nil {
		a.report(1, now, node, nil, "an offer for no ask", seen)
		return
	}
	r.frames = append(r.frames, seen)
	g := a.terms.Groups[r.ask.Group]
	b := &bind{key: observer.KeyOf(o.Bind), node: node, sentAt: now, timeout: placement.Millis(o.AcceptWithinMs), request: r}
	a.checkRequestOpen(now, r, node)
	a.checkBindCount(now, r, o, node)
	for _, earlier := range r.binds {
		a.checkSecondBind(now, g, earlier, b)
	}
	a.checkDrain(now, s.view(node), r, node)
	if g.Idempotency == placement.AtMostOnce {
		a.checkAtMostOnce(now, b)
	}
	r.binds = append(r.binds, b)
	s.openBinds[b.key] = b
	if g.SpreadScope != placement.ScopeNone {
		a.checkSpread(now, s, g, b)
	}
}

// checkRequestOpen reports an offer for a request that was answered or withdrawn.
func (a *Auditor) checkRequestOpen(now placement.Millis, r *request, node uint32) {
	switch {
	case r.verdict != pb.Verdict_VERDICT_UNSPECIFIED:
		a.report(1, now, node, r, "an offer after the answer")
	case r.withdrawn:
		a.report(1, now, node, r, "an offer after the owner withdrew")
	}
}

// checkBindCount reports more binds of a request than the settings allow. Parts of gangs have a limit of their own.
func (a *Auditor) checkBindCount(now placement.Millis, r *request, o *pb.Offer, node uint32) {
	if limit := a.terms.MaxBinds; limit > 0 && len(r.binds) >= limit && o.Gang == nil {
		a.report(2, now, node, r, fmt.Sprintf("bind %d of an ask that may have %d", len(r.binds)+1, limit))
	}
}

// checkSecondBind reports a bind that must not follow an earlier one of the same request.
func (a *Auditor) checkSecondBind(now placement.Millis, g placement.Group, earlier, b *bind) {
	switch {
	case earlier.neverRan:
	case earlier.key == b.key:
		a.report(2, now, b.node, b.request, "the same bind sent twice")
	case earlier.pending(now):
		a.report(2, now, b.node, b.request, "two binds out at once")
	case g.Idempotency == placement.AtMostOnce:
		a.report(2, now, b.node, b.request, "a run-once workload sent again that may have run")
	case g.Idempotency == placement.IdempotentByKey && (now-earlier.sentAt >= g.KeyWindow || !a.sameScope(g.KeyScope, earlier.node, b.node)):
		a.report(2, now, b.node, b.request, "a deduplicated workload sent beyond its scope or window")
	}
}

// checkDrain reports an offer to a node of which the allocator has known for longer than the grace that it drains or is gone.
func (a *Auditor) checkDrain(now placement.Millis, v *nodeView, r *request, node uint32) {
	for _, since := range [2]placement.Millis{v.drainedByDiscovery, v.drainedByNode} {
		if since == notDraining {
			continue
		}
		if a.terms.DrainGrace > 0 {
			a.LimitUse.Drain = max(a.LimitUse.Drain, float64((now-since)/a.terms.DrainGrace))
		}
		if now > since+a.terms.DrainGrace {
			a.report(3, now, node, r, fmt.Sprintf("an offer %.0f ms after it was told that the node drains or is gone", now-since))
			return
		}
	}
}

// checkAtMostOnce reports a bind of an at-most-once workload that may have run for another request, or for another incarnation
// of the allocator.
func (a *Auditor) checkAtMostOnce(now placement.Millis, b *bind) {
	key := b.request.ask.Key
	for _, other := range a.atMostOnce[key] {
		if !other.neverRan && other.request != b.request {
			a.report(2, now, b.node, b.request, "a run-once workload sent for another ask that may have run", other.request.frames...)
		}
	}
	a.atMostOnce[key] = append(a.atMostOnce[key], b)
}

// checkSpread reports a bind that puts more workloads of a service into one scope than allowed. The bind is one of the open ones.
func (a *Auditor) checkSpread(now placement.Millis, s *allocatorState, g placement.Group, b *bind) {
	count := 0
	for _, other := range s.openBinds {
		if (other.accepted || other.pending(now)) && other.request.ask.Service == b.request.ask.Service &&
			a.sameScope(g.SpreadScope, other.node, b.node) {
			count++
		}
	}
	a.LimitUse.Spread = max(a.LimitUse.Spread, float64(count)/float64(max(1, g.MaxPerScope)))
	if count > g.MaxPerScope {
		a.report(5, now, b.node, b.request,
			fmt.Sprintf("%d of the service in one %s where %d are allowed", count, scopeNames[g.SpreadScope], g.MaxPerScope))
	}
}

var scopeNames = map[placement.Scope]string{placement.ScopeNode: "node", placement.ScopeCell: "cell", placement.ScopeZone: "zone"}

// sameScope reports whether two nodes lie in the same node, cell or zone.
func (a *Auditor) sameScope(s placement.Scope, x, y uint32) bool {
	m, n := a.node(x), a.node(y)
	switch s {
	case placement.ScopeNode:
		return x == y
	case placement.ScopeCell:
		return m.zone == n.zone && m.cell == n.cell
	case placement.ScopeZone:
		return m.zone == n.zone
	}
	return s == placement.ScopeAll
}
