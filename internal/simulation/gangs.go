package simulation

import (
	"fmt"
	"maps"
	"slices"

	"grebeglade/config"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// stopWithin is how long, in ms, an owner that asks for parts by itself waits for all of them before it stops
// those that it has.
const stopWithin = placement.Millis(5e3)

// GangDemand is what is asked for in groups of one kind.
type GangDemand struct {
	Group         string
	Effect        placement.Idempotency
	Rate          float64 // a second, of this owner
	Parts, Need   int
	Shape         [2]float64
	Life          placement.Millis
	Pending       placement.Millis
	Spread        string
	Replace       bool
	ReplaceWithin placement.Millis
}

// GangPolicy is how groups are asked for: as groups, or in one of two ways to compare with.
type GangPolicy string

const (
	Together    GangPolicy = "together"
	Independent GangPolicy = "independent" // each part by itself; when its time is up, a group that is not whole is stopped
	ForEver     GangPolicy = "for-ever"    // as a group, asked for again at once whenever it is given up, until its time is up
)

// wantedGang is a group that an owner wants.
type wantedGang struct {
	demand  *GangDemand
	keys    []uint64
	service uint64
	first   placement.Millis // asked for
	until   placement.Millis // when it is no use any more
	tries   int
	stood   bool
	placed  map[int]*wanted // parts asked for by themselves
	over    bool
}

func (o *Owner) gangGap(i int) placement.Millis {
	return placement.Millis(min(60e3, o.wants.ExpFloat64()*1000/max(1e-6, o.model.Gangs[i].Rate*o.Burst)))
}

// nextGang asks for a new group and comes again.
func (o *Owner) nextGang(now placement.Millis, i int) {
	if now >= o.model.Until {
		return
	}
	o.timers.Schedule(now+o.gangGap(i), func(now placement.Millis) { o.nextGang(now, i) })
	d := &o.model.Gangs[i]
	g := &wantedGang{
		demand: d, first: now, until: min(now+2*d.Pending, o.model.Until), service: serviceID(d.Group+" gang", i),
		placed: map[int]*wanted{},
	}
	o.Tally.Gangs++
	if o.model.Policy == Independent {
		o.gangParts(now, g)
		return
	}
	o.gangAsk(now, g)
}

func (o *Owner) newKeys(n int) (keys []uint64) {
	for range n {
		o.keys++
		keys = append(keys, uint64(o.no)<<40|o.keys)
	}
	return keys
}

// there are the connections to allocators that have said hello.
func (o *Owner) there() (conns []int) {
	for i, c := range o.conns {
		if _, ok := o.ready[c]; ok {
			conns = append(conns, i)
		}
	}
	return conns
}

func (g *wantedGang) part(i int) *pb.Ask {
	d := g.demand
	return &pb.Ask{
		Key: g.keys[i], Service: g.service, Group: d.Group, Cores: d.Shape[0], Memory: d.Shape[1], RunsForMs: float64(d.Life),
		Again: g.tries > 1,
	}
}

// gangAsk asks for a group as a whole. A new try has new keys: what is left of the one before is its own.
func (o *Owner) gangAsk(now placement.Millis, g *wantedGang) {
	there := o.there()
	if len(there) == 0 {
		o.gangAgain(now, &wanted{gang: g}, false)
		return
	}
	d := g.demand
	g.tries++
	if g.keys == nil || d.Effect != placement.AtMostOnce {
		g.keys = o.newKeys(d.Parts)
	}
	at := there[o.rng.IntN(len(there))]
	o.lastAsk++
	no := o.lastAsk
	w := &wanted{key: g.keys[0], asked: now, conn: o.conns[at], at: at, gang: g, ends: now + d.Life}
	o.asks[no] = w
	o.Tally.Asks++
	a := &pb.GangAsk{
		Ask: no, Need: uint32(d.Need), LeftMs: float64(d.Pending), Spread: d.Spread, Replace: d.Replace,
		ReplaceWithinMs: float64(d.ReplaceWithin), SentMs: float64(now),
	}
	for i := range d.Parts {
		a.Parts = append(a.Parts, g.part(i))
	}
	o.net.Send(w.conn, &pb.Frame{Body: &pb.Frame_GangAsk{GangAsk: a}})
	o.timers.Schedule(now+d.Pending+o.model.Slack, func(now placement.Millis) { o.giveUp(now, no, w) })
	if o.rng.Float64() < o.model.Withdraws {
		o.timers.Schedule(now+placement.Millis(o.rng.Float64())*d.Life/4, func(now placement.Millis) { o.gangWithdraw(now, no, w) })
	}
}

// gangWithdraw takes a group back, in the middle of whatever it is at.
func (o *Owner) gangWithdraw(_ placement.Millis, no uint64, w *wanted) {
	if o.asks[no] != w {
		return
	}
	if !w.placed {
		o.Tally.Withdrawn++
	}
	o.drop(no, w)
	o.gangGivenUp(w.gang)
}

func (o *Owner) gangAnswered(now placement.Millis, w *wanted, a *pb.Answer) {
	g := w.gang
	switch a.Verdict {
	case pb.Verdict_PLACED:
		o.Tally.Placed++
		w.placed = true
		w.asked = now // from here on it takes room
		if g.placed[w.part] = w; o.model.Policy == Independent {
			o.gangWhole(now, g)
			return
		}
		o.gangStood(now, g)
	case pb.Verdict_REJECTED:
		o.Tally.Rejected++
		delete(o.asks, a.Ask)
		o.gangAgain(now, w, false)
	default:
		o.Tally.Unschedulable++
		delete(o.asks, a.Ask)
		o.gangAgain(now, w, true)
	}
}

func (o *Owner) gangStood(now placement.Millis, g *wantedGang) {
	if !g.stood {
		g.stood = true
		o.Tally.GangsStood++
		o.Tally.GangWaits = append(o.Tally.GangWaits, float64(now-g.first))
	}
}

// gangAgain asks once more while there is time.
func (o *Owner) gangAgain(now placement.Millis, w *wanted, mayHaveRun bool) {
	g := w.gang
	if o.model.Policy == Independent {
		o.partAgain(now, w, mayHaveRun)
		return
	}
	wait := o.model.Again * placement.Millis(0.75+o.rng.Float64()/2)
	if o.model.Policy == ForEver {
		wait = 100
	}
	if mayHaveRun && g.demand.Effect == placement.AtMostOnce || now+wait > g.until {
		o.gangGivenUp(g)
		return
	}
	o.timers.Schedule(now+wait, func(now placement.Millis) { o.gangAsk(now, g) })
}

func (o *Owner) gangGivenUp(g *wantedGang) {
	if !g.over && !g.stood {
		o.Tally.GangsGivenUp++
	}
	g.over = true
}

// gangOver takes the end of a group that stood.
func (o *Owner) gangOver(now placement.Millis, w *wanted, why pb.Why) {
	o.Tally.Ended[why]++
	w.gang.over = true
}

// gangParts asks for the parts of a group each by itself, and stops what there is if it is not whole in time.
func (o *Owner) gangParts(now placement.Millis, g *wantedGang) {
	g.keys = o.newKeys(g.demand.Parts)
	for i := range g.demand.Parts {
		o.partAsk(now, g, i)
	}
	o.timers.Schedule(now+stopWithin, func(now placement.Millis) { o.gangLate(now, g) })
}

func (o *Owner) partAsk(now placement.Millis, g *wantedGang, i int) {
	there := o.there()
	if g.over || len(there) == 0 {
		return
	}
	at := there[o.rng.IntN(len(there))]
	o.lastAsk++
	no := o.lastAsk
	w := &wanted{key: g.keys[i], asked: now, conn: o.conns[at], at: at, gang: g, part: i, ends: now + g.demand.Life}
	o.asks[no] = w
	o.Tally.Asks++
	a := g.part(i)
	a.Ask, a.LeftMs = no, float64(g.demand.Pending)
	o.net.Send(w.conn, &pb.Frame{Body: &pb.Frame_Ask{Ask: a}})
	o.timers.Schedule(now+g.demand.Pending+o.model.Slack, func(now placement.Millis) { o.giveUp(now, no, w) })
}

func (o *Owner) partAgain(now placement.Millis, w *wanted, mayHaveRun bool) {
	g := w.gang
	if g.over || mayHaveRun && g.demand.Effect == placement.AtMostOnce {
		return
	}
	o.timers.Schedule(now+o.model.Again, func(now placement.Millis) { o.partAsk(now, g, w.part) })
}

func (o *Owner) gangWhole(now placement.Millis, g *wantedGang) {
	if len(g.placed) >= g.demand.Need && !g.stood {
		o.Tally.Used += float64(g.demand.Life) / 1000 * g.demand.Shape[0] * float64(len(g.placed))
		o.gangStood(now, g)
	}
}

// gangLate stops the parts of a group that is not whole, and begins it anew while there is time.
func (o *Owner) gangLate(now placement.Millis, g *wantedGang) {
	if g.stood || g.over {
		return
	}
	for _, no := range slices.Sorted(maps.Keys(o.asks)) {
		if w := o.asks[no]; w.gang == g {
			if !w.placed {
				o.Tally.Withdrawn++
			} else {
				o.Tally.Wasted += float64(now-w.asked) / 1000 * g.demand.Shape[0]
			}
			o.drop(no, w)
		}
	}
	if g.placed = map[int]*wanted{}; now+stopWithin > g.until || g.demand.Effect == placement.AtMostOnce {
		o.gangGivenUp(g)
		return
	}
	o.gangParts(now, g)
}

// readGangs reads the groups that a day's owners ask for.
func (s *Script) readGangs(b *config.Block) {
	for _, g := range b.Named("gang") {
		d := GangDemand{
			Group: g.String("group", firstOf(s.Groups)), Rate: g.Float("rate", 0.3, 0, 1e4), Parts: g.Int("parts", 4, 1, 1000),
			Life: g.Duration("life", 8e3), Pending: g.Duration("pending", 8e3), Spread: g.OneOf("spread", "", "", "node", "cell", "zone"),
			Replace: g.Bool("replace", false), ReplaceWithin: g.Duration("replace_within", 3e3),
			Shape: [2]float64{g.Float("cores", 2, 0.001, 1e6), g.Float("memory", 4, 0.001, 1e9)},
		}
		d.Need = g.Int("need", d.Parts, 1, d.Parts)
		at := slices.Index(s.Groups, d.Group)
		if at < 0 {
			g.AddProblem("group", fmt.Sprintf("group %q is not known", d.Group), fmt.Sprintf("write one of %q", s.Groups))
			continue
		}
		d.Effect = s.Settings.Groups[at].Idempotency
		s.Owner.Gangs = append(s.Owner.Gangs, d)
	}
	s.Owner.Policy = Together
}
