package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	newsWithin   = placement.Millis(2500) // ms: the journal service comments each second, so silence is a fault
	followWithin = placement.Millis(500)  // ms for a connection to it
	followFirst  = placement.Millis(50)   // ms before it is dialled again
	followMost   = placement.Millis(500)  // ms, in the end: what it has to tell counts as told 2 s after a break
	readyAfter   = placement.Millis(50)   // ms after the service's first word by which what was missed has come
	readyMost    = placement.Millis(500)  // ms after the start by which tests pass also where the service is not heard
	mostSpoilt   = 3                      // times that one event is asked for again, if it cannot be read
)

// journal is the connection to the journal service, and how far it was heard.
type journal struct {
	addr   string
	conn   transport.ConnID
	pos    uint64
	heard  placement.Millis
	fails  int
	spoilt int
}

func (p *Frontend) dialJournal(now placement.Millis) {
	j := &p.journal
	if j.conn != 0 {
		return
	}
	j.conn, j.heard = p.net.DialCodec(j.addr, &codec.Stream{}, followWithin), now
}

func (p *Frontend) journalOpened(now placement.Millis) {
	j := &p.journal
	p.net.Send(j.conn, codec.Follow{Host: j.addr, After: j.pos})
	j.heard = now
	p.mindJournal(now, j.conn)
}

// mindJournal dials anew once the journal service has been silent for too long.
func (p *Frontend) mindJournal(now placement.Millis, c transport.ConnID) {
	p.timers.Schedule(p.journal.heard+newsWithin, func(now placement.Millis) {
		switch {
		case p.journal.conn != c:
		case now-p.journal.heard < newsWithin:
			p.mindJournal(now, c)
		default:
			p.redialJournal(now, "it is silent")
		}
	})
}

func (p *Frontend) redialJournal(now placement.Millis, why string) {
	p.log.Info("asking the journal service anew", "why", why)
	if p.journal.conn != 0 {
		p.net.Close(p.journal.conn)
		p.journal.conn = 0
	}
	p.dialJournal(now)
}

func (p *Frontend) journalClosed(now placement.Millis, reason error) {
	j := &p.journal
	j.conn = 0
	pause := p.backoff(followFirst, followMost, j.fails)
	j.fails++
	p.log.Info("the journal service has broken off", "why", reason)
	p.timers.Schedule(now+pause, p.dialJournal)
}

func (p *Frontend) heardNews(now placement.Millis, news *codec.News) {
	j := &p.journal
	j.heard = now
	if len(news.Events) == 0 {
		p.timers.Schedule(now+readyAfter, p.getReady)
	} else {
		defer p.getReady(now)
	}
	for _, e := range news.Events {
		if e.ID <= j.pos {
			continue // told before
		}
		if err := p.news(now, e.Data, false); err != nil {
			p.log.Warn("event not read", "number", e.ID, "err", err)
			if j.spoilt++; j.spoilt < mostSpoilt {
				p.redialJournal(now, "an event cannot be read")
				return
			}
		}
		j.pos, j.spoilt, j.fails = e.ID, 0, 0
	}
}

// endpoint is a node as the journal service describes it.
type endpoint struct {
	Name, Address, Zone, Type, Status string
	Group                             uint16
	SinceMs                           float64 `json:"since_ms"`
	Room                              []float64
}

var states = map[string]placement.NodeState{"Ready": placement.Ready, "Terminating": placement.Draining, "Gone": placement.Removed}

// news takes an event: changes of the list of nodes, or the whole. What was known at the start counts as cached.
func (p *Frontend) news(now placement.Millis, data []byte, cached bool) error {
	var e struct {
		Hosts *struct {
			Snapshot  bool
			Endpoints []endpoint
		}
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("event: %w", err)
	}
	if e.Hosts == nil {
		return nil // of something else
	}
	nodes := make([]placement.Node, 0, len(e.Hosts.Endpoints))
	for _, at := range e.Hosts.Endpoints {
		n, err := p.entry(now, at)
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	kind := placement.Delta
	if e.Hosts.Snapshot {
		kind = placement.Snapshot
	}
	if cached {
		kind = placement.CachedSnapshot
	}
	if p.log.Enabled(context.Background(), slog.LevelDebug) { // writing a list of hundreds takes longer than reading it
		p.log.Debug("list", "kind", kind, "nodes", fmt.Sprint(e.Hosts.Endpoints))
	}
	p.engine.UpdateNodes(now, kind, nodes)
	p.follow(now, e.Hosts.Endpoints, nodes, kind != placement.Delta)
	return nil
}

func (p *Frontend) entry(now placement.Millis, at endpoint) (placement.Node, error) {
	state, known := states[at.Status]
	if !known || at.Name == "" {
		return placement.Node{}, fmt.Errorf("node %.40q has the state %.40q", at.Name, at.Status)
	}
	n := placement.Node{
		ID: p.intern(at.Name).id, State: state, Cell: placement.CellID(at.Group), StartedAt: placement.DistantPast,
		Kind: placement.KindID(slices.Index(p.c.Told.KindNames, at.Type)),
		Zone: placement.ZoneID(slices.Index(p.c.Told.ZoneNames, at.Zone)),
	}
	if at.SinceMs > 0 {
		n.StartedAt = now + placement.Millis(at.SinceMs) - p.wall()
		// The same start must not look like another because clocks are read anew each time.
		if old := p.nodes[n.ID].entry.StartedAt; max(old-n.StartedAt, n.StartedAt-old) < 20 {
			n.StartedAt = old
		}
	}
	if len(at.Room) == 2 {
		n.FreeCores, n.FreeMemory = at.Room[0], at.Room[1]
	}
	return n, nil
}

// follow brings connections in line with the list, and ends what stood on processes that are no more.
func (p *Frontend) follow(now placement.Millis, ends []endpoint, nodes []placement.Node, whole bool) {
	listed := map[placement.NodeID]bool{}
	for i, entry := range nodes {
		n := p.nodes[entry.ID]
		listed[entry.ID] = true
		moved := n.addr != "" && n.addr != ends[i].Address
		restarted := n.listed && n.entry.StartedAt != entry.StartedAt
		n.entry, n.listed = entry, true
		p.settleAt(now, n, ends[i].Address)
		if moved {
			p.hangUp(now, n, errors.New("the node's address has changed"))
		}
		switch {
		case entry.State == placement.Removed:
			p.dead(now, n)
		case restarted:
			p.lostBefore(now, n, entry.StartedAt)
		}
		if !n.resting {
			p.connect(now, n)
		}
	}
	if !whole {
		return
	}
	for _, n := range inOrder(p.nodes) {
		if n.listed && !listed[n.id] {
			n.entry.State = placement.Removed
			p.dead(now, n)
		}
	}
}

// settleAt gives a node its address. Whoever had it before is no more, also where the list is yet to say so: a bind for it
// must not reach the one that is there now.
func (p *Frontend) settleAt(now placement.Millis, n *node, addr string) {
	if n.entry.State == placement.Removed {
		return
	}
	if p.addrs[n.addr] == n {
		delete(p.addrs, n.addr)
	}
	before := p.addrs[addr]
	n.addr, p.addrs[addr] = addr, n
	if before != nil && before != n {
		before.addr = ""
		p.hangUp(now, before, errors.New("another node has its address"))
		p.dead(now, before)
	}
}

// getReady answers the tests that came before the journal service was heard: what it told between the configuration and the
// start counts as told, so nothing may be asked of us, and placed by a list that is behind, before that.
func (p *Frontend) getReady(now placement.Millis) {
	p.ready = true
	tests := p.tests
	p.tests = nil
	for _, answer := range tests {
		answer(now)
	}
}
