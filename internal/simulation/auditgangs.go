package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// partialMost is how long, in ms, a part may stand beyond its lease without the rest of its group: leases run
// from acceptance, and a node may stand still when one ends.
const partialMost = placement.Millis(5e3)

// stopAgain is how long, in ms, a part may be without an end before its stop is repeated.
const stopAgain = placement.Millis(1e3)

// bindsMost is how many binds one part may have: each try of a group and each replacement has those of an
// ordinary workload. It guards against retries without end.
const bindsMost = 24

// gangSeen is a group as it shows at the nodes.
type gangSeen struct {
	ref      askRef
	need     int
	standing map[uint32]*partSeen // by part
	stood    bool                 // its owner was told
	ends     bool                 // it stood, and a part has come to its own end
	partial  placement.Millis     // since when some parts stand and not enough, below 0: not
	lease    placement.Millis
	told     bool // on
	alloc    string
	parts    map[uint64]*askSeen
}

// partSeen is one part on a node.
type partSeen struct {
	gang  *gangSeen
	part  uint32
	node  uint32
	since placement.Millis
	cores float64
	seen  frameSeen
}

// partAsk is what the rules on binds hold a part to: an ask of its own, with its key.
func (a *Auditor) partAsk(w *askSeen, o *pb.Offer) *askSeen {
	g := a.gang(o)
	p := g.parts[o.Ask.Key]
	if p == nil {
		p = &askSeen{ref: w.ref, ask: o.Ask, alloc: w.alloc, received: true, excused: true}
		g.parts[o.Ask.Key] = p
	}
	// A part of a group that stands may be replaced; one of a group that was given up may not be offered.
	p.verdict = 0
	if w.verdict == pb.Verdict_REJECTED || w.verdict == pb.Verdict_UNSCHEDULABLE {
		p.verdict = w.verdict
	}
	p.withdrawn = w.withdrawn
	return p
}

func (a *Auditor) gang(o *pb.Offer) *gangSeen {
	ref := askRef{o.Owner, o.Ask.Ask}
	g := a.gangs[ref]
	if g == nil {
		g = &gangSeen{
			ref: ref, need: int(o.GetGang().GetNeed()), alloc: o.Bind.Allocator, standing: map[uint32]*partSeen{}, partial: -1, parts: map[uint64]*askSeen{},
		}
		a.gangs[ref] = g
	}
	g.lease = max(g.lease, placement.Millis(o.GetGang().GetLeaseMs()))
	return g
}

// gangAnswers notes that a group stands, or checks that it may be rejected.
func (a *Auditor) gangAnswers(now placement.Millis, w *askSeen, v *pb.Answer) {
	g := a.gangs[w.ref]
	if g == nil {
		return
	}
	if v.Verdict == pb.Verdict_PLACED {
		g.stood = true
		return
	}
	if v.Verdict != pb.Verdict_REJECTED {
		return
	}
	for _, p := range g.parts {
		if a.terms.Groups[p.ask.Group].Idempotency != placement.AtMostOnce {
			continue
		}
		for _, b := range p.binds {
			if !b.never {
				a.breaks(2, now, b.node, p, "a group rejected although a part that must not run twice may have run")
				return
			}
		}
	}
}

// gangFrame follows the parts of groups at the nodes.
func (a *Auditor) gangFrame(now placement.Millis, g *Gate, c transport.ConnID, seen frameSeen) {
	switch b := seen.f.Body.(type) {
	case *pb.Frame_Hello:
		if peer := a.conns[g][c]; g.Role == pb.Role_NODE && seen.out && peer != nil {
			a.nodeTells(now, uint32(g.ID), peer.name, b.Hello)
		}
	case *pb.Frame_Offer:
		if g.Role == pb.Role_NODE && !seen.out && b.Offer.Gang != nil {
			a.partBinds[keyOf(b.Offer.Bind)] = true
			if s := a.gang(b.Offer); a.parts[keyOf(b.Offer.Bind)] == nil {
				a.parts[keyOf(b.Offer.Bind)] = &partSeen{
					gang: s, part: b.Offer.Gang.Part, node: uint32(g.ID), since: -1, cores: b.Offer.Ask.Cores, seen: seen,
				}
			}
		}
	case *pb.Frame_OfferAnswer:
		if p := a.parts[keyOf(b.OfferAnswer.Bind)]; p != nil && g.Role == pb.Role_NODE && seen.out {
			if b.OfferAnswer.Accepted {
				a.partStands(now, p)
			} else if p.since >= 0 {
				a.partGone(now, keyOf(b.OfferAnswer.Bind), p, pb.Why_STOPPED)
			}
		}
	case *pb.Frame_Stop:
		if g.Role == pb.Role_ALLOCATOR && seen.out && !b.Stop.OnlyWaiting && a.partBinds[keyOf(b.Stop.Bind)] {
			a.stops(now, c, b.Stop.Bind, seen)
		}
	case *pb.Frame_End:
		if p := a.parts[keyOf(b.End.Bind)]; p != nil && g.Role == pb.Role_NODE && seen.out {
			a.partGone(now, keyOf(b.End.Bind), p, b.End.Why)
		}
	}
}

// nodeTells takes a node's account to an allocator: what it does not name ended while nobody was told.
func (a *Auditor) nodeTells(now placement.Millis, node uint32, allocator string, h *pb.Hello) {
	named := map[bindKey]bool{}
	for _, s := range h.Standing {
		named[keyOf(s.Offer.Bind)] = true
	}
	for _, k := range a.sortedParts() {
		if p := a.parts[k]; p.node == node && k.allocator == allocator && p.since >= 0 && !named[k] {
			a.partGone(now, k, p, pb.Why_LOST)
		}
	}
}

// allocatorLives notes whether an allocator runs. While it does not, ends of parts go over no connection, and a
// group that was declared standing has nobody to mend it.
func (a *Auditor) allocatorLives(now placement.Millis, name string, alive bool) {
	a.dead[name] = !alive
	for _, g := range a.gangs {
		if g.alloc == name && g.partial >= 0 {
			g.partial = now
		}
	}
}

// stops checks that a part is stopped once: a stop may be repeated only after a while without an end, or over
// another connection.
func (a *Auditor) stops(now placement.Millis, c transport.ConnID, b *pb.BindID, seen frameSeen) {
	k := keyOf(b)
	if last, met := a.stopped[k]; met && last.c == c && now-last.seen.at < stopAgain {
		a.breaks(6, now, 0, nil, "a part stopped twice", last.seen, seen)
	}
	a.stopped[k] = stopSeen{c, seen}
}

// stopSeen is the last stop of a part.
type stopSeen struct {
	c    transport.ConnID
	seen frameSeen
}

func (a *Auditor) partStands(now placement.Millis, p *partSeen) {
	if p.since >= 0 {
		return
	}
	p.since = now
	p.gang.standing[p.part] = p
	a.weigh(now, p.gang)
}

// partGone takes the end of a part. One that was not accepted yet never stood.
func (a *Auditor) partGone(now placement.Millis, k bindKey, p *partSeen, why pb.Why) {
	g := p.gang
	if p.since >= 0 {
		spent := float64(now-p.since) / 1000 * p.cores
		if a.spent += spent; !g.stood {
			a.wasted += spent
		}
	}
	if why == pb.Why_FINISHED && g.stood {
		g.ends = true
	}
	if g.standing[p.part] == p {
		delete(g.standing, p.part)
	}
	p.since = -1
	delete(a.parts, k)
	a.weigh(now, g)
}

// weigh notes since when a group is neither whole nor gone.
func (a *Auditor) weigh(now placement.Millis, g *gangSeen) {
	a.tell(now, g)
	if n := len(g.standing); n == 0 || n >= g.need || g.ends {
		g.partial = -1
	} else if g.partial < 0 {
		g.partial = now
	}
}

// tell tells on a group that is partial for longer than its lease and the time to settle.
func (a *Auditor) tell(now placement.Millis, g *gangSeen) {
	if g.partial < 0 || g.told || g.stood && a.dead[g.alloc] || now-g.partial <= g.lease+partialMost {
		return
	}
	g.told = true
	a.Partial++
	var frames []frameSeen
	for _, p := range g.standing {
		frames = append(frames, p.seen)
	}
	slices.SortFunc(frames, func(x, y frameSeen) int { return cmp.Compare(x.at, y.at) })
	a.breaks(6, now, 0, nil, fmt.Sprintf("group %d of %s has %d parts standing of %d needed for %.0f ms", g.ref.ask, g.ref.owner,
		len(g.standing), g.need, now-g.partial), frames...)
}

// nodeDied ends what stood on a node whose process is gone.
func (a *Auditor) nodeDied(now placement.Millis, node uint32) {
	for _, k := range a.sortedParts() {
		if p := a.parts[k]; p.node == node {
			a.partGone(now, k, p, pb.Why_LOST)
		}
	}
}

// sortedParts returns the keys of the parts on nodes in a fixed order, so that floating-point sums over them do not depend
// on the order of the map.
func (a *Auditor) sortedParts() []bindKey {
	return slices.SortedFunc(maps.Keys(a.parts), func(x, y bindKey) int {
		return cmp.Or(cmp.Compare(x.allocator, y.allocator), cmp.Compare(x.incarnation, y.incarnation),
			cmp.Compare(x.workload, y.workload), cmp.Compare(x.number, y.number))
	})
}

func (a *Auditor) finishGangs(now placement.Millis) {
	for _, k := range a.sortedParts() {
		if p := a.parts[k]; p.since >= 0 {
			spent := float64(now-p.since) / 1000 * p.cores
			if a.spent += spent; !p.gang.stood {
				a.wasted += spent
			}
		}
	}
	for _, g := range a.gangs {
		a.tell(now, g)
		for _, p := range g.parts {
			if len(p.binds) > bindsMost {
				a.breaks(6, now, 0, p, fmt.Sprintf("a part of group %d of %s has had %d binds", g.ref.ask, g.ref.owner, len(p.binds)))
			}
		}
	}
}

// wastedShare is the share of the core time of parts that groups took which did not stand.
func (a *Auditor) wastedShare() float64 {
	if a.spent == 0 {
		return 0
	}
	return a.wasted / a.spent
}
