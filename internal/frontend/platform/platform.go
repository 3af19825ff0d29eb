// Package platform is the allocator as a party on the users' platform: owners' lines come in, nodes' binary messages go
// out, the journal service tells of nodes. It keeps who is who, which workload is on which connection, and what ends
// when a connection does. Where a workload goes, the engine's module decides.
package platform

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/timerqueue"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// What the platform's protocol states, or leaves to both sides to bear.
const (
	muteFor     = placement.Millis(2000) // ms a connection may stay without a whole message; the platform wants a word in 3 s
	wholeWithin = placement.Millis(1000) // ms from a message's first byte to its last
	drainFor    = placement.Millis(750)  // ms after SIGTERM in which asks still come and are served
	leaveWithin = placement.Millis(1000) // ms after that for releases that wait; the platform gives 3.7 s from SIGTERM on at least
	endGrace    = placement.Millis(3000) // ms that a node may take to confirm an end that we sent it
	pulse       = placement.Millis(1000) // ms between wake-ups at least
	keepTests   = 64                     // tests that wait until we are ready
	keepOver    = 4096                   // releases that wait for a connection to an owner
	heldPerMB   = 64                     // workloads held for each MB of memory: a few KB each, with their descriptions
)

// ownersShare is the share of the descriptors for owners' connections: owners keep to a third, the rest is for those that
// do not. What is left is for nodes, the journal service, the listener and the event loops.
const ownersShare = 0.4

// overOwners is how many owners' connections more the loop lets in, so that the party may choose who goes.
const overOwners = 8

type workload struct {
	id     placement.WorkloadID
	tag    codec.Tag
	class  string
	key    string
	asked  *string // description of the set-up
	from   transport.ConnID
	bind   int // number of the last one
	node   *node
	on     *conn              // to the node, of the last bind
	out    bool               // its bind has left and has no end
	gaveUp []transport.ConnID // to nodes, on which binds were given up
	sentAt placement.Millis
	answer *string // description of the node's answer
	stands placement.Millis
	done   bool // answered, or withdrawn: no answer is owed
	placed bool
	moved  bool
	cause  codec.Cause // of the end that the node told
}

// conn is one connection, to a node or from an owner.
type conn struct {
	id     transport.ConnID
	node   *node
	opened bool
	spoke  bool             // a whole message came
	used   placement.Millis // when something was last sent to the node
	placed int              // workloads of its owner that were placed
	heard  placement.Millis
	open   map[placement.WorkloadID]*workload // set-ups that have no answer here
}

// Frontend is the party. It belongs to one goroutine.
type Frontend struct {
	c      *Config
	log    *slog.Logger
	wall   func() placement.Millis // Unix time
	net    transport.Network
	now    placement.Millis
	engine *allocator.Engine
	timers transport.Timers
	later  []func(placement.Millis)
	wake   placement.Millis
	wakes  bool
	due    placement.Millis

	conns   map[transport.ConnID]*conn
	owners  int
	toNodes int // connections to nodes, also those being dialled
	tidied  placement.Millis
	wls     map[placement.WorkloadID]*workload
	tags    map[codec.Tag]*workload
	lastID  placement.WorkloadID
	pending int
	over    []owed

	groups map[string]placement.GroupID
	nodes  map[placement.NodeID]*node
	byName map[string]*node
	addrs  map[string]*node // by address
	probes map[codec.Tag]placement.NodeID
	probe  codec.Tag

	journal  journal
	ready    bool                         // the journal service was heard, or has had its time
	tests    []func(now placement.Millis) // that wait until we are ready
	stopping bool
	stopAt   placement.Millis
	draws    uint64

	Counters Counters
}

// Counters are of what passed.
type Counters struct {
	Asks, Placed, Rejected, Unschedulable, Withdrawn, Adopted, Binds, Moves, Probes, Bad, Lost, Released uint64
}

// owed is a message that waits for a connection to an owner.
type owed struct {
	m     *codec.Message
	until placement.Millis
}

// New makes the party. Its log may be nil.
func New(c *Config, log *slog.Logger) *Frontend {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	p := &Frontend{
		c: c, log: log, conns: map[transport.ConnID]*conn{}, wls: map[placement.WorkloadID]*workload{},
		tags: map[codec.Tag]*workload{}, groups: map[string]placement.GroupID{}, nodes: map[placement.NodeID]*node{},
		byName: map[string]*node{}, addrs: map[string]*node{}, probes: map[codec.Tag]placement.NodeID{},
		wall: func() placement.Millis { return placement.Millis(float64(time.Now().UnixNano()) / 1e6) },
	}
	for i, name := range c.Told.GroupNames {
		p.groups[name] = placement.GroupID(i)
	}
	p.journal.addr, p.journal.pos = c.DiscoveryAddress, c.Pos
	p.engine = allocator.New(c.Told.Settings, c.Seed, (*world)(p), allocator.Options{EnforceTimeouts: true})
	return p
}

// Limits are those of the party's connections.
func (p *Frontend) Limits() transport.Limits {
	return transport.Limits{
		MaxFrameSize: codec.MostBytes, MaxWriteBuffer: 256 << 10, MaxConnections: p.mostOwners() + overOwners, PauseAcceptAtLimit: true, MaxQueuedEvents: 512, MessageTimeout: wholeWithin,
	}
}

func (p *Frontend) mostOwners() int { return int(float64(p.c.Limits.Sockets) * ownersShare) }

func (p *Frontend) Start(now placement.Millis, w transport.Network) {
	p.now, p.net = now, w
	for i, raw := range p.c.Known {
		if err := p.news(now, raw, i == 0); err != nil {
			p.log.Warn("known event not read", "err", err)
		}
	}
	p.c.Known = nil
	p.engine.Start(now)
	p.dialJournal(now)
	p.timers.Schedule(now+readyMost, p.getReady)
	p.settle(now)
}

// Drain has tests fail from now on; asks are served a little longer, then rejected.
func (p *Frontend) Drain(now placement.Millis) {
	if !p.stopping {
		p.stopping, p.stopAt = true, now
	}
}

// Drained tells whether all that is owed has been said since Stop. Releases that wait for a connection to their node are
// given a while; what is owed to owners that have no connection here is told by whoever adopts it next.
func (p *Frontend) Drained(now placement.Millis) bool {
	if !p.stopping || now-p.stopAt <= drainFor || p.pending > 0 {
		return false
	}
	waits := func(n *node) bool { return len(n.unsent) > 0 && n.reachable() }
	return now-p.stopAt > drainFor+leaveWithin || !slices.ContainsFunc(inOrder(p.nodes), waits)
}

// Reload takes a new address of the journal service.
func (p *Frontend) Reload(now placement.Millis, journal string) {
	p.journal.addr, p.journal.fails = journal, 0
	p.redialJournal(now, "the address has changed")
	p.settle(now)
}

func (p *Frontend) Wake(now placement.Millis) {
	p.now, p.due = now, now
	p.timers.RunDue(now)
	if now-p.tidied >= pulse {
		p.tidied = now
		p.tidy(now)
	}
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
	next := now + pulse
	if at, ok := p.timers.Next(); ok {
		next = min(next, max(at, now))
	}
	if p.wakes {
		next = min(next, max(p.wake, now))
	}
	if p.due > now && p.due <= next {
		return
	}
	p.due = next
	p.net.WakeAt(next)
}

func (p *Frontend) Opened(now placement.Millis, id transport.ConnID) {
	p.now = now
	c := p.conns[id]
	switch {
	case id == p.journal.conn:
		p.journalOpened(now)
	case c != nil && c.node != nil:
		p.nodeOpened(now, c)
	case c == nil:
		p.ownerOpened(now, id)
	}
	p.settle(now)
}

func (p *Frontend) Received(now placement.Millis, id transport.ConnID, m any) {
	p.now = now
	c := p.conns[id]
	switch m := m.(type) {
	case *codec.News:
		if id == p.journal.conn {
			p.heardNews(now, m)
		}
	case *codec.Message:
		if c == nil {
			break
		}
		c.heard = now
		if c.node != nil {
			p.fromNode(now, c, m)
		} else {
			p.fromOwner(now, c, m)
		}
	}
	p.settle(now)
}

func (p *Frontend) Closed(now placement.Millis, id transport.ConnID, reason error) {
	p.now = now
	p.closed(now, id, reason)
	p.settle(now)
}

func (p *Frontend) closed(now placement.Millis, id transport.ConnID, reason error) {
	c := p.conns[id]
	delete(p.conns, id)
	switch {
	case id == p.journal.conn && id != 0:
		p.journalClosed(now, reason)
	case c == nil:
	case c.node != nil:
		p.toNodes--
		p.nodeClosed(now, c, reason)
	default:
		p.ownerClosed(now, c)
	}
}

// drop ends a connection from our side.
func (p *Frontend) drop(now placement.Millis, c *conn, reason error) {
	p.net.Close(c.id)
	p.closed(now, c.id, reason)
}

// inOrder returns what a table holds in the order of its ids.
func inOrder[K cmp.Ordered, V any](table map[K]V) []V {
	all := make([]V, 0, len(table))
	for _, id := range slices.Sorted(maps.Keys(table)) {
		all = append(all, table[id])
	}
	return all
}

// world is the platform as the engine sees it.
type world Frontend

func (w *world) Bind(id placement.WorkloadID, bind int, to placement.NodeID, timeout placement.Millis) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	wl.bind, wl.node, wl.on, wl.out = bind, p.nodes[to], nil, false
	p.Counters.Binds++
	p.offer(wl, p.now+timeout)
}

func (w *world) Stop(id placement.WorkloadID, _ int, _ placement.NodeID, why allocator.StopReason, _ bool) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	switch {
	case why == allocator.Migrating:
		// The platform ends it at its node too, which then says so.
		p.Counters.Moves++
		wl.moved = true
		p.tellOwner(wl, &codec.Message{Verb: codec.Move, Tag: wl.tag})
	case wl.placed:
		p.release(wl)
		bind := wl.bind
		p.timers.Schedule(p.now+endGrace, func(now placement.Millis) {
			if p.wls[id] == wl {
				p.engine.BindEnded(now, id, bind, wl.node.id, placement.Result{Kind: placement.Ended, Final: true})
			}
		})
	default:
		p.giveUp(wl, why == allocator.TimedOut)
	}
}

func (w *world) CheckHealth(id placement.NodeID) { (*Frontend)(w).test(id) }

// SubscribeNodes has nothing to ask: the journal service is followed at all times.
func (w *world) SubscribeNodes() {}

func (w *world) Answer(id placement.WorkloadID, v allocator.Verdict, _ placement.NodeID) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	c := p.answered(wl)
	m := codec.Message{Verb: codec.Finish, Tag: wl.tag}
	switch v {
	case allocator.Placed:
		p.Counters.Placed++
		if c != nil {
			c.placed++
		}
		p.net.Send(wl.from, &codec.Message{Verb: codec.Started, Tag: wl.tag, Description: wl.answer})
	case allocator.Rejected:
		p.Counters.Rejected++
		p.net.Send(wl.from, m.With(codec.Full))
	default:
		p.Counters.Unschedulable++
		p.net.Send(wl.from, m.With(codec.Broken))
	}
}

// answered takes a workload off what is owed, and returns the connection that it came on, if it stands.
func (p *Frontend) answered(wl *workload) *conn {
	c := p.conns[wl.from]
	if c != nil {
		delete(c.open, wl.id)
	}
	if !wl.done {
		wl.done = true
		p.pending--
	}
	return c
}

func (w *world) NotifyEnded(id placement.WorkloadID, _ placement.NodeID, moved bool, _ placement.Reason) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	cause := wl.cause
	if !wl.placed || cause == 0 {
		cause = codec.Broken
	}
	if moved || wl.moved || cause == codec.Cancelled {
		return // its owner has been told, or was the one to end it
	}
	p.Counters.Released++
	p.log.Debug("over", "tag", wl.tag, "cause", uint8(cause), "by_its_connection", p.conns[wl.from] != nil)
	p.tellOwner(wl, codec.Message{Verb: codec.Finish, Tag: wl.tag}.With(cause))
}

func (w *world) Forget(id placement.WorkloadID) {
	p := (*Frontend)(w)
	wl := p.wls[id]
	p.answered(wl)
	p.unbind(wl)
	if wl.node != nil {
		delete(wl.node.holds, id)
	}
	delete(p.wls, id)
	if p.tags[wl.tag] == wl {
		delete(p.tags, wl.tag)
	}
}

func (w *world) Wake(at placement.Millis) {
	if p := (*Frontend)(w); !p.wakes || at < p.wake {
		p.wake, p.wakes = at, true
	}
}

// jitter is a quarter more or less than d, by chance.
func (p *Frontend) jitter(d placement.Millis) placement.Millis {
	p.draws++
	return timerqueue.Jitter(d, p.c.Seed, p.draws)
}

// backoff is a pause that doubles with each failure in a row.
func (p *Frontend) backoff(first, most placement.Millis, fails int) placement.Millis {
	return p.jitter(min(most, first*placement.Millis(math.Exp2(float64(min(fails, 16))))))
}
