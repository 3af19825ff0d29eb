// Package native puts an allocator on the wire: frames become calls of the engine, and what the engine wants
// becomes frames. It is a transport.Party, so it runs alike on sockets and in virtual time.
//
// It keeps the connections to owners, nodes and the machine list: who is who, what waits for a connection,
// when to dial again. It decides nothing about placing. Times are milliseconds; one goroutine.
package native

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/internal/gang"
	"grebeglade/internal/recovery"
	"grebeglade/internal/replay"
	"grebeglade/internal/timerqueue"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace/tracepb"
)

const (
	connectWithin = placement.Millis(250)   // ms; a node that is not there by then is unreachable
	probeWithin   = placement.Millis(250)   // ms; a probe unanswered for so long failed
	redialFirst   = placement.Millis(100)   // ms before dialling again after a first failure; doubles
	redialMost    = placement.Millis(10e3)  // ms; longer would leave a node that is back unused
	helloWithin   = placement.Millis(5e3)   // ms that a peer may be silent at first: it is no peer of ours then
	mostNodes     = 1 << 15                 // nodes that are kept; under half of the numbers that zones and cells have
	recordSize    = 1 << 14                 // events of the record that are kept, unless told otherwise
	pulse         = placement.Millis(20)    // ms between wake-ups, at most: a process that does nothing else cannot tell that it stood still
	lateAfter     = placement.Millis(10)    // ms; a wake-up later than that means that the process stood still
	stoodAfter    = placement.Millis(50)    // ms after it stood still for which asks may have waited through it
	noReport      = placement.Millis(100e3) // ms; a report older than this tells nothing
)

// lastAsked is the last number that an ask may get: those that are left are for what stands on nodes and for parts of groups.
const lastAsked = placement.WorkloadID(math.MaxUint32 - 1<<20)

// Config is what an allocator is told at its start.
type Config struct {
	Name             string // its own, kept over restarts
	Incarnation      uint64 // grows with each start
	Seed             uint64
	Settings         placement.Settings
	Groups           []string // names, in the order of Settings.Groups
	Kinds            []string // names, in the order of Settings.Kinds
	Zone             string
	DiscoveryAddress string // address of the machine list; "" for none
	MaxWorkloads     int    // workloads pending and placed; 0 for no limit
	EventLogSize     int
	Log              *slog.Logger
	Trace            replay.Sink // takes every call of the module; nil for none
	WallClockOffset  float64     // Unix time, in ms, at which the clock stood at 0; traces and the journal need it

	Journal             BindJournal // where binds are written down that must be known after a crash; nil for nowhere
	RecoveredBinds      []recovery.Bind
	AtMostOnceRetention placement.Millis // that a run-once workload is known after its last bind
	MaxDurableKeys      int              // keys known at a time, 0 for any number
}

// BindJournal writes down what must be known after a crash.
type BindJournal interface {
	// PersistBind writes a bind down. Lasts is called on the port's goroutine once it lasts, or with the reason why it was not kept.
	PersistBind(b recovery.Bind, lasts func(now placement.Millis, err error))
	// ForgetBind takes a bind back that was not taken up. Nobody waits for it.
	ForgetBind(key, incarnation uint64, number uint32)
}

// Counters are what an allocator did since its start.
type Counters struct {
	Requests, Placed, Rejected, Unschedulable, NotAdmitted, Withdrawn uint64
	Binds, Migrations, HealthChecks, DiscoveryCalls                   uint64
	Gangs, GangsPlaced, GangsAbandoned, GangPartStops                 uint64
	DiscoveryEntries                                                  uint64 // that the list told of
	DuplicateRequests                                                 uint64 // asks that came twice
	UnmatchedReplies                                                  uint64 // answers for no bind of ours
	BindsPersisted, BindsNotPersisted                                 uint64 // binds that lasted before their offer left, or could not be made to
	AnsweredFromJournal                                               uint64 // asks answered by what was written down before
}

// workload is what the wire must remember of an ask.
type workload struct {
	owner    string
	ask      *pb.Ask
	nodes    []placement.NodeID // of each bind
	bind     *pb.BindID         // of an adopted one: as its node knows it
	since    placement.Millis
	answer   allocator.Verdict
	stopped  bool   // its owner wants it no more
	called   int    // bind that was called off, counted from 1; 0 for none
	gang     *group // that it is a part of, or nil
	outdated bool   // more of its service was found standing since its bind was decided
	part     int
}

// last is the node that its last bind went to, 0 if there was none: no node has that number.
func (wl *workload) last() placement.NodeID {
	if len(wl.nodes) == 0 {
		return 0
	}
	return wl.nodes[len(wl.nodes)-1]
}

// oldBind names a bind of an earlier incarnation.
type oldBind struct {
	node        placement.NodeID
	incarnation uint64
	workload    uint64
	number      uint32
}

type askID struct {
	owner string
	ask   uint64
}

// node is one machine that the list has named.
type node struct {
	id       placement.NodeID
	entry    placement.Node
	kind     string
	zone     string
	cell     string // with its zone in front
	addr     string
	boot     uint64
	listed   placement.Millis
	conn     transport.ConnID
	dialling bool
	ready    bool
	draining bool // by its own word
	fails    int
	dials    uint64 // how often it was dialled
	refusal  string
}

// start is a life of a node and when it began.
type start struct {
	boot uint64
	born placement.Millis
}

// peer is who speaks on a connection.
type peer struct {
	role  pb.Role // unspecified until its hello
	owner string
	node  *node
	past  past // of an owner
	ways  ways // likewise
}

// pastMost is how many asks of one owner are remembered beyond their answer: more than an owner that sends an ask
// twice has sent in between.
const pastMost = 1024

// past is what a connection's owner need not be asked about again: asks that were turned away or have their answer,
// and asks that were withdrawn before they came. A frame that comes twice, or late, then has no effect a second time.
type past struct {
	asks  map[uint64]bool // with whether it was withdrawn
	order []uint64        // a ring, once it is full
	next  int
}

func (p *past) add(ask uint64, withdrawn bool) {
	before, known := p.asks[ask]
	if p.asks == nil {
		p.asks = map[uint64]bool{}
	}
	p.asks[ask] = before || withdrawn
	if known {
		return
	}
	if len(p.order) < pastMost {
		p.order = append(p.order, ask)
		return
	}
	delete(p.asks, p.order[p.next])
	p.order[p.next] = ask
	p.next = (p.next + 1) % pastMost
}

// over notes that an ask of an owner that is connected is over; on another connection it may come anew.
func (p *Frontend) over(owner string, ask uint64, withdrawn bool) {
	if from := p.peers[p.owners[owner]]; from != nil && from.role == pb.Role_OWNER {
		from.past.add(ask, withdrawn)
	}
}

// withdrew tells whether an owner has withdrawn an ask, on the connection that stands.
func (p *Frontend) withdrew(owner string, ask uint64) bool {
	from := p.peers[p.owners[owner]]
	return from != nil && from.past.asks[ask]
}

// passed tells whether an ask is over.
func (p *Frontend) passed(c transport.ConnID, ask uint64) bool {
	from := p.peers[c]
	if from == nil {
		return false
	}
	_, over := from.past.asks[ask]
	return over
}

// Frontend is an allocator on the wire.
type Frontend struct {
	c        Config
	log      *slog.Logger
	net      transport.FrameNetwork
	engine   *allocator.Engine
	record   *eventlog.Log
	timers   transport.Timers
	wake     placement.Millis // the engine's, if wakes
	wakes    bool
	now      placement.Millis
	later    []func(now placement.Millis) // results that came up while the engine was at work
	peers    map[transport.ConnID]*peer
	owners   map[string]transport.ConnID
	nodes    []*node // by id
	wls      map[placement.WorkloadID]*workload
	writing  map[placement.WorkloadID]*workload // whose last bind is being written down
	asks     map[askID]placement.WorkloadID
	keys     map[uint64]placement.WorkloadID
	old      map[oldBind]placement.WorkloadID
	gangs    map[askID]*group
	lastID   placement.WorkloadID
	groups   map[string]int
	zones    numbers[placement.ZoneID]
	cells    numbers[placement.CellID]
	starts   map[placement.NodeID]start // of cold nodes that the list lacks
	probes   map[uint64]placement.NodeID
	probeNo  uint64
	draws    uint64
	due      placement.Millis // wake-up that was set
	stood    placement.Millis // how long the process stood still, at most
	stoodTo  placement.Millis
	list     listLink
	tap      *replay.Recorder // nil without a trace
	book     *recovery.Registry
	closing  bool
	lostNow  bool // the engine is told of losses, not of ends
	pending  int  // workloads without a final answer
	Counters Counters
}

// New makes an allocator; link or lab starts it.
func New(c Config) *Frontend {
	p := &Frontend{
		c: c, log: c.Log, record: eventlog.New(cmp.Or(c.EventLogSize, recordSize)),
		peers: map[transport.ConnID]*peer{}, owners: map[string]transport.ConnID{},
		wls: map[placement.WorkloadID]*workload{}, writing: map[placement.WorkloadID]*workload{}, asks: map[askID]placement.WorkloadID{},
		keys: map[uint64]placement.WorkloadID{}, old: map[oldBind]placement.WorkloadID{},
		gangs: map[askID]*group{}, groups: map[string]int{},
		zones: newNumbers[placement.ZoneID](c.Zone), cells: newNumbers[placement.CellID](""), starts: map[placement.NodeID]start{},
		probes: map[uint64]placement.NodeID{},
	}
	if p.log == nil {
		p.log = slog.New(slog.DiscardHandler)
	}
	for i, g := range c.Groups {
		p.groups[g] = i
	}
	c.Settings = WithSpreadVariants(c.Settings)
	o := allocator.Options{EnforceTimeouts: true, Log: p.record}
	if c.Trace != nil {
		p.tap = replay.NewRecorder(replay.RecorderConfig{
			Source:   &tracepb.Source{Allocator: c.Name, Incarnation: c.Incarnation, WallMs: c.WallClockOffset},
			Settings: c.Settings, Seed: c.Seed, GroupNames: groupNames(c.Groups), KindNames: c.Kinds, ZoneNames: []string{c.Zone},
		}, c.Trace)
		o.Module = p.tap
	}
	p.engine = allocator.New(c.Settings, c.Seed, (*world)(p), o)
	if c.Journal != nil {
		rules := map[string]recovery.GroupPolicy{}
		for i, name := range c.Groups {
			rules[name] = recovery.GroupPolicy{Idempotency: c.Settings.Groups[i].Idempotency, KeyWindow: c.Settings.Groups[i].KeyWindow}
		}
		p.book = recovery.New(recovery.Settings{Groups: rules, Retention: c.AtMostOnceRetention, MaxEntries: c.MaxDurableKeys}, c.RecoveredBinds, c.WallClockOffset)
	}
	return p
}

// FlushTrace hands over what the trace has not been handed yet.
func (p *Frontend) FlushTrace() {
	if p.tap != nil {
		p.tap.Flush()
	}
}

// EventLog is what happened, by revision.
func (p *Frontend) EventLog() *eventlog.Log { return p.record }

// Pending is the number of workloads that have no final answer yet.
func (p *Frontend) Pending() int { return p.pending }

// WorkloadCount is the number of workloads pending or placed.
func (p *Frontend) WorkloadCount() int { return len(p.wls) }

// Drain has every further ask rejected. What is held is still answered; Pending tells when all is.
func (p *Frontend) Drain() { p.closing = true }

func (p *Frontend) Start(now placement.Millis, net transport.FrameNetwork) {
	p.now, p.net = now, net
	p.engine.Start(now)
	p.dialList(now)
	p.settle(now)
}

// begin takes the time of what is handled next. A process that stood still finds frames that have waited, and
// cannot know for how long: at most since it last did anything.
func (p *Frontend) begin(now placement.Millis) {
	if now-p.due > lateAfter && p.due > 0 {
		p.stood, p.stoodTo = now-p.now, now
	}
	p.now, p.due = now, max(p.due, now)
}

func (p *Frontend) Wake(now placement.Millis) {
	p.begin(now)
	p.due = now // the wake-up is used up, and settle sets the next
	p.timers.RunDue(now)
	if p.wakes && p.wake <= now {
		p.wakes = false
		p.engine.Tick(now)
	}
	p.settle(now)
}

// settle hands the engine what came up while it was at work, then sets the wake-up.
func (p *Frontend) settle(now placement.Millis) {
	for len(p.later) > 0 {
		calls := p.later
		p.later = nil
		for _, call := range calls {
			call(now)
		}
	}
	at, ok := p.timers.Next()
	if p.wakes && (!ok || p.wake < at) {
		at, ok = p.wake, true
	}
	next := now + pulse
	if ok {
		next = min(next, max(at, now))
	}
	if p.due > now && p.due <= next {
		return // it is set, and early enough
	}
	p.due = next
	p.net.WakeAt(next)
}

func (p *Frontend) Opened(now placement.Millis, c transport.ConnID) {
	p.begin(now)
	switch from := p.peers[c]; {
	case c == p.list.conn:
		p.net.Send(c, p.hello(pb.Role_ALLOCATOR))
	case from == nil:
		p.peers[c] = &peer{}
		p.timers.Schedule(now+helloWithin, func(placement.Millis) {
			if from := p.peers[c]; from != nil && from.role == pb.Role_ROLE_UNSPECIFIED {
				p.refuse(c, "no hello came in time")
			}
		})
	case from.node != nil:
		p.net.Send(c, p.hello(pb.Role_ALLOCATOR))
	}
	p.settle(now)
}

func (p *Frontend) hello(r pb.Role, standing ...*pb.Standing) *pb.Frame {
	return transport.HelloFrame(&pb.Hello{Role: r, Name: p.c.Name, Incarnation: p.c.Incarnation, Standing: standing})
}

// refuse ends a connection with a reason that the peer can act on.
func (p *Frontend) refuse(c transport.ConnID, reason string) {
	p.log.Warn("connection refused", "reason", reason)
	p.net.Send(c, transport.RefusalFrame(reason))
	p.drop(c, errors.New(reason))
}

// drop ends a connection from our side.
func (p *Frontend) drop(c transport.ConnID, reason error) {
	p.net.Close(c)
	p.Closed(p.now, c, reason)
}

func (p *Frontend) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	p.begin(now)
	from := p.peers[c]
	switch {
	case c == p.list.conn:
		p.fromList(now, f)
	case from == nil:
	case from.node != nil:
		p.fromNode(now, c, from.node, f)
	case from.role == pb.Role_ROLE_UNSPECIFIED:
		p.greet(now, c, from, f)
	case from.role == pb.Role_OWNER:
		p.fromOwner(now, c, from.owner, f)
	case from.role == pb.Role_OPERATOR && f.GetQuery() != nil:
		p.net.Send(c, &pb.Frame{Body: &pb.Frame_State{State: p.state(now, f.GetQuery())}})
	}
	p.settle(now)
}

// greet takes the first frame of a connection that came in.
func (p *Frontend) greet(now placement.Millis, c transport.ConnID, from *peer, f *pb.Frame) {
	h, refusal := transport.CheckHello(f)
	switch {
	case refusal != "":
		p.refuse(c, refusal)
	case h.Role == pb.Role_OWNER:
		if old, ok := p.owners[h.Name]; ok {
			p.refuse(old, "another connection came in under the name "+h.Name)
		}
		from.role, from.owner = h.Role, h.Name
		from.ways.late(now, h.SentMs)
		p.owners[h.Name] = c
		p.net.Send(c, p.hello(pb.Role_ALLOCATOR, p.standingOf(h.Name)...))
	case h.Role == pb.Role_OPERATOR:
		from.role = h.Role
		p.net.Send(c, p.hello(pb.Role_ALLOCATOR))
	default:
		p.refuse(c, fmt.Sprintf("an allocator serves owners and operators, not the role %s", h.Role))
	}
}

// standingOf is what of an owner's is placed, in the order of its coming.
func (p *Frontend) standingOf(owner string) (standing []*pb.Standing) {
	for id, wl := range p.wls {
		if wl.owner == owner && wl.answer == allocator.Placed && !wl.stopped {
			standing = append(standing, &pb.Standing{Offer: p.offer(id, wl)})
		}
	}
	slices.SortFunc(standing, func(x, y *pb.Standing) int {
		return cmp.Compare(x.Offer.Bind.Workload, y.Offer.Bind.Workload)
	})
	return standing
}

func (p *Frontend) Closed(now placement.Millis, c transport.ConnID, reason error) {
	p.begin(now)
	from := p.peers[c]
	delete(p.peers, c)
	switch {
	case c == p.list.conn && c != 0:
		p.listClosed(now, reason)
	case from == nil:
	case from.node != nil:
		p.nodeClosed(now, c, from.node, reason)
	case from.role == pb.Role_OWNER && p.owners[from.owner] == c:
		delete(p.owners, from.owner)
		p.ownerGone(now, from.owner)
	}
	p.settle(now)
}

// ownerGone withdraws what an owner had pending: it can be told no answer. What is placed runs on.
func (p *Frontend) ownerGone(now placement.Millis, owner string) {
	var ids []placement.WorkloadID
	for id, wl := range p.wls {
		if wl.owner == owner && wl.answer == 0 && wl.gang == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.withdraw(now, id)
	}
	p.gangOwnerGone(now, owner)
}

func (p *Frontend) fromOwner(now placement.Millis, c transport.ConnID, owner string, f *pb.Frame) {
	switch {
	case f.GetAsk() != nil:
		p.ask(now, c, owner, f.GetAsk())
	case f.GetGangAsk() != nil:
		p.gangAsk(now, c, owner, f.GetGangAsk())
	case f.GetWithdraw() != nil:
		p.over(owner, f.GetWithdraw().Ask, true) // if its ask is still on the way, it comes to nothing
		if g := p.gangs[askID{owner, f.GetWithdraw().Ask}]; g != nil {
			p.gangWithdraw(now, g)
		} else if id, ok := p.asks[askID{owner, f.GetWithdraw().Ask}]; ok {
			p.withdraw(now, id)
		}
	default:
		p.refuse(c, fmt.Sprintf("an owner may not send %T", f.Body))
	}
}

func (p *Frontend) withdraw(now placement.Millis, id placement.WorkloadID) {
	if wl := p.wls[id]; wl != nil && !wl.stopped {
		p.Counters.Withdrawn++
		wl.stopped = true
		if wl.answer == 0 {
			p.pending--
		}
		p.engine.Withdraw(now, id)
	}
}

// ask takes an ask to the engine, or turns it away at once with the reason.
func (p *Frontend) ask(now placement.Millis, c transport.ConnID, owner string, a *pb.Ask) {
	p.Counters.Requests++
	late := p.underWay(now, p.peers[c], a.SentMs)
	if _, ok := p.asks[askID{owner, a.Ask}]; ok || p.passed(c, a.Ask) {
		p.Counters.DuplicateRequests++ // its one answer goes out, or went out, for the first
		return
	}
	if reason := p.unfit(a); reason != "" {
		p.Counters.NotAdmitted++
		p.record.Add(eventlog.Event{At: now, Kind: eventlog.NotAdmitted})
		p.answer(c, a.Ask, pb.Verdict_REJECTED, 0, reason)
		return
	}
	if p.book != nil && p.knew(now, c, a) {
		return
	}
	p.lastID++
	id := p.lastID
	p.wls[id] = &workload{owner: owner, ask: a, since: now}
	p.asks[askID{owner, a.Ask}] = id
	p.keys[a.Key] = id
	p.pending++
	if p.tap != nil {
		p.tap.RecordRequest(now, id, owner, a.Ask, a.Key)
	}
	w := p.workload(id, a)
	w.PendingTimeout -= late
	p.engine.Schedule(now, w)
}

func (p *Frontend) workload(id placement.WorkloadID, a *pb.Ask) placement.Workload {
	group, ok := p.groups[a.Group]
	if !ok {
		group = len(p.c.Groups)
	}
	return placement.Workload{
		ID: id, Service: placement.ServiceID(a.Service), Group: placement.GroupID(group),
		Cores: a.Cores, Memory: a.Memory, PendingTimeout: placement.Millis(a.LeftMs), Retried: a.Again,
	}
}

// unfit says why an ask cannot be taken, or "".
func (p *Frontend) unfit(a *pb.Ask) string {
	amount := func(v float64) bool { return v > 0 && v <= math.MaxFloat32 }
	_, known := p.groups[a.Group]
	_, held := p.keys[a.Key]
	switch {
	case p.closing:
		return "the allocator is stopping; ask another"
	case !known:
		return fmt.Sprintf("group %q is not known here; known are %q", a.Group, p.c.Groups)
	case !amount(a.Cores):
		return fmt.Sprintf("cores is %v; it must be above 0", a.Cores)
	case !amount(a.Memory):
		return fmt.Sprintf("memory is %v; it must be above 0", a.Memory)
	case !amount(a.LeftMs):
		return fmt.Sprintf("left_ms is %v; it must be above 0", a.LeftMs)
	case held:
		return "a workload of that key is held here already"
	case p.c.MaxWorkloads > 0 && len(p.wls) >= p.c.MaxWorkloads:
		return fmt.Sprintf("the allocator holds %d workloads, the most it may", len(p.wls))
	case p.lastID >= lastAsked:
		return "the allocator has named all its workloads; restart it"
	}
	return ""
}

func (p *Frontend) answer(c transport.ConnID, ask uint64, v pb.Verdict, node placement.NodeID, reason string) {
	if from := p.peers[c]; from != nil {
		from.past.add(ask, false)
	}
	p.net.Send(c, &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{
		Ask: ask, Verdict: v, Node: uint32(node), Reason: reason,
	}}})
}

// offer is a workload's bind as it goes over the wire.
func (p *Frontend) offer(id placement.WorkloadID, wl *workload) *pb.Offer {
	o := &pb.Offer{Bind: p.bindID(id, wl), Owner: wl.owner, Ask: wl.ask}
	if wl.gang != nil {
		o.Gang = wl.gang.partOf(p.now, wl.part)
	}
	return o
}

func (p *Frontend) bindID(id placement.WorkloadID, wl *workload) *pb.BindID {
	if wl.bind != nil {
		return wl.bind
	}
	return &pb.BindID{
		Allocator: p.c.Name, Incarnation: p.c.Incarnation, Workload: uint64(id), Number: uint32(len(wl.nodes) - 1),
	}
}

// jitter is a quarter more or less than d, by chance.
func (p *Frontend) jitter(d placement.Millis) placement.Millis {
	p.draws++
	return timerqueue.Jitter(d, p.c.Seed, p.draws)
}

// world is the port as the engine sees it.
type world Frontend

func (w *world) Bind(id placement.WorkloadID, bind int, to placement.NodeID, timeout placement.Millis) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	wl.nodes = append(wl.nodes, to)
	p.Counters.Binds++
	o := p.offer(id, wl)
	o.AcceptWithinMs = float64(timeout)
	if p.book != nil && p.book.RequiresDurability(wl.ask.Group) {
		p.write(id, wl, bind, to, o)
		return
	}
	p.send(id, wl, bind, to, o)
}

// send lets an offer leave, if its node is connected. None waits for a connection: it would reach a node that drains or
// starts anew meanwhile, and what waited brought nothing (docs/review-findings.md).
func (p *Frontend) send(id placement.WorkloadID, wl *workload, bind int, to placement.NodeID, o *pb.Offer) {
	if n := p.node(to); n != nil && n.ready {
		p.net.Send(n.conn, &pb.Frame{Body: &pb.Frame_Offer{Offer: o}})
		return
	}
	p.never(wl, o.Bind)
	p.unreachable(id, bind, to)
}

// unreachable has the engine hear, once it is done with what it does, that a bind never left.
func (p *Frontend) unreachable(id placement.WorkloadID, bind int, node placement.NodeID) {
	p.later = append(p.later, func(now placement.Millis) {
		p.engine.BindEnded(now, id, bind, node, placement.Result{Kind: placement.NotDelivered})
	})
}

func (w *world) Stop(
	id placement.WorkloadID, _ int, at placement.NodeID, why allocator.StopReason, onlyWaiting bool,
) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	if why == allocator.Migrating {
		p.Counters.Migrations++
	}
	wl.called = len(wl.nodes)
	if n := p.node(at); n != nil && n.ready {
		p.stop(n, p.bindID(id, wl), onlyWaiting)
	}
}

func (p *Frontend) stop(n *node, b *pb.BindID, onlyWaiting bool) {
	p.net.Send(n.conn, &pb.Frame{Body: &pb.Frame_Stop{Stop: &pb.Stop{Bind: b, OnlyWaiting: onlyWaiting}}})
}

func (w *world) CheckHealth(id placement.NodeID) {
	p := (*Frontend)(w)
	p.Counters.HealthChecks++
	n := p.node(id)
	if n == nil || !n.ready {
		p.later = append(p.later, func(now placement.Millis) { p.engine.HealthChecked(now, id, false, nil) })
		return
	}
	p.probeNo++
	no := p.probeNo
	p.probes[no] = id
	p.net.Send(n.conn, &pb.Frame{Body: &pb.Frame_Probe{Probe: &pb.Probe{Id: no}}})
	p.timers.Schedule(p.now+probeWithin, func(now placement.Millis) {
		if _, out := p.probes[no]; out {
			delete(p.probes, no)
			p.engine.HealthChecked(now, id, false, nil)
		}
	})
}

func (w *world) SubscribeNodes() { (*Frontend)(w).watchList() }

func (w *world) Answer(id placement.WorkloadID, v allocator.Verdict, node placement.NodeID) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	wl.answer = v
	if wl.gang != nil {
		p.partAnswered(id, wl, v)
		return
	}
	p.pending--
	verdict, reason := pb.Verdict_PLACED, ""
	switch v {
	case allocator.Placed:
		p.Counters.Placed++
	case allocator.Rejected:
		p.Counters.Rejected++
		verdict, reason = pb.Verdict_REJECTED, p.why(wl)
	default:
		p.Counters.Unschedulable++
		verdict, reason = pb.Verdict_UNSCHEDULABLE, "a bind was not answered; it may have run"
	}
	if p.tap != nil {
		p.tap.RecordAnswer(p.now, id, uint8(v), node, reason)
	}
	if c, ok := p.owners[wl.owner]; ok {
		p.answer(c, wl.ask.Ask, verdict, node, reason)
	}
}

// why says in words what a rejected workload met.
func (p *Frontend) why(wl *workload) string {
	fits := slices.ContainsFunc(p.c.Settings.NodeKinds, func(k placement.NodeKind) bool {
		return wl.ask.Cores <= k.Cores && wl.ask.Memory <= k.Memory
	})
	switch {
	case len(p.nodes) == 0:
		return "no node is known"
	case !fits:
		return "it is larger than any kind of node"
	case len(wl.nodes) > 0:
		return fmt.Sprintf("no node is feasible after %d binds", len(wl.nodes))
	}
	return fmt.Sprintf("none of %d nodes is feasible", len(p.nodes))
}

func (w *world) NotifyEnded(id placement.WorkloadID, _ placement.NodeID, moved bool, why placement.Reason) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	if wl.gang != nil {
		finished := !moved && !p.lostNow && why == placement.ReasonUnspecified
		p.partEvent(id, wl, func(now placement.Millis) []gang.Act { return wl.gang.state.Ended(now, wl.part, finished) })
		return
	}
	c, ok := p.owners[wl.owner]
	if !ok {
		return
	}
	over := &pb.Over{Ask: wl.ask.Ask, Why: pb.Why_FINISHED}
	switch {
	case moved:
		over.Why = pb.Why_MOVED
	case why == placement.Evicted:
		over.Why = pb.Why_EVICTED
	case why == placement.Preempted:
		over.Why = pb.Why_PUSHED_OUT
	case why == placement.Drained:
		over.Why = pb.Why_SENT_AWAY
	case why == placement.ReasonUnspecified && p.lostNow:
		over.Why = pb.Why_LOST
	}
	p.net.Send(c, &pb.Frame{Body: &pb.Frame_Over{Over: over}})
}

func (w *world) Forget(id placement.WorkloadID) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	if wl.gang != nil && wl.stopped {
		p.partEvent(id, wl, func(now placement.Millis) []gang.Act { return wl.gang.state.Ended(now, wl.part, false) })
	}
	delete(p.wls, id)
	if p.asks[askID{wl.owner, wl.ask.Ask}] == id {
		delete(p.asks, askID{wl.owner, wl.ask.Ask})
	}
	if wl.bind != nil {
		delete(p.old, oldBindOf(wl.nodes[0], wl.bind))
	}
	if p.keys[wl.ask.Key] == id {
		delete(p.keys, wl.ask.Key)
	}
}

func (w *world) Wake(at placement.Millis) {
	if p := (*Frontend)(w); !p.wakes || at < p.wake {
		p.wake, p.wakes = at, true
	}
}
