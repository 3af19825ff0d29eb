// How to call this module; its interface stands in types.go.
//
// New makes an allocator from its settings and a seed. Place takes a workload and returns a step: carry it
// out and hand what came of it to the step's Next, which returns the step after that, until a step has no
// Next. Adopt does the same for a workload found running. List, Report, Probed and Note tell the allocator
// what is heard meanwhile; Upkeep, called when it last asked to be, returns moves, probes and list calls.
// Each call is told the time. The same calls return the same results, and allocators share nothing.
package placement

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

const (
	loadCap      = 0.8          // share of cores; the design's start, for groups that tell nothing of crowding
	capFade      = 0.5          // share of the way from full service to none that a crowded machine may go
	memoryCap    = 0.9          // share of memory in use; leaves a tenth for growth after a start
	tieBand      = 0.05         // share of cores; the design's: finer than the reports' noise
	moveWindow   = Millis(1500) // ms; begun at 10 s: residents of a hotspot lose it all meanwhile
	movePause    = Millis(500)  // ms between moves off one machine: reports must show the last one first
	moveReports  = 2            // reports; fewer within the window are no evidence
	listLag      = Millis(750)  // ms that an entry's room is behind when it comes: reports and the list's own
	listSpan     = Millis(2e3)  // ms within which a change of room has shown in the list, if it ever will
	reportLag    = Millis(700)  // ms that a report is behind: its refresh and its way here
	staleAfter   = Millis(5e3)  // ms after which a machine counts as unheard: several ends are due by then
	probeAfter   = Millis(1500) // ms without a report after which a machine is probed, where that is allowed
	probesPerAsk = 1.0          // probes that an ask of ours pays for: their price stays a fraction of a point
	keepSamples  = 16           // samples of a kind a machine: enough for a median and for the move window
	keepStarts   = 32           // samples over the whole fleet: a steady median that still follows the day
	hangAfter    = Millis(800)  // ms beyond the usual for which an unanswered bind hints at no hang yet
	slowTimes    = 3            // times the usual confirmation that a bind may take before it times out
	missPause    = Millis(500)  // ms away from a machine after a failed contact; doubles with each further
	missMost     = 5            // doublings, so that a machine is tried again after 16 s at the latest
	fullPause    = Millis(1e3)  // ms for which a machine that was out of room is not offered as much again
	groupPause   = Millis(15e3) // ms for which a group turned down without a reason stays away
	keepDeclines = 8            // refusals a machine: one a group, and some for want of room
	barMost      = 3            // one in so many machines may be barred on symptoms; more is a shared trouble
	timeoutFloor = Millis(1e3)  // ms; the shortest time-out of a bind: a full admission line takes as long
	dearShare    = 0.5          // of the machines' number: more places are not kept for dearer groups at once
	reserveMost  = 10           // times reserveFor that our own asks are counted over, to stand for all
	reserveFor   = Millis(2e3)  // ms of dearer asks that room is kept for: what comes before the list shows it
	keepAsks     = 64           // asks a group: more than one group's within reserveFor
	answerMargin = Millis(20)   // ms before the pending timeout by which the final answer is given
	budgetSpare  = 1.2          // times the cold budget's window that ours lasts: binds bunch up on their way
	rampFor      = Millis(5e3)  // ms over which our binds to a machine just up rise to all that it surely bears
	watchQuiet   = Millis(8e3)  // ms without news after which the watch is asked for again
	watchRetry   = Millis(1500) // ms after a failed list call before the next, on average; doubles with each
	watchMost    = 3            // doublings, to 12 s: a list that is overrun needs as long for all to be heard
	watchSpace   = Millis(20)   // ms from one allocator's first call to the next one's, within the quiet time
	listWait     = Millis(50)   // ms between looks for a first machine, while the list is still empty
	upkeepEvery  = Millis(250)  // ms between chores: short against every window above
	firstStart   = Millis(2e3)  // ms that a confirmation is taken to need before any was seen: a cold start
	useGuess     = 0.6          // share of the ask that is used, before any note came
)

// change is a step in what our own workloads ask of a machine.
type change struct {
	at            Millis
	cores, memory float64
}

// report is a machine's load report as it came in; used and memory are NaN where it did not tell.
type report struct {
	at           Millis
	used, memory float64 // cores and memory in use
	spare        float64 // cores that nobody asked for, where reports count asks
	spareMemory  float64
}

// decline is a refusal.
type decline struct {
	at    Millis
	group *group
	size  NodeKind
	why   Reason
}

// node is a machine as this allocator sees it.
type node struct {
	Node
	size     NodeKind
	ours     []*bind // out or running, oldest first
	changes  []change
	reports  []report
	sends    []Millis // binds of the last cold window
	misses   int      // failed contacts in a row
	missedAt Millis
	probedAt Millis
	listedAt Millis
	declines []decline
	movedAt  Millis
}

// workload is an ask that is not answered yet, or placed.
type workload struct {
	Workload
	group    *group
	due      Millis // start wanted by then
	expires  Millis
	binds    int
	maybe    *bind // first bind that may have run
	declined []*node
	over     bool
}

// bind is one offer of a workload to a machine, until its end is known.
type bind struct {
	wl                 *workload
	node               *node
	at                 Millis
	confirmed, running bool
	used               float64 // cores by the last note; NaN before the first
}

// ask is what a workload asked for, and when.
type ask struct {
	at    Millis
	size  NodeKind
	again bool
}

// group is what decisions need of a priority group.
type group struct {
	utility    float64
	cap        float64 // of ρ
	calm       float64 // ρ up to which it is served in full
	asks       []ask   // last ones, rejected or not
	target     Millis
	effect     Idempotency
	scope      Scope
	window     Millis
	spread     Scope
	spreadMost int
	kind       int
}

// Scheduler places workloads by what it alone has seen.
type Scheduler struct {
	groups       []group
	kinds        []NodeKind
	reserveFor   Millis  // over which our own asks stand for
	reserveTimes float64 // so many times as many of all allocators within reserveFor
	coldFor      Millis
	coldFrom     float64
	coldShare    float64 // offers within coldWindow that are ours to send to a cold machine; under 1 by turns
	coldTurn     float64 // allocators that may send it one in each turn
	ordinal      float64
	since        Millis // our first call: what we sent before a restart is forgotten
	coldWindow   Millis
	mustAsk      bool
	watchQuiet   Millis
	byRunning    bool
	reportsUse   bool
	roomInList   bool
	allocators   float64
	maxBinds     int
	mayProbe     bool
	probes       float64 // that our asks have paid for and that are not sent yet
	seed, draws  uint64
	nodes        []*node // by id
	known        map[NodeID]*node
	placed       map[WorkloadID]*bind
	confirms     []Millis
	useShares    []float64
	useShare     float64 // of their ask in cores that workloads use: the mean of useShares
	mean         float64 // load, as of meanAt
	meanAt       Millis
	watchDue     Millis
	watchFails   int // in a row
}

// New makes an allocator that knows its settings and nothing else.
func New(s Settings, seed uint64) *Scheduler {
	n := max(1, s.Allocators, s.Ordinal+1)
	a := &Scheduler{
		kinds: s.NodeKinds, coldFor: s.WarmUpDuration, coldFrom: s.InitialRate, coldShare: math.Floor(s.WarmUpBudget / float64(n)),
		coldTurn: math.Floor(s.WarmUpBudget / 2), ordinal: float64(max(0, s.Ordinal)), since: Millis(math.Inf(1)),
		coldWindow: s.OverloadWindow * budgetSpare, mustAsk: s.PolledDiscovery,
		watchQuiet: min(watchQuiet, s.PollInterval/2), byRunning: s.ConfirmsRunning,
		reportsUse: s.ReportsUsage, roomInList: s.EntriesCarryCapacity, allocators: float64(n), maxBinds: s.MaxBinds,
		mayProbe: s.HealthChecksAllowed, seed: seed, known: map[NodeID]*node{}, placed: map[WorkloadID]*bind{},
		meanAt: DistantPast, useShare: useGuess,
	}
	over := min(a.allocators, reserveMost)
	a.reserveFor, a.reserveTimes = reserveFor*Millis(over), a.allocators/over
	for _, g := range s.Groups {
		limit, calm := loadCap, loadCap
		if g.FullServiceUtilization > 0 {
			limit, calm = min(1, g.FullServiceUtilization+capFade*g.DegradationRange), g.FullServiceUtilization
		}
		a.groups = append(a.groups, group{
			utility: g.PriorityWeight, cap: limit, calm: calm, target: g.LatencyObjective, effect: g.Idempotency, scope: g.KeyScope,
			window: g.KeyWindow, spread: g.SpreadScope, spreadMost: g.MaxPerScope, kind: g.RequiredKind,
		})
	}
	return a
}

// Schedule takes a workload and returns its first step.
func (a *Scheduler) Schedule(now Millis, w Workload) Step {
	if int(w.Group) >= len(a.groups) {
		return Step{Kind: Rejected}
	}
	g := &a.groups[w.Group]
	a.probes = min(a.probes+probesPerAsk, float64(len(a.nodes)))
	g.asks = keep(g.asks, ask{now, NodeKind{w.Cores, w.Memory}, w.Retried}, keepAsks)
	wl := &workload{Workload: w, group: g, due: now + g.target, expires: now + w.PendingTimeout}
	return a.choose(now, wl)
}

// Adopt takes over a workload that runs already. The list's room and the reports count it: no change there.
func (a *Scheduler) Adopt(now Millis, w Workload, id NodeID) Step {
	g := &group{kind: -1}
	if int(w.Group) < len(a.groups) {
		g = &a.groups[w.Group]
	}
	wl := &workload{Workload: w, group: g}
	b := a.hold(now, wl, a.node(id))
	b.confirmed, b.running = true, true
	a.placed[w.ID] = b
	return Step{Kind: AwaitEnd, NextStep: a.after(b)}
}

// choose offers wl to the best machine, or gives it up at once.
func (a *Scheduler) choose(now Millis, wl *workload) Step {
	if len(a.nodes) == 0 && now+listWait < wl.due {
		return Step{Kind: Wait, WakeAt: now + listWait, NextStep: func(now Millis, r Result) Step {
			if r.Kind == Withdrawn {
				return Step{Kind: Done}
			}
			return a.choose(now, wl)
		}}
	}
	left := wl.expires - now - answerMargin
	if wl.binds >= a.maxBinds || left <= 0 {
		return giveUp(wl)
	}
	n := a.pick(now, wl)
	if n == nil {
		return giveUp(wl)
	}
	timeout := left
	if wl.group.effect != AtMostOnce && wl.binds+1 < a.maxBinds {
		timeout = min(timeout, max(timeoutFloor, left/2, slowTimes*median(a.confirms)))
	}
	wl.binds++
	b := a.hold(now, wl, n)
	n.change(now, wl.Cores, wl.Memory)
	if a.cold(now, n) {
		n.sends = append(n.sends, now)
	}
	return Step{Kind: Bind, Node: n.ID, Timeout: timeout, NextStep: a.after(b)}
}

// giveUp answers a workload that gets no further bind. Rejecting promises that asking again is harmless,
// so a workload that may run is rejected only where every machine knows a repeat.
func giveUp(wl *workload) Step {
	g := wl.group
	if wl.maybe != nil && (g.effect == AtMostOnce || g.effect == IdempotentByKey && g.scope != ScopeAll) {
		return Step{Kind: Unschedulable}
	}
	return Step{Kind: Rejected}
}

// hold books a bind to its machine.
func (a *Scheduler) hold(now Millis, wl *workload, n *node) *bind {
	b := &bind{wl: wl, node: n, at: now, used: math.NaN()}
	n.ours = append(n.ours, b)
	return b
}

// release takes a bind that has ended off its machine's books.
func (a *Scheduler) release(now Millis, b *bind) {
	n := b.node
	n.ours = slices.DeleteFunc(n.ours, func(o *bind) bool { return o == b })
	n.change(now, -b.wl.Cores, -b.wl.Memory)
	if a.placed[b.wl.ID] == b {
		delete(a.placed, b.wl.ID)
	}
}

// after continues a workload with what came of its bind. Every kind of result that proves nothing counts as
// one that may have run: time-outs, broken answers and kinds that nobody has thought of.
func (a *Scheduler) after(b *bind) func(Millis, Result) Step {
	return func(now Millis, r Result) Step {
		wl, n := b.wl, b.node
		if r.Load != nil {
			a.ReportLoad(now, n.ID, *r.Load)
		}
		a.arrived(now, b, r.Kind)
		switch r.Kind {
		case Confirmed:
			b.confirmed = true
			a.confirms = keep(a.confirms, now-b.at, keepStarts)
			n.misses = 0
			n.declines = slices.DeleteFunc(n.declines, func(d decline) bool { return d.group == wl.group })
			b.running = b.running || a.byRunning
			a.placed[wl.ID] = b
			return Step{Kind: AwaitEnd, NextStep: a.after(b)}
		case Withdrawn:
			wl.over = true
			return Step{Kind: AwaitEnd, NextStep: a.after(b)}
		}
		a.release(now, b)
		switch r.Kind {
		case Ended:
			return Step{Kind: Done}
		case RejectedByNode:
			n.misses = 0
			d := decline{now, wl.group, NodeKind{wl.Cores, wl.Memory}, r.Reason}
			n.declines = keep(n.declines, d, keepDeclines)
			wl.declined = append(wl.declined, n)
		case NotDelivered:
			n.miss(now)
			wl.declined = append(wl.declined, n)
		case NotAttempted:
			wl.binds = a.maxBinds
		default:
			// What its owner took back says nothing of the machine: owners that take back hundreds at once had
			// machines barred for seconds. It could hide a hung machine whose owners give up early; a bind that
			// is unanswered for long bars it all the same.
			if !wl.over {
				n.miss(now)
			}
			if wl.maybe == nil {
				wl.maybe = b
			}
		}
		if wl.over || r.Final {
			return Step{Kind: Done}
		}
		if wl.maybe != nil && wl.group.effect == AtMostOnce {
			return giveUp(wl)
		}
		return a.choose(now, wl)
	}
}

// arrived has a bind to a machine just up count from its answer on, or from when nobody waits for it any
// more: it came there by then, and how long it was under way nobody knows. A yes that waits for the start
// tells of the arrival only where it is very late; a refusal or a time-out always does. It leaves machines
// idle for as long as answers are slow.
func (a *Scheduler) arrived(now Millis, b *bind, k ResultKind) {
	n := b.node
	if b.confirmed || k == NotDelivered || k == NotAttempted || k == Withdrawn || !a.cold(now, n) ||
		a.byRunning && k == Confirmed && now-b.at <= a.coldWindow {
		return
	}
	if at := slices.Index(n.sends, b.at); at >= 0 {
		n.sends[at] = now
	} else {
		n.sends = append(n.sends, now)
	}
}

// ReportUsage takes what is told of a placed workload.
func (a *Scheduler) ReportUsage(now Millis, id WorkloadID, kind UsageKind, value float64) {
	b := a.placed[id]
	if b == nil || math.IsNaN(value) {
		return
	}
	switch kind {
	case Running:
		b.running = true
	case CoresUsed:
		b.used = value
		if b.wl.Cores > 0 {
			a.useShares = keep(a.useShares, value/b.wl.Cores, 2*keepStarts)
			sum := 0.0
			for _, v := range a.useShares {
				sum += v
			}
			a.useShare = sum / float64(len(a.useShares))
		}
	}
}

// ReportLoad takes a load report that came with an answer.
func (a *Scheduler) ReportLoad(now Millis, id NodeID, l LoadReport) {
	n := a.known[id]
	if n == nil {
		return
	}
	r := report{at: now, used: math.NaN(), memory: math.NaN(), spare: l.SpareCores, spareMemory: l.SpareMemory}
	if a.reportsUse {
		r.used, r.memory = n.size.Cores-l.SpareCores, n.size.Memory-l.SpareMemory
	}
	if math.IsNaN(r.used) {
		r.used = l.Utilization * n.size.Cores
	}
	if math.IsNaN(r.used) {
		r.used = (n.size.Cores - l.SpareCores) * a.useShare
	}
	// Where answers come thick, the last report gives way to the next, so that those kept span the move window.
	if last := len(n.reports) - 1; last > 0 && now-n.reports[last-1].at < moveWindow/(keepSamples-2) {
		n.reports = n.reports[:last]
	}
	n.reports = keep(n.reports, r, keepSamples)
}

// HealthChecked takes the result of a probe.
func (a *Scheduler) HealthChecked(now Millis, id NodeID, answered bool, l *LoadReport) {
	if n := a.known[id]; n != nil && !answered {
		n.miss(now)
	} else if n != nil {
		n.misses = 0
		if l != nil {
			a.ReportLoad(now, id, *l)
		}
	}
}

// UpdateNodes takes a message of the machine list.
func (a *Scheduler) UpdateNodes(now Millis, kind NodeUpdateKind, nodes []Node) {
	if kind == PollFailed {
		a.watchDue = now + a.jitter(watchRetry*Millis(int(1)<<min(a.watchFails, watchMost)))
		a.watchFails++
		return
	}
	if kind != CachedSnapshot {
		a.watchDue, a.watchFails = now+a.jitter(a.watchQuiet), 0
	}
	if kind != Delta {
		for _, n := range a.nodes {
			n.State = Removed
		}
	}
	for _, entry := range nodes {
		n := a.node(entry.ID)
		if entry.StartedAt != n.StartedAt {
			n.reports, n.sends, n.declines, n.misses = nil, nil, nil, 0
		}
		n.Node, n.listedAt = entry, now
		n.size = NodeKind{}
		if int(entry.Kind) < len(a.kinds) {
			n.size = a.kinds[entry.Kind]
		}
	}
}

// node returns the machine of that name; one that no list named counts as gone.
func (a *Scheduler) node(id NodeID) *node {
	n := a.known[id]
	if n == nil {
		n = &node{Node: Node{ID: id, State: Removed, StartedAt: DistantPast}}
		n.missedAt, n.probedAt, n.movedAt = DistantPast, DistantPast, DistantPast
		a.known[id] = n
	}
	if i, found := slices.BinarySearchFunc(a.nodes, id, byID); !found {
		a.nodes = slices.Insert(a.nodes, i, n)
	}
	return n
}

func byID(n *node, id NodeID) int {
	switch {
	case n.ID < id:
		return -1
	case n.ID > id:
		return 1
	}
	return 0
}

// Maintain returns what is to be done beside the steps of workloads.
func (a *Scheduler) Maintain(now Millis) Maintenance {
	if now < a.since {
		a.since = now
		a.watchDue = now + min(watchSpace*Millis(a.ordinal), a.watchQuiet*Millis(a.ordinal/a.allocators))
	}
	c := Maintenance{NextAt: now + upkeepEvery}
	for _, n := range a.nodes {
		n.changes = slices.DeleteFunc(n.changes, func(c change) bool { return c.at < now-staleAfter-reportLag })
		n.sends = slices.DeleteFunc(n.sends, func(at Millis) bool { return at < now-a.coldWindow })
	}
	a.nodes = slices.DeleteFunc(a.nodes, func(n *node) bool {
		// A list that lacks a machine for a moment must not free its cold budget anew.
		gone := n.State == Removed && len(n.ours) == 0 && len(n.sends) == 0
		if gone {
			delete(a.known, n.ID)
		}
		return gone
	})
	// The watch may have broken unheard, and a failed call does not say whether it stands: news puts off the
	// next call. Many allocators in step overrun the list, and calls again at once keep it so: first calls are
	// spaced by number, later ones by chance and ever longer after failures. It should also cover a list that
	// is slow for any other reason. It could hurt where a few allocators wait for an idle list.
	if a.mustAsk && now >= a.watchDue {
		c.Subscribe, a.watchDue = true, now+a.jitter(a.watchQuiet)
	}
	c.HealthChecks = a.probe(now)
	for _, n := range a.nodes {
		if b := a.victim(now, n); b != nil {
			n.movedAt = now
			c.Migrations = append(c.Migrations, b.wl.ID)
		}
	}
	return c
}

// probe returns the machines to probe: those unheard for longest, as far as our own asks have paid for it.
// Where each allocator has few of the asks, probing all that is unheard would fill the machines' lines
// with probes alone. It also keeps a fleet that stands still from being probed on. It could hurt an allocator
// with few asks, which then knows most machines by the list alone; they take the mean load.
func (a *Scheduler) probe(now Millis) (ids []NodeID) {
	if !a.mayProbe || a.probes < 1 {
		return nil
	}
	var due []*node
	last := func(n *node) Millis { return max(n.heard(), n.missedAt, n.probedAt) }
	for _, n := range a.nodes {
		if n.State == Ready && now-last(n) > probeAfter {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(x, y *node) int {
		if c := cmp.Compare(last(x), last(y)); c != 0 {
			return c
		}
		return cmp.Compare(hash(a.seed, uint64(x.ID)), hash(a.seed, uint64(y.ID)))
	})
	for _, n := range due[:min(len(due), int(a.probes))] {
		n.probedAt = now
		ids = append(ids, n.ID)
	}
	a.probes -= float64(len(ids))
	return ids
}

// victim returns the workload to move off a machine that has been above the cap for the whole window and
// still is by a fresh report: ours that is furthest over its ask, if another machine can take it.
func (a *Scheduler) victim(now Millis, n *node) *bind {
	if now-n.movedAt < movePause || len(n.reports) == 0 || now-n.heard() > 2*probeAfter {
		return nil
	}
	since, seen := now, 0
	for _, r := range slices.Backward(n.reports) {
		if !(r.used > loadCap*n.size.Cores) {
			break
		}
		since, seen = r.at, seen+1
	}
	if seen < moveReports || now-since < moveWindow {
		return nil
	}
	var worst *bind
	for _, b := range n.ours {
		if b.running && b.wl.group.effect != AtMostOnce && b.used > b.wl.Cores &&
			(worst == nil || b.used-b.wl.Cores > worst.used-worst.wl.Cores) {
			worst = b
		}
	}
	if worst == nil || !slices.ContainsFunc(a.nodes, func(o *node) bool {
		return o != n && a.feasible(now, worst.wl, o)
	}) {
		return nil
	}
	return worst
}

// pick returns the machine for wl, or nil where none is feasible: those that run the service first, then the
// least loaded, a random one where loads tie.
func (a *Scheduler) pick(now Millis, wl *workload) *node {
	barred, kept := a.barred(now), a.reserve(now, wl)
	type option struct {
		n    *node
		load float64
	}
	var running []option
	others := make([]option, 0, len(a.nodes))
	for _, n := range a.nodes {
		if !a.feasible(now, wl, n) || slices.Contains(barred, n) || kept(n) {
			continue
		}
		if o := (option{n, a.load(now, wl, n)}); n.runs(wl.Service) {
			running = append(running, o)
		} else {
			others = append(others, o)
		}
	}
	// Where the service is crowded on some of its machines, the calm ones among them take what comes.
	crowded := func(o option) bool { return o.load > wl.group.calm }
	if calm := slices.DeleteFunc(slices.Clone(running), crowded); len(calm) > 0 {
		running = calm
	}
	options := running
	if len(options) == 0 {
		options = others
	}
	if len(options) == 0 {
		return nil
	}
	if len(running) > 0 || a.allocators == 1 {
		least := slices.MinFunc(options, func(x, y option) int { return cmp.Compare(x.load, y.load) }).load
		ties := slices.DeleteFunc(options, func(o option) bool { return o.load > least+tieBand })
		return ties[a.chance(len(ties))].n
	}
	// No machine is known to hold the program. Allocators that cannot talk to each other would start it in as
	// many places as there are allocators; a rank that all work out alike lets the later ones find it there.
	// Only the first two by rank count; sorting all of them cost more than everything else on a large fleet.
	var first, second *node
	var high, next uint64
	for _, o := range options {
		switch r := rank(wl.Service, o.n.ID); {
		case first == nil || r > high:
			first, high, second, next = o.n, r, first, high
		case second == nil || r > next:
			second, next = o.n, r
		}
	}
	holds := func(n *node) float64 { return min(n.FreeCores/wl.Cores, n.FreeMemory/wl.Memory) }
	if second != nil && holds(second) > holds(first) {
		return second
	}
	return first
}

// reserve returns which machines are kept from wl for groups of higher utility: a full fleet that takes all
// alike turns away what is worth most, above all the large asks that only find room in one piece. Room is
// kept for what they have lately asked of us, at least for one of their largest; while there is less, the
// machines with the most room fill up no further. Our asks stand for those of all allocators, counted over
// longer and multiplied; where dearer ones are many, a part of the fleet stays open.
// Within a group those that come again give way to first asks: a first start in time earns most of a short
// workload's utility, and one that comes again has lost or had it.
// It should also help when any trouble takes room away. It could hurt where little of high utility follows,
// and it makes those that come again wait longer on a fleet that stays full.
func (a *Scheduler) reserve(now Millis, wl *workload) func(*node) bool {
	var largest NodeKind
	var recent, dear []NodeKind
	for i := range a.groups {
		g := &a.groups[i]
		if g.utility < wl.group.utility || g.utility == wl.group.utility && !wl.Retried {
			continue
		}
		for _, o := range g.asks {
			if g.utility == wl.group.utility && (o.again || now-o.at >= a.reserveFor) {
				continue
			}
			largest.Cores, largest.Memory = max(largest.Cores, o.size.Cores), max(largest.Memory, o.size.Memory)
			if now-o.at < a.reserveFor {
				into := &recent
				if g.utility > wl.group.utility {
					into = &dear
				}
				*into = append(*into, o.size)
			}
		}
	}
	if largest.Cores <= 0 || largest.Memory <= 0 {
		return func(*node) bool { return false }
	}
	sum := func(sizes []NodeKind) (places float64) {
		for _, size := range sizes {
			places += a.reserveTimes * max(size.Cores/largest.Cores, size.Memory/largest.Memory)
		}
		return math.Ceil(places)
	}
	wanted := max(1, min(sum(dear), float64(len(a.nodes))*dearShare)+sum(recent))
	places := func(n *node, room NodeKind) float64 {
		used, _ := a.used(now, n)
		return min(room.Cores/largest.Cores, room.Memory/largest.Memory,
			(loadCap*n.size.Cores-used)/largest.Cores, (memoryCap*n.size.Memory-a.usedMemory(now, n))/largest.Memory)
	}
	by, total := make([]roomy, 0, len(a.nodes)), 0.0
	for _, n := range a.nodes {
		if n.State == Ready {
			p := places(n, a.room(now, n))
			by, total = append(by, roomy{n, p}), total+max(0, math.Floor(p))
		}
	}
	if total < wanted {
		kept := roomiest(by, int(wanted))
		return func(n *node) bool { return kept[n] }
	}
	return func(n *node) bool {
		room := a.room(now, n)
		after := places(n, NodeKind{room.Cores - wl.Cores, room.Memory - wl.Memory})
		lost := max(0, math.Floor(places(n, room))) - max(0, math.Floor(after))
		return total-lost < wanted
	}
}

// roomy is a machine, and how many of the largest asks it has room for.
type roomy struct {
	n      *node
	places float64
}

// roomiest returns so many of the machines, those with the most places; of equal ones the first.
func roomiest(by []roomy, most int) map[*node]bool {
	most = min(most, len(by))
	sorted := make([]float64, len(by))
	for i, r := range by {
		sorted[i] = r.places
	}
	slices.Sort(sorted)
	kept, least, equal := make(map[*node]bool, most), math.Inf(1), 0
	if most > 0 {
		least = sorted[len(by)-most]
		above, _ := slices.BinarySearch(sorted, math.Nextafter(least, math.Inf(1)))
		equal = most - (len(by) - above)
	}
	for _, r := range by {
		switch {
		case r.places > least:
			kept[r.n] = true
		case r.places == least && equal > 0:
			kept[r.n] = true
			equal--
		}
	}
	return kept
}

// feasible tells whether wl may go to n: by the rules, the room seen less our recent binds, and the cap.
func (a *Scheduler) feasible(now Millis, wl *workload, n *node) bool {
	g := wl.group
	switch {
	case n.State != Ready, g.kind >= 0 && int(n.Kind) != g.kind, slices.Contains(wl.declined, n),
		wl.maybe != nil && !repeatable(now, wl, n), !a.spreadAllows(wl, n), !a.coldAllows(now, n):
		return false
	}
	if n.declinesNow(now, wl) {
		return false
	}
	room := a.room(now, n)
	if wl.Cores > room.Cores || wl.Memory > room.Memory {
		return false
	}
	if used := a.usedMemory(now, n); used+wl.Memory > memoryCap*n.size.Memory && used > 0 {
		return false
	}
	return a.load(now, wl, n) < g.cap
}

// repeatable tells whether a further bind of a workload that may run already is harmless on n.
func repeatable(now Millis, wl *workload, n *node) bool {
	g, first := wl.group, wl.maybe
	switch {
	case g.effect == Idempotent:
		return true
	case g.effect == AtMostOnce || now-first.at >= g.window-answerMargin:
		return false
	}
	return within(g.scope, first.node, n)
}

// within tells whether n lies in the place of that kind around m.
func within(s Scope, m, n *node) bool {
	switch s {
	case ScopeNode:
		return n == m
	case ScopeCell:
		return n.Cell == m.Cell
	case ScopeZone:
		return n.Zone == m.Zone
	case ScopeAll:
		return true
	}
	return false
}

// spreadAllows keeps a service's workloads, as placed by us, within the most that one place may hold.
func (a *Scheduler) spreadAllows(wl *workload, n *node) bool {
	if wl.group.spread == ScopeNone {
		return true
	}
	held := 0
	for _, m := range a.nodes {
		if within(wl.group.spread, n, m) {
			for _, b := range m.ours {
				if b.wl.Service == wl.Service {
					held++
				}
			}
		}
	}
	return held < wl.group.spreadMost
}

func (a *Scheduler) cold(now Millis, n *node) bool { return now-n.StartedAt < a.coldFor }

// coldAllows keeps our binds to a machine just up within our share of what it bears, and ramps them up. Where
// allocators outnumber what it bears, each has a turn of one bind, which all work out alike from the machine,
// its start and their numbers. A window touches two turns at most, also with binds under way: each turn has
// half of what is borne. After our own start we wait for a window or a whole turn, since what we sent before
// is forgotten. It holds for any number; it leaves machines idle where those whose turn it is have no asks.
func (a *Scheduler) coldAllows(now Millis, n *node) bool {
	if !a.cold(now, n) {
		return true
	}
	ramp := min(1, a.coldFrom+float64((now-n.StartedAt)/rampFor))
	from := now - a.coldWindow
	if a.coldShare < 1 {
		turn := math.Floor(float64((now - n.StartedAt) / a.coldWindow))
		from = n.StartedAt + Millis(turn)*a.coldWindow
		first := float64(hash(uint64(n.ID), 0)%(1<<20)) + turn*a.coldTurn
		place := math.Mod(first+a.ordinal, a.allocators)
		return a.since <= from && !slices.ContainsFunc(n.sends, func(at Millis) bool { return at >= from }) &&
			place < math.Floor(a.coldTurn*ramp)
	}
	sent := 0
	for _, at := range n.sends {
		if at >= from {
			sent++
		}
	}
	// What has no answer yet may still be under way, and then arrives with what is sent now: a hall that was
	// cut off for three seconds got all that had been sent meanwhile at once. It should also cover any network
	// that holds up what it carries. It could leave a machine idle whose answers take longer than the window.
	for _, b := range n.ours {
		if !b.confirmed && b.at < from {
			sent++
		}
	}
	return a.since < from && float64(sent+1) <= a.coldShare && float64(sent) < max(1, a.coldShare*ramp)
}

// room is what nobody has asked for on n. The list shows it late, so what our own workloads have begun and
// ceased to ask for since then is added; they alone can never leave more than the machine's size.
func (a *Scheduler) room(now Millis, n *node) NodeKind {
	var ours NodeKind
	for _, b := range n.ours {
		ours.Cores += b.wl.Cores
		ours.Memory += b.wl.Memory
	}
	left := NodeKind{n.size.Cores - ours.Cores, n.size.Memory - ours.Memory}
	if a.roomInList {
		since := n.changed(max(n.listedAt-listLag, now-listSpan))
		return NodeKind{min(left.Cores, n.FreeCores-since.cores), min(left.Memory, n.FreeMemory-since.memory)}
	}
	if r, ok := n.latest(now); ok && !a.reportsUse {
		since := n.changed(r.at - reportLag)
		return NodeKind{min(left.Cores, r.spare-since.cores), min(left.Memory, r.spareMemory-since.memory)}
	}
	return NodeKind{n.size.Cores - ours.Cores*a.allocators, n.size.Memory - ours.Memory*a.allocators}
}

// load is ρ: reported used cores and the ask over the machine's cores. What our own workloads began and
// ceased to ask since the report counts at the share that is used of asks.
func (a *Scheduler) load(now Millis, wl *workload, n *node) float64 {
	if n.size.Cores <= 0 {
		return math.Inf(1)
	}
	used, ok := a.used(now, n)
	if !ok {
		used = a.meanLoad(now) * n.size.Cores
	}
	return (used + wl.Cores) / n.size.Cores
}

// meanLoad is the load of the machines heard of lately, as worked out once for each time.
func (a *Scheduler) meanLoad(now Millis) float64 {
	if a.meanAt == now {
		return a.mean
	}
	sum, heard := 0.0, 0.0
	for _, m := range a.nodes {
		if u, ok := a.used(now, m); ok && m.State == Ready && m.size.Cores > 0 {
			sum, heard = sum+u/m.size.Cores, heard+1
		}
	}
	a.meanAt, a.mean = now, sum/max(1, heard)
	return a.mean
}

// used is the cores in use on a machine heard of lately.
func (a *Scheduler) used(now Millis, n *node) (float64, bool) {
	r, ok := n.latest(now)
	if !ok || math.IsNaN(r.used) {
		return 0, false
	}
	return max(0, r.used+n.changed(r.at-reportLag).cores*a.useShare), true
}

// usedMemory is the memory in use on a machine heard of lately, or 0.
func (a *Scheduler) usedMemory(now Millis, n *node) float64 {
	r, ok := n.latest(now)
	if !ok || math.IsNaN(r.memory) {
		return 0
	}
	return max(0, r.memory+n.changed(r.at-reportLag).memory)
}

// barred returns the machines that symptoms speak against, worst first and never more than a part of the
// fleet: failed contacts, or a bind that is unanswered for too long.
func (a *Scheduler) barred(now Millis) []*node {
	var grades [2][]*node
	ready, late := 0, hangAfter+a.usual()
	for _, n := range a.nodes {
		if n.State != Ready {
			continue
		}
		ready++
		switch {
		case n.misses > 0 && now-n.missedAt < missPause*Millis(int(1)<<min(n.misses-1, missMost)):
			grades[0] = append(grades[0], n)
		case slices.ContainsFunc(n.ours, func(b *bind) bool { return !b.confirmed && now-b.at > late }):
			grades[1] = append(grades[1], n)
		}
	}
	all := slices.Concat(grades[0], grades[1])
	return all[:min(len(all), ready/barMost)]
}

// usual is the longest that any confirmation lately took; a bind unanswered for much longer is overdue.
func (a *Scheduler) usual() Millis {
	if len(a.confirms) > 0 {
		return slices.Max(a.confirms)
	}
	return firstStart
}

// jitter is a quarter more or less than d, by chance.
func (a *Scheduler) jitter(d Millis) Millis { return d * Millis(0.75+float64(a.chance(1000))/2000) }

// chance draws a number from 0 to n-1.
func (a *Scheduler) chance(n int) int {
	a.draws++
	return int(hash(a.seed, a.draws) % uint64(n))
}

// rank orders machines for a service, alike at every allocator and differently for every service.
func rank(s ServiceID, n NodeID) uint64 {
	return hash(uint64(n), uint64(s))
}

func hash(x, y uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], x)
	binary.BigEndian.PutUint64(b[8:], y)
	h := fnv.New64a()
	h.Write(b[:])
	return h.Sum64() >> 11
}

// latest returns the last report if it is fresh enough to count.
func (n *node) latest(now Millis) (report, bool) {
	if now-n.heard() > staleAfter {
		return report{}, false
	}
	return n.reports[len(n.reports)-1], true
}

// heard is when the last report came.
func (n *node) heard() Millis {
	if len(n.reports) == 0 {
		return DistantPast
	}
	return n.reports[len(n.reports)-1].at
}

func (n *node) change(now Millis, cores, memory float64) {
	n.changes = append(n.changes, change{now, cores, memory})
}

// changed sums what our workloads have begun and ceased to ask since then.
func (n *node) changed(since Millis) change {
	sum := change{at: since}
	for _, c := range n.changes {
		if c.at > since {
			sum.cores += c.cores
			sum.memory += c.memory
		}
	}
	return sum
}

// runs tells whether a workload of ours runs the service there, so that its program is at hand.
func (n *node) runs(s ServiceID) bool {
	return slices.ContainsFunc(n.ours, func(b *bind) bool { return b.running && b.wl.Service == s })
}

func (n *node) miss(now Millis) { n.misses, n.missedAt = n.misses+1, now }

// declinesNow tells whether refusals speak against offering wl to n. For want of room or places to wait they
// do so for a short while, for asks no smaller or for all. One that names neither has room and turns away
// one group: that group stays away for longer, and the others keep using it. It should
// also cover machines that take a group only now and then. It could hurt where a machine comes round early.
func (n *node) declinesNow(now Millis, wl *workload) bool {
	return slices.ContainsFunc(n.declines, func(d decline) bool {
		switch d.why {
		case InsufficientCores:
			return now-d.at < fullPause && wl.Cores >= d.size.Cores
		case InsufficientMemory:
			return now-d.at < fullPause && wl.Memory >= d.size.Memory
		case QueueFull:
			return now-d.at < fullPause
		}
		return now-d.at < groupPause && d.group == wl.group
	})
}

// keep appends v and drops the oldest values past most.
func keep[T any](s []T, v T, most int) []T {
	if len(s) >= most {
		s = append(s[:0], s[len(s)-most+1:]...)
	}
	return append(s, v)
}

func median[T ~float64](s []T) T {
	if len(s) == 0 {
		return 0
	}
	s = slices.Sorted(slices.Values(s))
	return s[len(s)/2]
}
