package native

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/internal/gang"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	leaseSpare  = placement.Millis(3e3)  // ms beyond a start's time that an undeclared part may stand
	adoptSettle = placement.Millis(1500) // ms after our start that parts found on nodes wait for the others
	mostParts   = 1000
)

// spreads are the places that no two parts of a gang may share, by wish. Each of the settings' groups has a
// variant for each, so that placement keeps it like any other spread.
var spreads = []struct {
	word  string
	scope placement.Scope
}{{"node", placement.ScopeNode}, {"cell", placement.ScopeCell}, {"zone", placement.ScopeZone}}

// WithSpreadVariants adds to settings the variants of each group.
func WithSpreadVariants(s placement.Settings) placement.Settings {
	base := s.Groups
	s.Groups = slices.Clone(base)
	for _, spread := range spreads {
		for _, g := range base {
			g.SpreadScope, g.MaxPerScope = spread.scope, 1
			s.Groups = append(s.Groups, g)
		}
	}
	return s
}

// groupNames are the names of groups and of their variants.
func groupNames(base []string) []string {
	names := slices.Clone(base)
	for _, spread := range spreads {
		for _, name := range base {
			names = append(names, name+" apart by "+spread.word)
		}
	}
	return names
}

// group is a gang on the wire.
type group struct {
	state   *gang.Gang // nil while parts of it are being found after a restart
	id      askID
	ask     *pb.GangAsk
	parts   []placement.WorkloadID // as asked for last, 0 for none
	expires placement.Millis
	since   placement.Millis
	pending bool
	kept    bool // a part was found that had been declared standing
	told    gang.State
}

// partOf is what goes with the offer of a part.
func (g *group) partOf(now placement.Millis, part int) *pb.GangPart {
	lease := max(0, g.expires-now) + leaseSpare
	if g.state != nil && g.state.State == gang.Standing {
		lease = placement.Millis(g.ask.ReplaceWithinMs) + leaseSpare
	}
	return &pb.GangPart{
		Part: uint32(part), Of: uint32(len(g.parts)), Need: g.ask.Need, LeaseMs: float64(lease), Replace: g.ask.Replace,
		ReplaceWithinMs: g.ask.ReplaceWithinMs,
	}
}

// gangAsk takes a group to its module, or turns it away at once with the reason.
func (p *Frontend) gangAsk(now placement.Millis, c transport.ConnID, owner string, a *pb.GangAsk) {
	p.Counters.Requests++
	id, late := askID{owner, a.Ask}, p.underWay(now, p.peers[c], a.SentMs)
	if p.gangs[id] != nil || p.passed(c, a.Ask) {
		p.Counters.DuplicateRequests++
		return
	}
	if a.Need == 0 {
		a.Need = uint32(len(a.Parts))
	}
	if reason := p.gangUnfit(a); reason != "" {
		p.Counters.NotAdmitted++
		p.answer(c, a.Ask, pb.Verdict_REJECTED, 0, reason)
		return
	}
	if p.book != nil && slices.ContainsFunc(a.Parts, func(part *pb.Ask) bool { return p.book.KnownBeforeRestart(p.unix(now), part.Key) }) {
		p.Counters.AnsweredFromJournal++
		p.answer(c, a.Ask, pb.Verdict_UNSCHEDULABLE, 0, "a bind of one of its parts went out before; it may have run")
		return
	}
	left := placement.Millis(a.LeftMs) - late
	g := &group{
		id: id, ask: a, parts: make([]placement.WorkloadID, len(a.Parts)), expires: now + left, since: now, pending: true,
	}
	g.state = gang.New(now, p.wish(a, left), p.c.Seed^a.Ask)
	p.gangs[id] = g
	p.pending++
	p.Counters.Gangs++
	if p.tap != nil {
		p.tap.RecordGangRequest(now, owner, a.Ask, len(a.Parts), int(a.Need), left)
	}
	p.act(now, g, g.state.Begin(now))
}

// gangUnfit says why a group cannot be taken, or "".
func (p *Frontend) gangUnfit(a *pb.GangAsk) string {
	keys := map[uint64]bool{}
	known := a.Spread == "" || slices.ContainsFunc(spreads, func(s struct {
		word  string
		scope placement.Scope
	}) bool {
		return s.word == a.Spread
	})
	switch {
	case len(a.Parts) == 0 || len(a.Parts) > mostParts:
		return fmt.Sprintf("a gang of %d parts; it must have 1 to %d", len(a.Parts), mostParts)
	case int(a.Need) > len(a.Parts):
		return fmt.Sprintf("need is %d of %d parts", a.Need, len(a.Parts))
	case !known:
		return fmt.Sprintf(`spread is %q; it must be "node", "cell", "zone" or nothing`, a.Spread)
	case a.Replace && a.ReplaceWithinMs <= 0:
		return "replace_within_ms must be above 0 where parts are to be replaced"
	case p.c.MaxWorkloads > 0 && len(p.wls)+p.idleParts()+len(a.Parts) > p.c.MaxWorkloads:
		return fmt.Sprintf("the allocator holds %d workloads and may hold %d", len(p.wls)+p.idleParts(), p.c.MaxWorkloads)
	}
	for i, part := range a.Parts {
		part.Ask, part.LeftMs = a.Ask, a.LeftMs
		if reason := p.unfit(part); reason != "" {
			return fmt.Sprintf("part %d: %s", i, reason)
		}
		if keys[part.Key] {
			return fmt.Sprintf("part %d has the key of another part", i)
		}
		keys[part.Key] = true
	}
	return ""
}

// idleParts counts the parts of groups that are not asked for now: a group that waits to be begun again holds its place.
func (p *Frontend) idleParts() (n int) {
	for _, g := range p.gangs {
		for _, id := range g.parts {
			if id == 0 {
				n++
			}
		}
	}
	return n
}

func (p *Frontend) wish(a *pb.GangAsk, left placement.Millis) gang.Wish {
	w := gang.Wish{Need: int(a.Need), Left: left, ReplaceWithin: placement.Millis(a.ReplaceWithinMs)}
	if a.Replace {
		w.OnLoss = gang.Replace
	}
	for _, part := range a.Parts {
		w.Parts = append(w.Parts, p.gangPart(part))
	}
	return w
}

// gangPart is what a decision needs of a part: what a second start does, and its share of the largest kind.
func (p *Frontend) gangPart(a *pb.Ask) gang.Part {
	part := gang.Part{}
	if g, ok := p.groups[a.Group]; ok {
		part.Effect = p.c.Settings.Groups[g].Idempotency
	}
	for _, k := range p.c.Settings.NodeKinds {
		part.Size = max(part.Size, min(1, a.Cores/k.Cores), min(1, a.Memory/k.Memory))
	}
	return part
}

// part makes the workload of a part that is asked for.
func (p *Frontend) part(now placement.Millis, g *group, i int, left placement.Millis) placement.Workload {
	a := g.ask.Parts[i]
	p.lastID++
	id := p.lastID
	p.wls[id] = &workload{owner: g.id.owner, ask: a, since: now, gang: g, part: i}
	p.keys[a.Key] = id
	g.parts[i] = id
	if p.tap != nil {
		p.tap.RecordRequest(now, id, g.id.owner, a.Ask, a.Key)
	}
	w := p.workload(id, a)
	w.PendingTimeout = left
	w.Retried = w.Retried || g.state.Tries() > 1
	for k, s := range spreads {
		if s.word == g.ask.Spread {
			w.Group += placement.GroupID((k + 1) * len(p.c.Groups))
		}
	}
	return w
}

// act does what a group's module wants done.
func (p *Frontend) act(now placement.Millis, g *group, acts []gang.Act) {
	for _, a := range acts {
		switch a.Kind {
		case gang.Try:
			p.try(now, g, a)
		case gang.Ask:
			p.engine.Schedule(now, p.part(now, g, a.Part, a.Left))
		case gang.Stop:
			p.stopPart(now, g, a.Part)
		case gang.Place:
			p.Counters.GangsPlaced++
			p.gangAnswer(now, g, pb.Verdict_PLACED, "")
		case gang.Reject:
			p.Counters.GangsAbandoned++
			p.gangAnswer(now, g, pb.Verdict_REJECTED, p.gangWhy(g))
		case gang.GiveUp:
			p.Counters.GangsAbandoned++
			p.gangAnswer(now, g, pb.Verdict_UNSCHEDULABLE, "a part that must not run twice may have run")
		case gang.Keep:
			p.keep(g)
		case gang.Over:
			if c, ok := p.owners[g.id.owner]; ok {
				p.net.Send(c, &pb.Frame{Body: &pb.Frame_Over{Over: &pb.Over{Ask: g.id.ask, Why: p.overWhy(g)}}})
			}
		case gang.Wake:
			p.wakeGang(now, g, a.At)
		case gang.Forget:
			if g.pending {
				g.pending = false
				p.pending--
			}
			delete(p.gangs, g.id)
		}
	}
	if g.told != g.state.State && p.tap != nil {
		p.tap.RecordGangState(now, g.id.owner, g.id.ask, g.state.State.String(), g.parts)
	}
	g.told = g.state.State
}

// wakeGang has a group's module called once that time has come, if the group is still there. A timer stands for a minute at
// most, as in the engine.
func (p *Frontend) wakeGang(now placement.Millis, g *group, at placement.Millis) {
	p.timers.Schedule(max(now, min(at, now+allocator.MaxTimerDelay)), func(now placement.Millis) {
		switch {
		case p.gangs[g.id] != g:
		case now < at:
			p.wakeGang(now, g, at)
		default:
			p.act(now, g, g.state.Due(now))
		}
	})
}

func (p *Frontend) try(now placement.Millis, g *group, a gang.Act) {
	ws := make([]placement.Workload, len(a.Parts))
	for k, i := range a.Parts {
		ws[k] = p.part(now, g, i, g.expires-now)
	}
	sent := p.engine.ScheduleGang(now, ws, a.Need)
	offered := make([]bool, len(g.parts))
	for k, i := range a.Parts {
		offered[i] = sent[k]
		if !sent[k] {
			g.parts[i] = 0
		}
	}
	p.act(now, g, g.state.Tried(now, offered))
}

func (p *Frontend) stopPart(now placement.Millis, g *group, part int) {
	id := g.parts[part]
	wl := p.wls[id]
	switch {
	case wl == nil:
		p.later = append(p.later, func(now placement.Millis) {
			if p.gangs[g.id] == g && g.parts[part] == id {
				p.act(now, g, g.state.Ended(now, part, false))
			}
		})
	case wl.stopped: // once more: the first stop may have been lost
		if n := p.node(wl.last()); n != nil && n.ready {
			p.stop(n, p.bindID(id, wl), false)
		}
	default:
		wl.stopped = true
		p.Counters.GangPartStops++
		p.engine.Withdraw(now, id)
	}
}

// keep tells the nodes of the parts that run that their gang stands.
func (p *Frontend) keep(g *group) {
	for i, id := range g.parts {
		wl := p.wls[id]
		if wl == nil || g.state.Parts[i] != gang.Running {
			continue
		}
		if n := p.node(wl.last()); n != nil && n.ready {
			p.net.Send(n.conn, &pb.Frame{Body: &pb.Frame_Keep{Keep: &pb.Keep{Bind: p.bindID(id, wl)}}})
		}
	}
}

// keepAgain repeats a Keep that was lost with its connection.
func (p *Frontend) keepAgain(n *node, id placement.WorkloadID, s *pb.Standing) {
	wl := p.wls[id]
	if wl != nil && wl.gang != nil && !s.Kept && wl.gang.state != nil && wl.gang.state.State == gang.Standing {
		p.net.Send(n.conn, &pb.Frame{Body: &pb.Frame_Keep{Keep: &pb.Keep{Bind: s.Offer.Bind}}})
	}
}

func (p *Frontend) gangAnswer(now placement.Millis, g *group, v pb.Verdict, reason string) {
	if g.pending {
		g.pending = false
		p.pending--
	}
	a := &pb.Answer{Ask: g.id.ask, Verdict: v, Reason: reason}
	for i, id := range g.parts {
		node := uint32(0)
		if wl := p.wls[id]; v == pb.Verdict_PLACED && wl != nil && g.state.Parts[i] == gang.Running {
			node = uint32(wl.last())
		}
		a.Nodes = append(a.Nodes, node)
	}
	p.over(g.id.owner, g.id.ask, false)
	if c, ok := p.owners[g.id.owner]; ok {
		p.net.Send(c, &pb.Frame{Body: &pb.Frame_Answer{Answer: a}})
	}
}

func (p *Frontend) gangWhy(g *group) string {
	if g.state.Tries() <= 1 && !slices.ContainsFunc(g.parts, func(id placement.WorkloadID) bool { return id != 0 }) {
		return fmt.Sprintf("%d of %d parts do not fit together on the %d nodes known", g.ask.Need, len(g.parts), len(p.nodes))
	}
	return fmt.Sprintf("it fell apart, %d times begun", g.state.Tries())
}

func (p *Frontend) overWhy(g *group) pb.Why {
	if !slices.ContainsFunc(g.state.Parts, func(s gang.PartState) bool { return s != gang.Finished }) {
		return pb.Why_FINISHED
	}
	return pb.Why_LOST
}

// partEvent takes something that happened to a part to its module, once the engine is done with what it does.
// What concerns a workload that is no more the part's is passed over.
func (p *Frontend) partEvent(id placement.WorkloadID, wl *workload, event func(now placement.Millis) []gang.Act) {
	g := wl.gang
	p.later = append(p.later, func(now placement.Millis) {
		if g.state != nil && p.gangs[g.id] == g && g.parts[wl.part] == id {
			p.act(now, g, event(now))
		}
	})
}

func (p *Frontend) partAnswered(id placement.WorkloadID, wl *workload, v allocator.Verdict) {
	if p.tap != nil {
		p.tap.RecordAnswer(p.now, id, uint8(v), wl.last(), "a part of a gang")
	}
	switch v {
	case allocator.Placed:
		if p.c.Settings.ConfirmsRunning {
			p.partRuns(id)
		}
	case allocator.Rejected:
		p.partEvent(id, wl, func(now placement.Millis) []gang.Act { return wl.gang.state.Failed(now, wl.part, false) })
	default:
		// It may run where its last bind went. Its gang is undone, so nothing of it may be left.
		// A run-once one was called off only as far as it was waiting; any other has been stopped already.
		to, bind, stopped := wl.last(), p.bindID(id, wl), wl.called == len(wl.nodes) && !p.keeps(wl)
		p.partEvent(id, wl, func(now placement.Millis) []gang.Act {
			if n := p.node(to); n != nil && n.ready && !stopped {
				p.stop(n, bind, false)
			}
			return wl.gang.state.Failed(now, wl.part, true)
		})
	}
}

// keeps tells whether a node that accepted the workload keeps it when its bind times out.
func (p *Frontend) keeps(wl *workload) bool {
	return p.gangPart(wl.ask).Effect == placement.AtMostOnce
}

// partRuns takes that a workload runs, if it is a part.
func (p *Frontend) partRuns(id placement.WorkloadID) {
	if wl := p.wls[id]; wl != nil && wl.gang != nil {
		p.partEvent(id, wl, func(now placement.Millis) []gang.Act { return wl.gang.state.Up(now, wl.part) })
	}
}

func (p *Frontend) gangWithdraw(now placement.Millis, g *group) {
	if g.state == nil {
		return // parts are still being found; they are decided about together
	}
	p.Counters.Withdrawn++
	p.act(now, g, g.state.Withdraw(now))
}

// gangOwnerGone withdraws an owner's groups that have no answer yet: it can be told none.
func (p *Frontend) gangOwnerGone(now placement.Millis, owner string) {
	for _, id := range p.gangIDs() {
		if g := p.gangs[id]; g != nil && id.owner == owner && g.pending {
			p.gangWithdraw(now, g)
		}
	}
}

func (p *Frontend) gangIDs() []askID {
	return slices.SortedFunc(maps.Keys(p.gangs), func(x, y askID) int {
		return cmp.Or(cmp.Compare(x.owner, y.owner), cmp.Compare(x.ask, y.ask))
	})
}

// found takes a part that an earlier incarnation started. When all nodes have had time to tell, the group goes
// on as it was declared, or nothing of it is left.
func (p *Frontend) found(now placement.Millis, id placement.WorkloadID, wl *workload, s *pb.Standing) {
	of := s.Offer.Gang
	key := askID{wl.owner, wl.ask.Ask}
	g := p.gangs[key]
	if g == nil {
		of.Of = min(max(of.Of, of.Part+1), mostParts)
		g = &group{
			id: key, since: now, parts: make([]placement.WorkloadID, of.Of),
			ask: &pb.GangAsk{
				Ask: key.ask, Need: of.Need, Replace: of.Replace, ReplaceWithinMs: of.ReplaceWithinMs, Parts: make([]*pb.Ask, of.Of),
			},
		}
		p.gangs[key] = g
		p.timers.Schedule(now+adoptSettle, func(now placement.Millis) { p.recover(now, g) })
	}
	if g.state != nil || int(of.Part) >= len(g.parts) || g.parts[of.Part] != 0 {
		// It comes after its group was decided about, or stands twice.
		wl.stopped = true
		p.engine.Withdraw(now, id)
		return
	}
	wl.gang, wl.part = g, int(of.Part)
	g.parts[of.Part], g.ask.Parts[of.Part] = id, wl.ask
	g.kept = g.kept || s.Kept
}

func (p *Frontend) recover(now placement.Millis, g *group) {
	if p.gangs[g.id] != g {
		return
	}
	running := make([]bool, len(g.parts))
	for i, id := range g.parts {
		running[i] = id != 0 && p.wls[id] != nil
		if g.ask.Parts[i] == nil {
			g.ask.Parts[i] = &pb.Ask{}
		}
	}
	var acts []gang.Act
	g.state, acts = gang.Recover(now, p.wish(g.ask, 0), running, g.kept, p.c.Seed^g.id.ask)
	p.act(now, g, acts)
}

// gangStates answers an operator's question.
func (p *Frontend) gangStates(now placement.Millis, most int) (states []*pb.GangStatus, leftOut uint32) {
	ids := p.gangIDs()
	for _, id := range ids[:min(len(ids), most)] {
		g := p.gangs[id]
		s := &pb.GangStatus{
			Owner: id.owner, Ask: id.ask, State: "found", Parts: uint32(len(g.parts)), Need: g.ask.Need,
			SinceMs: float64(now - g.since),
		}
		if g.state != nil {
			s.State, s.Tries = g.state.State.String(), uint32(g.state.Tries())
			for _, part := range g.state.Parts {
				if part == gang.Running {
					s.Running++
				}
			}
		}
		for _, wl := range g.parts {
			s.Workloads = append(s.Workloads, uint64(wl))
		}
		states = append(states, s)
	}
	return states, uint32(max(0, len(ids)-most))
}
