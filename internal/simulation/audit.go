package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Broken is a rule that did not hold, with the frames that show it.
type Violation struct {
	Rule     int      `json:"rule"`
	Message  string   `json:"what"`
	Workload uint64   `json:"workload,omitempty"` // its key
	Node     uint32   `json:"node,omitempty"`
	At       float64  `json:"at_ms"`
	Frames   []string `json:"frames"`
}

const (
	closeTo    = placement.Millis(1)    // ms; two readings of one time may differ by as much
	nearStill  = placement.Millis(50)   // ms around a stand-still in which its effects fall
	brokenMost = 100                    // breaks that are kept
	shownMost  = 24                     // frames shown of one break
	coldLooks  = placement.Millis(60e3) // ms for which arrivals at a cold node are kept
)

// Auditor decides the five rules from what passed between the parties, and from nothing else.
type Auditor struct {
	terms  scenario.Terms
	allocs map[string]*allocatorSeen
	conns  map[*Interceptor]map[transport.ConnID]*connSeen
	asks   map[askRef]*askSeen
	order  []*askSeen
	nodes  map[uint32]*nodeSeen
	starts map[uint64][]bindKey // run-once workloads that started, by key
	once   map[uint64][]*bindSeen
	Broken []Violation
	More   int // breaks beyond those kept
	Frames int

	Nearest LimitUse // how near to the limits it came

	dead  map[string]bool // allocators
	gangs map[askRef]*gangSeen
	parts map[bindKey]*partSeen // that stand on nodes

	partBinds map[bindKey]bool     // all binds of parts
	stopped   map[bindKey]stopSeen // the last stop of each
	spent     float64              // core seconds that parts stood, and those of groups that did not stand
	wasted    float64
	Partial   int // groups of which a part stood for too long, or was left
}

type askRef struct {
	owner string
	ask   uint64
}

// connSeen is who is at the other end, by its hello.
type connSeen struct {
	role pb.Role
	name string
	node uint32
}

type allocatorSeen struct {
	name  string
	life  uint64 // its incarnation, by its own hello
	still [][2]placement.Millis
	told  map[uint32]*toldSeen
	open  map[bindKey]*bindSeen // binds that have no end yet
	epoch uint64                // of the list, and its revision
	have  uint64
}

// toldSeen is what an allocator was told of a node.
type toldSeen struct {
	boot       uint64
	gone       bool             // by the list
	listGone   placement.Millis // since when the list calls it draining or gone; below 0: it does not
	nodeDrains placement.Millis // likewise the node itself
}

type nodeSeen struct {
	zone, cell string
	boot       uint64
	born       placement.Millis
	arrivals   []arrival
}

type arrival struct {
	at   placement.Millis
	told bool
	seen frameSeen
}

type askSeen struct {
	ref       askRef
	ask       *pb.Ask
	alloc     string
	deadline  placement.Millis
	received  bool
	withdrawn bool // the allocator was told
	excused   bool // nobody owes an answer any more
	answered  bool // at the owner
	gang      bool
	verdict   pb.Verdict
	binds     []*bindSeen
	frames    []frameSeen
}

type bindSeen struct {
	key    bindKey
	node   uint32
	sent   placement.Millis
	within placement.Millis
	closed bool // answered, or its connection is gone
	stands bool // the node said yes
	never  bool // it is known not to have run
	wl     *askSeen
}

// out tells whether an answer is still waited for.
func (b *bindSeen) out(now placement.Millis) bool { return !b.closed && now < b.sent+b.within-closeTo }

type frameSeen struct {
	at  placement.Millis
	who string
	out bool
	f   *pb.Frame
}

// NewAuditor makes an auditor that has seen nothing.
func NewAuditor(t scenario.Terms) *Auditor {
	return &Auditor{
		terms: t, allocs: map[string]*allocatorSeen{}, conns: map[*Interceptor]map[transport.ConnID]*connSeen{},
		asks: map[askRef]*askSeen{}, nodes: map[uint32]*nodeSeen{}, starts: map[uint64][]bindKey{}, once: map[uint64][]*bindSeen{},
		dead: map[string]bool{}, gangs: map[askRef]*gangSeen{}, parts: map[bindKey]*partSeen{},
		partBinds: map[bindKey]bool{}, stopped: map[bindKey]stopSeen{},
	}
}

func (a *Auditor) breaks(rule int, now placement.Millis, node uint32, w *askSeen, what string, frames ...frameSeen) {
	if len(a.Broken) >= brokenMost {
		a.More++
		return
	}
	b := Violation{Rule: rule, Message: what, Node: node, At: float64(now)}
	if w != nil {
		b.Workload = w.ask.Key
		frames = append(slices.Clone(w.frames), frames...)
	}
	for _, f := range frames[max(0, len(frames)-shownMost):] {
		b.Frames = append(b.Frames, f.String())
	}
	a.Broken = append(a.Broken, b)
}

func (a *Auditor) allocator(name string) *allocatorSeen {
	s := a.allocs[name]
	if s == nil {
		s = &allocatorSeen{name: name, told: map[uint32]*toldSeen{}, open: map[bindKey]*bindSeen{}}
		a.allocs[name] = s
	}
	return s
}

func (a *Auditor) node(id uint32) *nodeSeen {
	n := a.nodes[id]
	if n == nil {
		n = &nodeSeen{born: placement.DistantPast}
		a.nodes[id] = n
	}
	return n
}

// Life forgets what a dead allocator was told, and excuses what it held.
func (a *Auditor) Life(now placement.Millis, g *Interceptor, alive bool) {
	if !alive && g.Role == pb.Role_NODE {
		a.nodeDied(now, uint32(g.ID))
	}
	if g.Role == pb.Role_ALLOCATOR {
		a.allocatorLives(now, g.Name, alive)
	}
	if alive || g.Role != pb.Role_ALLOCATOR {
		return
	}
	s := a.allocator(g.Name)
	s.told, s.open = map[uint32]*toldSeen{}, map[bindKey]*bindSeen{}
	for _, w := range a.order {
		if w.alloc == g.Name && !w.answered {
			w.excused = true
		}
	}
}

// Still notes for how long an allocator stands still.
func (a *Auditor) Still(now placement.Millis, g *Interceptor, until placement.Millis) {
	if g.Role == pb.Role_ALLOCATOR {
		s := a.allocator(g.Name)
		s.still = append(s.still, [2]placement.Millis{now, until})
	}
}

// Conn takes the end of a connection: what was out over it may have run, what waited at it gets no answer.
func (a *Auditor) Conn(now placement.Millis, g *Interceptor, c transport.ConnID, open bool) {
	if open {
		return
	}
	peer := a.conns[g][c]
	delete(a.conns[g], c)
	switch {
	case peer == nil:
	case g.Role == pb.Role_ALLOCATOR && peer.role == pb.Role_NODE:
		s := a.allocator(g.Name)
		for _, b := range s.open {
			if b.node == peer.node {
				b.closed = true
			}
		}
		a.buryGone(g, s, peer.node)
	case g.Role == pb.Role_OWNER:
		for _, w := range a.order {
			if w.ref.owner == g.Name && w.alloc == peer.name && !w.answered {
				w.excused = true
			}
		}
	}
}

// Frame takes one frame at one end.
func (a *Auditor) Frame(now, arrived placement.Millis, g *Interceptor, c transport.ConnID, out bool, f *pb.Frame) {
	a.Frames++
	if h := f.GetHello(); h != nil && out && g.Role == pb.Role_ALLOCATOR {
		a.allocator(g.Name).life = h.Incarnation
	}
	if h := f.GetHello(); h != nil && !out {
		if a.conns[g] == nil {
			a.conns[g] = map[transport.ConnID]*connSeen{}
		}
		a.conns[g][c] = &connSeen{role: h.Role, name: h.Name, node: h.Node}
		if g.Role == pb.Role_ALLOCATOR && h.Role == pb.Role_NODE {
			a.nodeGreets(now, a.allocator(g.Name), h)
		}
		return
	}
	seen := frameSeen{now, g.Name, out, f}
	a.gangFrame(now, g, c, seen)
	switch g.Role {
	case pb.Role_OWNER:
		a.atOwner(now, g, c, seen)
	case pb.Role_ALLOCATOR:
		a.atAllocator(now, g, c, seen)
	case pb.Role_NODE:
		a.atNode(now, arrived, g, seen)
	}
}

// nodeGreets takes a node's account of what stands there: the rest has ended.
func (a *Auditor) nodeGreets(now placement.Millis, s *allocatorSeen, h *pb.Hello) {
	t := a.told(s, h.Node)
	t.boot = max(t.boot, h.Incarnation)
	// A connection that ends takes nothing back: only the node does, here or as it starts anew.
	if !h.Draining {
		t.nodeDrains = -1
	} else if t.nodeDrains < 0 {
		t.nodeDrains = now
	}
	named := map[bindKey]bool{}
	for _, o := range h.Standing {
		k := keyOf(o.Offer.Bind)
		named[k] = true
		// What an earlier life of it placed is its own now, and counts for the spread.
		if s.open[k] == nil && o.Offer.Bind.Incarnation < s.life {
			w := &askSeen{ref: askRef{o.Offer.Owner, o.Offer.Ask.Ask}, ask: o.Offer.Ask, alloc: s.name, excused: true}
			s.open[k] = &bindSeen{key: k, node: h.Node, sent: now, closed: true, stands: true, wl: w}
		}
	}
	for k, b := range s.open {
		if b.node == h.Node && !named[k] {
			delete(s.open, k)
		}
	}
}

// buryGone ends what stood on a node that the list calls gone and that is not connected any more.
func (a *Auditor) buryGone(g *Interceptor, s *allocatorSeen, node uint32) {
	if t := a.told(s, node); !t.gone {
		return
	}
	for _, c := range a.conns[g] {
		if c.role == pb.Role_NODE && c.node == node {
			return
		}
	}
	for k, b := range s.open {
		if b.node == node {
			delete(s.open, k)
		}
	}
}

func (a *Auditor) atOwner(now placement.Millis, g *Interceptor, c transport.ConnID, seen frameSeen) {
	switch b := seen.f.Body.(type) {
	case *pb.Frame_Ask:
		w := &askSeen{
			ref: askRef{g.Name, b.Ask.Ask}, ask: b.Ask, deadline: now + placement.Millis(b.Ask.LeftMs) + a.terms.AnswerSlack,
		}
		if peer := a.conns[g][c]; peer != nil {
			w.alloc = peer.name
		}
		w.frames = append(w.frames, seen)
		a.asks[w.ref] = w
		a.order = append(a.order, w)
	case *pb.Frame_GangAsk:
		// To the first rule a group is one ask; its parts' offers are held to the other rules by their own keys.
		w := &askSeen{
			ref: askRef{g.Name, b.GangAsk.Ask}, ask: b.GangAsk.Parts[0], gang: true,
			deadline: now + placement.Millis(b.GangAsk.LeftMs) + a.terms.AnswerSlack,
		}
		if peer := a.conns[g][c]; peer != nil {
			w.alloc = peer.name
		}
		w.frames = append(w.frames, seen)
		a.asks[w.ref] = w
		a.order = append(a.order, w)
	case *pb.Frame_Withdraw:
		if w := a.asks[askRef{g.Name, b.Withdraw.Ask}]; w != nil && !w.answered {
			w.frames = append(w.frames, seen)
			a.unanswered(now+2*closeTo, w) // one that waits no longer withdraws as its time is up
			w.excused = true
		}
	case *pb.Frame_Answer:
		w := a.asks[askRef{g.Name, b.Answer.Ask}]
		if w == nil {
			a.breaks(1, now, 0, nil, "an answer for no ask", seen)
			return
		}
		w.frames = append(w.frames, seen)
		if w.answered {
			a.breaks(1, now, 0, w, "a second answer")
		}
		a.unanswered(now, w)
		if !w.answered && !w.excused {
			a.Nearest.Answer = max(a.Nearest.Answer, 1-float64((w.deadline-now)/max(1, placement.Millis(w.ask.LeftMs)+a.terms.AnswerSlack)))
		}
		w.answered = true
	}
}

// unanswered tells on an ask that has no answer although its owner's time is up.
func (a *Auditor) unanswered(now placement.Millis, w *askSeen) {
	if w.excused || w.answered || !w.received || now <= w.deadline+closeTo {
		return
	}
	for _, still := range a.allocator(w.alloc).still {
		if w.deadline > still[0]-nearStill && w.deadline < still[1]+nearStill && now <= still[1]+nearStill {
			return // an allocator that stands still answers as soon as it runs
		}
	}
	a.breaks(1, now, 0, w, fmt.Sprintf("no answer within %.0f ms", w.ask.LeftMs))
	w.excused = true
}

func (a *Auditor) told(s *allocatorSeen, node uint32) *toldSeen {
	t := s.told[node]
	if t == nil {
		t = &toldSeen{listGone: -1, nodeDrains: -1}
		s.told[node] = t
	}
	return t
}

func (a *Auditor) atAllocator(now placement.Millis, g *Interceptor, c transport.ConnID, seen frameSeen) {
	s := a.allocator(g.Name)
	peer := a.conns[g][c]
	if peer == nil {
		peer = &connSeen{}
	}
	switch b := seen.f.Body.(type) {
	case *pb.Frame_Ask:
		if w := a.asks[askRef{peer.name, b.Ask.Ask}]; w != nil {
			w.received, w.alloc = true, g.Name
			w.frames = append(w.frames, seen)
		}
	case *pb.Frame_GangAsk:
		if w := a.asks[askRef{peer.name, b.GangAsk.Ask}]; w != nil {
			w.received, w.alloc = true, g.Name
			w.frames = append(w.frames, seen)
		}
	case *pb.Frame_Withdraw:
		if w := a.asks[askRef{peer.name, b.Withdraw.Ask}]; w != nil {
			w.withdrawn = true
			w.frames = append(w.frames, seen)
		}
	case *pb.Frame_Answer:
		a.answers(now, a.asks[askRef{peer.name, b.Answer.Ask}], b.Answer, seen)
	case *pb.Frame_ListUpdate:
		a.listed(now, g, s, b.ListUpdate)
	case *pb.Frame_Drain:
		t := a.told(s, peer.node)
		if !b.Drain.Draining {
			t.nodeDrains = -1
		} else if t.nodeDrains < 0 {
			t.nodeDrains = now
		}
	case *pb.Frame_Offer:
		a.offers(now, s, peer.node, b.Offer, seen)
	case *pb.Frame_Stop:
		if o := s.open[keyOf(b.Stop.Bind)]; o != nil && o.key.incarnation < s.life {
			o.stands = false
		}
	case *pb.Frame_OfferAnswer:
		if o := s.open[keyOf(b.OfferAnswer.Bind)]; o != nil {
			o.wl.frames = append(o.wl.frames, seen)
			// A yes that comes after the offer's time is to a bind that was given up; its stop is on the way.
			o.closed, o.stands = true, b.OfferAnswer.Accepted && now <= o.sent+o.within
			if !b.OfferAnswer.Accepted {
				o.never = true
				delete(s.open, o.key)
			}
		}
	case *pb.Frame_End:
		if o := s.open[keyOf(b.End.Bind)]; o != nil {
			o.wl.frames = append(o.wl.frames, seen)
			o.closed = true
			delete(s.open, o.key)
		}
	}
}

// listed takes what the list tells an allocator; news older than what it has told before is none.
func (a *Auditor) listed(now placement.Millis, g *Interceptor, s *allocatorSeen, u *pb.ListUpdate) {
	whole := u.Kind == pb.ListUpdate_WHOLE
	if u.Kind == pb.ListUpdate_FAILED || u.Epoch == s.epoch && u.Revision < s.have || u.Epoch != s.epoch && !whole {
		return
	}
	s.epoch, s.have = u.Epoch, u.Revision
	states, old := make(map[uint32]*pb.NodeEntry, len(u.Entries)), map[uint32]bool{}
	for _, e := range u.Entries {
		states[e.Id] = e
		// What the list still says of an earlier life is no news to one that the node has told of its next.
		if t := a.told(s, e.Id); e.Boot >= t.boot {
			if e.Boot > t.boot {
				t.nodeDrains = -1
			}
			t.boot = e.Boot
		} else {
			delete(states, e.Id)
			old[e.Id] = true
		}
	}
	for id, t := range s.told {
		e := states[id]
		switch {
		case e != nil && e.State == pb.NodeEntry_READY:
			t.listGone, t.gone = -1, false
		case e == nil && !whole, old[id]:
		default:
			if t.listGone < 0 {
				t.listGone = now
			}
			t.gone = e == nil || e.State == pb.NodeEntry_GONE
			if t.gone {
				a.buryGone(g, s, id)
			}
		}
	}
}

// answers checks an allocator's answer as it leaves.
func (a *Auditor) answers(now placement.Millis, w *askSeen, v *pb.Answer, seen frameSeen) {
	if w == nil {
		a.breaks(1, now, 0, nil, "an answer for no ask", seen)
		return
	}
	w.frames = append(w.frames, seen)
	if w.verdict != 0 {
		a.breaks(1, now, 0, w, "a second answer")
	}
	w.verdict = v.Verdict
	g := a.terms.Groups[w.ask.Group]
	if w.gang {
		a.gangAnswers(now, w, v)
		return
	}
	if v.Verdict != pb.Verdict_REJECTED || g.Idempotency == placement.Idempotent ||
		g.Idempotency == placement.IdempotentByKey && g.KeyScope == placement.ScopeAll {
		return
	}
	for _, b := range w.binds {
		if !b.never {
			a.breaks(2, now, b.node, w, "rejected although a bind may have run")
			return
		}
	}
}

// offers checks an offer as it leaves.
func (a *Auditor) offers(now placement.Millis, s *allocatorSeen, node uint32, o *pb.Offer, seen frameSeen) {
	w := a.asks[askRef{o.Owner, o.Ask.Ask}]
	if w != nil && w.gang {
		w = a.partAsk(w, o)
	}
	if w == nil {
		a.breaks(1, now, node, nil, "an offer for no ask", seen)
		return
	}
	w.frames = append(w.frames, seen)
	g := a.terms.Groups[w.ask.Group]
	switch {
	case w.verdict != 0:
		a.breaks(1, now, node, w, "an offer after the answer")
	case w.withdrawn:
		a.breaks(1, now, node, w, "an offer after the owner withdrew")
	}
	if most := a.terms.MaxBinds; most > 0 && len(w.binds) >= most && o.Gang == nil {
		a.breaks(2, now, node, w, fmt.Sprintf("bind %d of an ask that may have %d", len(w.binds)+1, most))
	}
	for _, b := range w.binds {
		switch {
		case b.never:
		case b.key == keyOf(o.Bind):
			a.breaks(2, now, node, w, "the same bind sent twice")
		case b.out(now):
			a.breaks(2, now, node, w, "two binds out at once")
		case g.Idempotency == placement.AtMostOnce:
			a.breaks(2, now, node, w, "a run-once workload sent again that may have run")
		case g.Idempotency == placement.IdempotentByKey && (now-b.sent >= g.KeyWindow || !a.same(g.KeyScope, b.node, node)):
			a.breaks(2, now, node, w, "a deduplicated workload sent beyond its scope or window")
		}
	}
	t := a.told(s, node)
	for _, since := range [2]placement.Millis{t.listGone, t.nodeDrains} {
		if since >= 0 && a.terms.DrainGrace > 0 {
			a.Nearest.Drain = max(a.Nearest.Drain, float64((now-since)/a.terms.DrainGrace))
		}
		if since >= 0 && now > since+a.terms.DrainGrace {
			a.breaks(3, now, node, w, fmt.Sprintf("an offer %.0f ms after it was told that the node drains or is gone", now-since))
			break
		}
	}
	b := &bindSeen{key: keyOf(o.Bind), node: node, sent: now, within: placement.Millis(o.AcceptWithinMs), wl: w}
	if g.Idempotency == placement.AtMostOnce {
		// Whatever ask it is for, and whatever life sends it.
		for _, other := range a.once[w.ask.Key] {
			if !other.never && other.wl != w {
				a.breaks(2, now, node, w, "a run-once workload sent for another ask that may have run", other.wl.frames...)
			}
		}
		a.once[w.ask.Key] = append(a.once[w.ask.Key], b)
	}
	w.binds = append(w.binds, b)
	s.open[b.key] = b
	if g.SpreadScope == placement.ScopeNone {
		return
	}
	held := 0
	for _, other := range s.open {
		if (other.stands || other.out(now)) && other.wl.ask.Service == w.ask.Service && a.same(g.SpreadScope, other.node, node) {
			held++
		}
	}
	a.Nearest.Spread = max(a.Nearest.Spread, float64(held)/float64(max(1, g.MaxPerScope)))
	if held > g.MaxPerScope {
		a.breaks(5, now, node, w, fmt.Sprintf("%d of the service in one %s where %d are allowed", held, place[g.SpreadScope], g.MaxPerScope))
	}
}

var place = map[placement.Scope]string{placement.ScopeNode: "node", placement.ScopeCell: "cell", placement.ScopeZone: "zone"}

// same tells whether two nodes lie in one place of that kind.
func (a *Auditor) same(s placement.Scope, x, y uint32) bool {
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

func (a *Auditor) atNode(now, arrived placement.Millis, g *Interceptor, seen frameSeen) {
	n := a.node(uint32(g.ID))
	switch b := seen.f.Body.(type) {
	case *pb.Frame_Register:
		r := b.Register
		n.zone, n.cell = r.Zone, r.Cell
		if r.Boot != n.boot {
			n.boot, n.born, n.arrivals = r.Boot, placement.DistantPast, nil
			if r.UpForMs >= 0 {
				n.born = now - placement.Millis(r.UpForMs)
			}
		}
	case *pb.Frame_Offer:
		if !seen.out {
			a.arrives(arrived, uint32(g.ID), n, b.Offer, seen)
		}
	case *pb.Frame_Note:
		if b.Note.Kind == pb.Note_RUNNING {
			a.runs(now, uint32(g.ID), b.Note.Bind)
		}
	case *pb.Frame_OfferAnswer:
		if b.OfferAnswer.Accepted && a.terms.Model.ConfirmsRunning {
			a.runs(now, uint32(g.ID), b.OfferAnswer.Bind)
		}
	}
}

// arrives checks what reaches a cold node.
func (a *Auditor) arrives(now placement.Millis, id uint32, n *nodeSeen, o *pb.Offer, seen frameSeen) {
	m := a.terms.Model
	up := now - n.born
	if up >= m.WarmUpDuration {
		return
	}
	for _, x := range n.arrivals {
		if keyOf(x.seen.f.GetOffer().Bind) == keyOf(o.Bind) {
			return // the network brought it twice; a node takes it once
		}
	}
	told := a.told(a.allocator(o.Bind.Allocator), id).boot == n.boot
	n.arrivals = append(n.arrivals, arrival{now, told, seen})
	n.arrivals = slices.DeleteFunc(n.arrivals, func(x arrival) bool { return x.at < now-coldLooks })
	var window []frameSeen
	knew := 0
	for _, x := range n.arrivals {
		if x.at >= now-m.OverloadWindow {
			window = append(window, x.seen)
			if x.told {
				knew++
			}
		}
	}
	pace := m.InitialRate + (1-m.InitialRate)*float64(up/m.WarmUpDuration)
	a.Nearest.Cold = max(a.Nearest.Cold, float64(len(window))/m.BindLimit(pace))
	if bears := m.BindLimit(pace); float64(len(window)) > bears && 3*knew >= 2*len(window) {
		a.breaks(4, now, id, nil, fmt.Sprintf("%d offers within %.0f ms at a cold node that bears %.0f",
			len(window), m.OverloadWindow, bears), window...)
		n.arrivals = nil
	}
}

// runs checks that a run-once workload starts once.
func (a *Auditor) runs(now placement.Millis, node uint32, b *pb.BindID) {
	o := a.allocator(b.Allocator).open[keyOf(b)]
	if o == nil || a.terms.Groups[o.wl.ask.Group].Idempotency != placement.AtMostOnce {
		return
	}
	started := a.starts[o.wl.ask.Key]
	if !slices.Contains(started, keyOf(b)) {
		a.starts[o.wl.ask.Key] = append(started, keyOf(b))
		if len(started) > 0 {
			a.breaks(2, now, node, o.wl, "a run-once workload started twice")
		}
	}
}

// Finish tells on what is still unanswered when all is over.
func (a *Auditor) Finish(now placement.Millis) {
	for _, w := range a.order {
		a.unanswered(now, w)
	}
	a.finishGangs(now)
	slices.SortStableFunc(a.Broken, func(x, y Violation) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Rule, y.Rule))
	})
}

// String is a frame in a line: when, who, which way, what.
func (s frameSeen) String() string {
	way := "gets"
	if s.out {
		way = "sends"
	}
	return fmt.Sprintf("%.1f ms %s %s %s", float64(s.at), s.who, way, describe(s.f))
}

func describe(f *pb.Frame) string {
	switch b := f.Body.(type) {
	case *pb.Frame_Ask:
		return fmt.Sprintf("ask %d (%s, key %d, %.0f ms left)", b.Ask.Ask, b.Ask.Group, b.Ask.Key, b.Ask.LeftMs)
	case *pb.Frame_Withdraw:
		return fmt.Sprintf("withdraw %d", b.Withdraw.Ask)
	case *pb.Frame_Answer:
		return fmt.Sprintf("answer %d %s node %d %q", b.Answer.Ask, b.Answer.Verdict, b.Answer.Node, b.Answer.Reason)
	case *pb.Frame_Offer:
		return fmt.Sprintf("offer of %s/%d, to be accepted within %.0f ms", bindText(b.Offer.Bind), b.Offer.Ask.Ask,
			b.Offer.AcceptWithinMs)
	case *pb.Frame_OfferAnswer:
		if b.OfferAnswer.Accepted {
			return "yes to " + bindText(b.OfferAnswer.Bind)
		}
		return fmt.Sprintf("no to %s: %s %q", bindText(b.OfferAnswer.Bind), b.OfferAnswer.Why, b.OfferAnswer.Text)
	case *pb.Frame_End:
		return fmt.Sprintf("end of %s: %s", bindText(b.End.Bind), b.End.Why)
	}
	return fmt.Sprintf("%T", f.Body)
}

func bindText(b *pb.BindID) string {
	return fmt.Sprintf("%s.%d bind %d.%d", b.Allocator, b.Incarnation, b.Workload, b.Number)
}
