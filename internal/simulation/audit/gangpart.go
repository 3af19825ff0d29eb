package audit

import (
	"cmp"
	"maps"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	// notRunning stands in place of the time since which a part runs.
	notRunning = placement.Millis(-1)
)

// gangPart is one part on a node.
type gangPart struct {
	gang         *gang
	number       uint32
	node         uint32
	runningSince placement.Millis // or notRunning
	cores        float64
	seen         frame // its offer
}

// partRequest returns the request that the rules on binds hold a part to: one of its own, with its key.
func (s *gangAuditor) partRequest(r *request, o *pb.Offer) *request {
	g := s.gangOf(o)
	p := g.partRequests[o.Request.Key]
	if p == nil {
		p = &request{ref: r.ref, ask: o.Request, allocator: r.allocator, received: true, excused: true}
		g.partRequests[o.Request.Key] = p
	}
	// A part of a gang that was placed may be replaced; one of a gang that was given up may not be offered.
	p.verdict = pb.Verdict_VERDICT_UNSPECIFIED
	if r.verdict == pb.Verdict_REJECTED || r.verdict == pb.Verdict_UNSCHEDULABLE {
		p.verdict = r.verdict
	}
	p.withdrawn = r.withdrawn
	return p
}

// partOffered records an offer of a part as it reaches a node.
func (s *gangAuditor) partOffered(node uint32, o *pb.Offer, seen frame) {
	if o.Gang == nil {
		return
	}
	k := observer.KeyOf(o.Bind)
	s.partBinds[k] = true
	g := s.gangOf(o)
	if s.parts[k] == nil {
		s.parts[k] = &gangPart{gang: g, number: o.Gang.Part, node: node, runningSince: notRunning, cores: o.Request.Cores, seen: seen}
	}
}

// gangPartAnswered takes a node's reply to the offer of a part.
func (a *Auditor) gangPartAnswered(now placement.Millis, reply *pb.OfferReply) {
	k := observer.KeyOf(reply.Bind)
	p := a.gangs.parts[k]
	switch {
	case p == nil:
	case !reply.Accepted:
		if p.runningSince != notRunning {
			a.endGangPart(now, k, pb.Reason_STOPPED)
		}
	case p.runningSince == notRunning:
		p.runningSince = now
		p.gang.running[p.number] = p
		a.updateGang(now, p.gang)
	}
}

// endGangPart takes the end of a part on its node.
func (a *Auditor) endGangPart(now placement.Millis, k observer.BindKey, reason pb.Reason) {
	p := a.gangs.parts[k]
	g := p.gang
	a.gangs.addCoreTime(now, p)
	if reason == pb.Reason_FINISHED && g.started {
		g.ending = true
	}
	if g.running[p.number] == p {
		delete(g.running, p.number)
	}
	p.runningSince = notRunning
	delete(a.gangs.parts, k)
	a.updateGang(now, g)
}

// reconcileGangParts takes a node's list, sent to an allocator, of that allocator's workloads: parts that it does not name have
// ended while the allocator was not connected.
func (a *Auditor) reconcileGangParts(now placement.Millis, node uint32, allocator string, h *pb.Hello) {
	named := map[observer.BindKey]bool{}
	for _, running := range h.RunningWorkloads {
		named[observer.KeyOf(running.Offer.Bind)] = true
	}
	for _, k := range a.gangs.sortedParts() {
		if p := a.gangs.parts[k]; p.node == node && k.Allocator == allocator && p.runningSince != notRunning && !named[k] {
			a.endGangPart(now, k, pb.Reason_LOST)
		}
	}
}

// loseGangParts ends the parts on a node that was killed.
func (a *Auditor) loseGangParts(now placement.Millis, node uint32) {
	for _, k := range a.gangs.sortedParts() {
		if a.gangs.parts[k].node == node {
			a.endGangPart(now, k, pb.Reason_LOST)
		}
	}
}

// sortedParts returns the keys of the parts on nodes in a fixed order, so that floating-point sums over them do not depend on
// the order of the map.
func (s *gangAuditor) sortedParts() []observer.BindKey {
	return slices.SortedFunc(maps.Keys(s.parts), func(x, y observer.BindKey) int {
		return cmp.Or(cmp.Compare(x.Allocator, y.Allocator), cmp.Compare(x.Incarnation, y.Incarnation),
			cmp.Compare(x.Workload, y.Workload), cmp.Compare(x.Number, y.Number))
	})
}

// addCoreTime counts the time for which a part has run.
func (s *gangAuditor) addCoreTime(now placement.Millis, p *gangPart) {
	if p.runningSince == notRunning {
		return
	}
	spent := float64(now-p.runningSince) / 1000 * p.cores
	s.coreTime += spent
	if !p.gang.started {
		s.wastedCoreTime += spent
	}
}

// WastedCoreShare returns the share of the core time of gang parts that went to gangs which did not start.
func (a *Auditor) WastedCoreShare() float64 {
	if a.gangs.coreTime == 0 {
		return 0
	}
	return a.gangs.wastedCoreTime / a.gangs.coreTime
}
