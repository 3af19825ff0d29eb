package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	// maxIncomplete is how long a part may run beyond its lease without the rest of its gang: leases run from acceptance, and
	// a node may be paused when one ends.
	maxIncomplete = placement.Millis(5e3)
	// stopRetryDelay is how long a stop may be unanswered before it is repeated.
	stopRetryDelay = placement.Millis(1e3)
	// maxPartBinds is the number of binds of one part. Each attempt at a gang and each replacement has those of an ordinary
	// workload; the limit guards against retries without end.
	maxPartBinds = 24
	// complete stands in place of the time since which a gang is incomplete.
	complete = placement.Millis(-1)
	// notRunning stands in place of the time since which a part runs.
	notRunning = placement.Millis(-1)
)

// gangAuditor follows the parts of gangs at the nodes.
type gangAuditor struct {
	gangs             map[requestRef]*gang
	parts             map[observer.BindKey]*gangPart // offered to nodes, and not ended
	partBinds         map[observer.BindKey]bool      // all binds of parts
	lastStop          map[observer.BindKey]partStop
	stoppedAllocators map[string]bool
	coreTime          float64 // core seconds for which parts ran
	wastedCoreTime    float64 // of that, in gangs that did not start
	incomplete        int     // gangs of which only a part ran for too long
}

// gang is a gang as the nodes show it.
type gang struct {
	ref             requestRef
	allocator       string
	minParts        int
	lease           placement.Millis
	running         map[uint32]*gangPart // by number of the part
	started         bool                 // its client was notified
	ending          bool                 // it started, and a part has finished
	incompleteSince placement.Millis     // when some parts run and not enough, or complete
	reported        bool
	partRequests    map[uint64]*request // by workload key
}

// gangPart is one part on a node.
type gangPart struct {
	gang         *gang
	number       uint32
	node         uint32
	runningSince placement.Millis // or notRunning
	cores        float64
	seen         frame // its offer
}

// partStop is the last stop of a part.
type partStop struct {
	conn transport.ConnID
	seen frame
}

func newGangAuditor() gangAuditor {
	return gangAuditor{
		gangs: map[requestRef]*gang{}, parts: map[observer.BindKey]*gangPart{}, partBinds: map[observer.BindKey]bool{},
		lastStop: map[observer.BindKey]partStop{}, stoppedAllocators: map[string]bool{},
	}
}

// IncompleteGangs returns the number of gangs of which only a part ran for too long, or was left.
func (a *Auditor) IncompleteGangs() int { return a.gangs.incomplete }

// WastedCoreShare returns the share of the core time of gang parts that went to gangs which did not start.
func (a *Auditor) WastedCoreShare() float64 {
	if a.gangs.coreTime == 0 {
		return 0
	}
	return a.gangs.wastedCoreTime / a.gangs.coreTime
}

// gangOf returns the gang that an offer belongs to.
func (s *gangAuditor) gangOf(o *pb.Offer) *gang {
	ref := requestRef{o.Client, o.Request.RequestId}
	g := s.gangs[ref]
	if g == nil {
		g = &gang{
			ref: ref, minParts: int(o.GetGang().GetMinParts()), allocator: o.Bind.Allocator, running: map[uint32]*gangPart{},
			incompleteSince: complete, partRequests: map[uint64]*request{},
		}
		s.gangs[ref] = g
	}
	g.lease = max(g.lease, placement.Millis(o.GetGang().GetLeaseMs()))
	return g
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

// setAllocatorRunning records whether an allocator runs. While it does not, ends of parts reach nobody, and nobody completes a
// gang that had started.
func (s *gangAuditor) setAllocatorRunning(now placement.Millis, name string, running bool) {
	s.stoppedAllocators[name] = !running
	for _, g := range s.gangs {
		if g.allocator == name && g.incompleteSince != complete {
			g.incompleteSince = now
		}
	}
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

// sortedParts returns the keys of the parts on nodes in a fixed order, so that floating-point sums over them do not depend on
// the order of the map.
func (s *gangAuditor) sortedParts() []observer.BindKey {
	return slices.SortedFunc(maps.Keys(s.parts), func(x, y observer.BindKey) int {
		return cmp.Or(cmp.Compare(x.Allocator, y.Allocator), cmp.Compare(x.Incarnation, y.Incarnation),
			cmp.Compare(x.Workload, y.Workload), cmp.Compare(x.Number, y.Number))
	})
}

// gangAnswered records that a gang has started, or checks that it may be rejected.
func (a *Auditor) gangAnswered(now placement.Millis, r *request, verdict pb.Verdict) {
	g := a.gangs.gangs[r.ref]
	if g == nil {
		return
	}
	switch verdict {
	case pb.Verdict_PLACED:
		g.started = true
	case pb.Verdict_REJECTED:
		a.checkGangRejection(now, g)
	}
}

func (a *Auditor) checkGangRejection(now placement.Millis, g *gang) {
	for _, key := range slices.Sorted(maps.Keys(g.partRequests)) {
		p := g.partRequests[key]
		if a.terms.Groups[p.ask.Group].Idempotency != placement.AtMostOnce {
			continue
		}
		for _, b := range p.binds {
			if !b.neverRan {
				a.report(2, now, b.node, p, "a group rejected although a part that must not run twice may have run")
				return
			}
		}
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

// checkPartStop reports a stop that is repeated too early on the same connection.
func (a *Auditor) checkPartStop(now placement.Millis, c transport.ConnID, k observer.BindKey, seen frame) {
	if last, ok := a.gangs.lastStop[k]; ok && last.conn == c && now-last.seen.at < stopRetryDelay {
		a.report(6, now, 0, nil, "a part stopped twice", last.seen, seen)
	}
	a.gangs.lastStop[k] = partStop{c, seen}
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

// updateGang records since when a gang is neither complete nor ended.
func (a *Auditor) updateGang(now placement.Millis, g *gang) {
	a.checkIncomplete(now, g)
	if n := len(g.running); n == 0 || n >= g.minParts || g.ending {
		g.incompleteSince = complete
	} else if g.incompleteSince == complete {
		g.incompleteSince = now
	}
}

// checkIncomplete reports, once, a gang that is incomplete for longer than its lease and maxIncomplete.
func (a *Auditor) checkIncomplete(now placement.Millis, g *gang) {
	if g.incompleteSince == complete || g.reported || g.started && a.gangs.stoppedAllocators[g.allocator] ||
		now-g.incompleteSince <= g.lease+maxIncomplete {
		return
	}
	g.reported = true
	a.gangs.incomplete++
	var frames []frame
	for _, number := range slices.Sorted(maps.Keys(g.running)) {
		frames = append(frames, g.running[number].seen)
	}
	slices.SortStableFunc(frames, func(x, y frame) int { return cmp.Compare(x.at, y.at) })
	a.report(6, now, 0, nil, fmt.Sprintf("group %d of %s has %d parts standing of %d needed for %.0f ms", g.ref.number, g.ref.client,
		len(g.running), g.minParts, now-g.incompleteSince), frames...)
}

// finishGangs counts what still runs when the run has ended, and checks each gang a last time.
func (a *Auditor) finishGangs(now placement.Millis) {
	for _, k := range a.gangs.sortedParts() {
		a.gangs.addCoreTime(now, a.gangs.parts[k])
	}
	refs := slices.SortedFunc(maps.Keys(a.gangs.gangs), func(x, y requestRef) int {
		return cmp.Or(cmp.Compare(x.client, y.client), cmp.Compare(x.number, y.number))
	})
	for _, ref := range refs {
		g := a.gangs.gangs[ref]
		a.checkIncomplete(now, g)
		for _, key := range slices.Sorted(maps.Keys(g.partRequests)) {
			if p := g.partRequests[key]; len(p.binds) > maxPartBinds {
				a.report(6, now, 0, p, fmt.Sprintf("a part of group %d of %s has had %d binds", g.ref.number, g.ref.client, len(p.binds)))
			}
		}
	}
}
