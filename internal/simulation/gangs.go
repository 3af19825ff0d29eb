package simulation

import (
	"maps"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// stopWithin is how long, in ms, an owner that asks for parts by itself waits for all of them before it stops
// those that it has.
const gangStopTimeout = placement.Millis(5e3)

// wantedGang is a group that an owner wants.
type clientGang struct {
	demand      *scenario.GangDemand
	keys        []uint64
	service     uint64
	requestedAt placement.Millis // asked for
	until       placement.Millis // when it is no use any more
	attempts    int
	started     bool
	placed      map[int]*clientRequest // parts asked for by themselves
	ended       bool
}

func (o *Client) gangGap(i int) placement.Millis {
	return placement.Millis(min(60e3, o.demandRNG.ExpFloat64()*1000/max(1e-6, o.model.Gangs[i].Rate*o.RateFactor)))
}

// nextGang asks for a new group and comes again.
func (o *Client) nextGang(now placement.Millis, i int) {
	if now >= o.model.Until {
		return
	}
	o.timers.Schedule(now+o.gangGap(i), func(now placement.Millis) { o.nextGang(now, i) })
	d := &o.model.Gangs[i]
	g := &clientGang{
		demand: d, requestedAt: now, until: min(now+2*d.PendingTimeout, o.model.Until), service: serviceID(d.Group+" gang", i),
		placed: map[int]*clientRequest{},
	}
	o.Tally.Gangs++
	if o.model.GangPolicy == scenario.Independent {
		o.requestParts(now, g)
		return
	}
	o.requestGang(now, g)
}

func (o *Client) newKeys(n int) (keys []uint64) {
	for range n {
		o.keys++
		keys = append(keys, uint64(o.index)<<40|o.keys)
	}
	return keys
}

// there are the connections to allocators that have said hello.
func (o *Client) connectedAllocators() (conns []int) {
	for i, c := range o.connections {
		if _, ok := o.allocatorByConn[c]; ok {
			conns = append(conns, i)
		}
	}
	return conns
}

func (g *clientGang) part(i int) *pb.Ask {
	d := g.demand
	return &pb.Ask{
		Key: g.keys[i], Service: g.service, Group: d.Group, Cores: d.Shape[0], Memory: d.Shape[1], RunsForMs: float64(d.Lifetime),
		Again: g.attempts > 1,
	}
}

// gangAsk asks for a group as a whole. A new try has new keys: what is left of the one before is its own.
func (o *Client) requestGang(now placement.Millis, g *clientGang) {
	there := o.connectedAllocators()
	if len(there) == 0 {
		o.retryGang(now, &clientRequest{gang: g}, false)
		return
	}
	d := g.demand
	g.attempts++
	if g.keys == nil || d.Idempotency != placement.AtMostOnce {
		g.keys = o.newKeys(d.Parts)
	}
	at := there[o.rng.IntN(len(there))]
	o.lastRequest++
	no := o.lastRequest
	w := &clientRequest{key: g.keys[0], requestedAt: now, conn: o.connections[at], allocator: at, gang: g, endsAt: now + d.Lifetime}
	o.requests[no] = w
	o.Tally.Requests++
	a := &pb.GangAsk{
		Ask: no, Need: uint32(d.MinParts), LeftMs: float64(d.PendingTimeout), Spread: d.SpreadScope, Replace: d.Replace,
		ReplaceWithinMs: float64(d.ReplaceTimeout), SentMs: float64(now),
	}
	for i := range d.Parts {
		a.Parts = append(a.Parts, g.part(i))
	}
	o.net.Send(w.conn, &pb.Frame{Body: &pb.Frame_GangAsk{GangAsk: a}})
	o.timers.Schedule(now+d.PendingTimeout+o.model.AnswerSlack, func(now placement.Millis) { o.giveUp(now, no, w) })
	if o.rng.Float64() < o.model.WithdrawShare {
		o.timers.Schedule(now+placement.Millis(o.rng.Float64())*d.Lifetime/4, func(now placement.Millis) { o.gangWithdraw(now, no, w) })
	}
}

// gangWithdraw takes a group back, in the middle of whatever it is at.
func (o *Client) gangWithdraw(_ placement.Millis, no uint64, w *clientRequest) {
	if o.requests[no] != w {
		return
	}
	if !w.placed {
		o.Tally.Withdrawn++
	}
	o.drop(no, w)
	o.abandonGang(w.gang)
}

func (o *Client) gangAnswered(now placement.Millis, w *clientRequest, a *pb.Answer) {
	g := w.gang
	switch a.Verdict {
	case pb.Verdict_PLACED:
		o.Tally.Placed++
		w.placed = true
		w.requestedAt = now // from here on it takes room
		if g.placed[w.part] = w; o.model.GangPolicy == scenario.Independent {
			o.checkGangComplete(now, g)
			return
		}
		o.gangStarted(now, g)
	case pb.Verdict_REJECTED:
		o.Tally.Rejected++
		delete(o.requests, a.Ask)
		o.retryGang(now, w, false)
	default:
		o.Tally.Unschedulable++
		delete(o.requests, a.Ask)
		o.retryGang(now, w, true)
	}
}

func (o *Client) gangStarted(now placement.Millis, g *clientGang) {
	if !g.started {
		g.started = true
		o.Tally.GangsStarted++
		o.Tally.GangWaits = append(o.Tally.GangWaits, float64(now-g.requestedAt))
	}
}

// gangAgain asks once more while there is time.
func (o *Client) retryGang(now placement.Millis, w *clientRequest, mayHaveRun bool) {
	g := w.gang
	if o.model.GangPolicy == scenario.Independent {
		o.retryPart(now, w, mayHaveRun)
		return
	}
	wait := o.model.RetryDelay * placement.Millis(0.75+o.rng.Float64()/2)
	if o.model.GangPolicy == scenario.UntilPlaced {
		wait = 100
	}
	if mayHaveRun && g.demand.Idempotency == placement.AtMostOnce || now+wait > g.until {
		o.abandonGang(g)
		return
	}
	o.timers.Schedule(now+wait, func(now placement.Millis) { o.requestGang(now, g) })
}

func (o *Client) abandonGang(g *clientGang) {
	if !g.ended && !g.started {
		o.Tally.GangsAbandoned++
	}
	g.ended = true
}

// gangOver takes the end of a group that stood.
func (o *Client) gangEnded(now placement.Millis, w *clientRequest, why pb.Why) {
	o.Tally.Ended[why]++
	w.gang.ended = true
}

// gangParts asks for the parts of a group each by itself, and stops what there is if it is not whole in time.
func (o *Client) requestParts(now placement.Millis, g *clientGang) {
	g.keys = o.newKeys(g.demand.Parts)
	for i := range g.demand.Parts {
		o.requestPart(now, g, i)
	}
	o.timers.Schedule(now+gangStopTimeout, func(now placement.Millis) { o.stopIncompleteGang(now, g) })
}

func (o *Client) requestPart(now placement.Millis, g *clientGang, i int) {
	there := o.connectedAllocators()
	if g.ended || len(there) == 0 {
		return
	}
	at := there[o.rng.IntN(len(there))]
	o.lastRequest++
	no := o.lastRequest
	w := &clientRequest{key: g.keys[i], requestedAt: now, conn: o.connections[at], allocator: at, gang: g, part: i, endsAt: now + g.demand.Lifetime}
	o.requests[no] = w
	o.Tally.Requests++
	a := g.part(i)
	a.Ask, a.LeftMs = no, float64(g.demand.PendingTimeout)
	o.net.Send(w.conn, &pb.Frame{Body: &pb.Frame_Ask{Ask: a}})
	o.timers.Schedule(now+g.demand.PendingTimeout+o.model.AnswerSlack, func(now placement.Millis) { o.giveUp(now, no, w) })
}

func (o *Client) retryPart(now placement.Millis, w *clientRequest, mayHaveRun bool) {
	g := w.gang
	if g.ended || mayHaveRun && g.demand.Idempotency == placement.AtMostOnce {
		return
	}
	o.timers.Schedule(now+o.model.RetryDelay, func(now placement.Millis) { o.requestPart(now, g, w.part) })
}

func (o *Client) checkGangComplete(now placement.Millis, g *clientGang) {
	if len(g.placed) >= g.demand.MinParts && !g.started {
		o.Tally.Used += float64(g.demand.Lifetime) / 1000 * g.demand.Shape[0] * float64(len(g.placed))
		o.gangStarted(now, g)
	}
}

// gangLate stops the parts of a group that is not whole, and begins it anew while there is time.
func (o *Client) stopIncompleteGang(now placement.Millis, g *clientGang) {
	if g.started || g.ended {
		return
	}
	for _, no := range slices.Sorted(maps.Keys(o.requests)) {
		if w := o.requests[no]; w.gang == g {
			if !w.placed {
				o.Tally.Withdrawn++
			} else {
				o.Tally.Wasted += float64(now-w.requestedAt) / 1000 * g.demand.Shape[0]
			}
			o.drop(no, w)
		}
	}
	if g.placed = map[int]*clientRequest{}; now+gangStopTimeout > g.until || g.demand.Idempotency == placement.AtMostOnce {
		o.abandonGang(g)
		return
	}
	o.requestParts(now, g)
}
