package platform

import (
	"errors"
	"hash/fnv"
	"slices"
	"strconv"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/settings"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// deadAfter is for how long nobody listens at an address, in ms, until what stood there is lost.
const deadAfter = placement.Millis(600)

// node is a node as the platform names it, with our connections to it.
type node struct {
	id        placement.NodeID
	name      string
	addr      string
	entry     placement.Node
	listed    bool
	conn      *conn // that new binds take
	dialling  *conn
	waiting   []func(c *conn) // for a connection; nil when there will be none
	fails     int
	refused   placement.Millis // since when nobody listens, or 0
	redialing bool
	resting   bool                               // its connection gave way to another node's; it is dialled only for what is to be said to it
	unsent    []codec.Tag                        // releases that wait for a connection
	holds     map[placement.WorkloadID]*workload // out or standing there
}

// intern names a node by a number that depends on its name alone, so that all allocators know it by the same.
func (p *Frontend) intern(name string) *node {
	if n := p.byName[name]; n != nil {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := placement.NodeID(h.Sum32())
	for p.nodes[id] != nil {
		id++
	}
	n := &node{id: id, name: name, holds: map[placement.WorkloadID]*workload{}}
	n.entry = placement.Node{ID: id, State: placement.Removed, StartedAt: placement.DistantPast}
	p.nodes[id], p.byName[name] = n, n
	return n
}

// forget lets go of a node that is gone and holds nothing.
func (p *Frontend) forget(now placement.Millis, n *node) {
	if n.entry.State != placement.Removed || len(n.holds) > 0 || p.nodes[n.id] != n {
		return
	}
	delete(p.nodes, n.id)
	delete(p.byName, n.name)
	if p.addrs[n.addr] == n {
		delete(p.addrs, n.addr)
	}
	p.hangUp(now, n, errors.New("the node is gone"))
	n.answerWaiting(nil)
}

func (p *Frontend) nodeOpened(now placement.Millis, c *conn) {
	n := c.node
	c.opened, c.heard = true, now
	if n.dialling != c {
		p.drop(now, c, errors.New("another connection is used"))
		return
	}
	p.log.Debug("connected to a node", "node", n.name, "address", n.addr, "holds", len(n.holds))
	n.dialling, n.conn, n.fails, n.refused = nil, c, 0, 0
	n.answerWaiting(c)
	for _, t := range n.unsent {
		p.net.Send(c.id, codec.Message{Verb: codec.Finish, Tag: t}.With(codec.Well))
	}
	n.unsent = nil
}

// nodeClosed takes the end of a connection to a node, or that there will be none. What was out there may have run.
func (p *Frontend) nodeClosed(now placement.Millis, c *conn, reason error) {
	n := c.node
	p.log.Debug("connection to a node ended", "node", n.name, "stood", c.opened, "out", len(c.open), "holds", len(n.holds), "why", reason)
	if n.conn == c {
		n.conn = nil
	}
	for _, wl := range inOrder(c.open) {
		p.unbind(wl)
		p.engine.BindEnded(now, wl.id, wl.bind, n.id, placement.Result{Kind: placement.OutcomeUnknown, Final: false})
	}
	if n.dialling == c {
		n.dialling = nil
		n.answerWaiting(nil)
		n.fails++
		switch {
		case !errors.Is(reason, transport.ErrConnectionRefused):
			n.refused = 0
		case n.refused == 0:
			n.refused = now
		case now-n.refused >= deadAfter:
			p.dead(now, n)
		}
	}
	p.redial(now, n)
}

// dead ends what stood on a node whose process is no more.
func (p *Frontend) dead(now placement.Millis, n *node) { p.lostBefore(now, n, now+1) }

// lostBefore ends what was confirmed before that time: the process that held it is no more.
func (p *Frontend) lostBefore(now placement.Millis, n *node, born placement.Millis) {
	for _, wl := range inOrder(n.holds) {
		if wl.placed && wl.stands < born {
			p.Counters.Lost++
			wl.cause = codec.Broken
			p.engine.BindEnded(now, wl.id, wl.bind, n.id, placement.Result{Kind: placement.Ended, Final: true})
		}
	}
	p.forget(now, n)
}

// offer sends a bind, over a connection that is there or comes up in time.
func (p *Frontend) offer(wl *workload, until placement.Millis) {
	n, bind := wl.node, wl.bind
	if n == nil {
		p.never(wl)
		return
	}
	n.holds[wl.id] = wl
	p.through(n, func(c *conn) {
		if p.wls[wl.id] != wl || wl.bind != bind || wl.out || wl.node != n {
			return
		}
		// Meanwhile the node may drain, or its time be over.
		if c == nil || n.entry.State != placement.Ready || until <= p.now {
			p.never(wl)
			return
		}
		p.send(wl, c, until)
	})
}

// never has the engine hear, once it is done with what it does, that a bind did not leave.
func (p *Frontend) never(wl *workload) {
	bind := wl.bind
	p.later = append(p.later, func(now placement.Millis) {
		if p.wls[wl.id] == wl && wl.bind == bind {
			p.unbind(wl)
			node := placement.NodeID(0)
			if wl.node != nil {
				node = wl.node.id
			}
			p.engine.BindEnded(now, wl.id, bind, node, placement.Result{Kind: placement.NotDelivered})
		}
	})
}

func (p *Frontend) send(wl *workload, c *conn, until placement.Millis) {
	wl.on, wl.out, wl.sentAt, c.used = c, true, p.now, p.now
	c.open[wl.id] = wl
	p.net.Send(c.id, &codec.Message{
		Verb: codec.Start, Tag: wl.tag, Description: wl.asked, Fields: map[codec.Field]string{
			codec.Group: wl.class, codec.Left: strconv.Itoa(int(until - p.now)), codec.Key: wl.key,
		},
	})
}

// unbind takes the last bind of a workload off its connection. It is out no more.
func (p *Frontend) unbind(wl *workload) {
	wl.out = false
	if wl.on != nil {
		delete(wl.on.open, wl.id)
	}
	if wl.node != nil && !wl.placed {
		delete(wl.node.holds, wl.id)
	}
}

// giveUp tells a node that nobody waits for a bind any more. Where it was withdrawn, that is the bind's end.
func (p *Frontend) giveUp(wl *workload, timedOut bool) {
	c, out := wl.on, wl.out
	p.unbind(wl)
	if out {
		wl.gaveUp = append(wl.gaveUp, c.id)
		p.net.Send(c.id, codec.Message{Verb: codec.Finish, Tag: wl.tag}.With(codec.Well))
	}
	if timedOut {
		// A connection on which nothing has come since is no place for the next bind.
		if out && c.heard < wl.sentAt && c.node.conn == c {
			c.node.conn = nil
			p.dial(p.now, c.node)
		}
		p.retire(c)
		return
	}
	bind, kind := wl.bind, placement.OutcomeUnknown
	if !out {
		kind = placement.NotDelivered
	}
	p.later = append(p.later, func(now placement.Millis) {
		if p.wls[wl.id] == wl && wl.node != nil {
			p.engine.BindEnded(now, wl.id, bind, wl.node.id, placement.Result{Kind: kind, Final: true})
		}
	})
}

// retire ends a connection that new binds do not take, once nothing is out on it.
func (p *Frontend) retire(c *conn) {
	if c == nil || c.node.conn == c || len(c.open) > 0 || p.conns[c.id] != c || c.node.conn == nil {
		return
	}
	p.later = append(p.later, func(now placement.Millis) {
		if p.conns[c.id] == c {
			p.drop(now, c, errors.New("another connection is used"))
		}
	})
}

// release ends a workload at its node.
func (p *Frontend) release(wl *workload) {
	c := wl.on
	if c == nil || p.conns[c.id] != c || p.idle(p.now, c) {
		c = wl.node.conn
	}
	if c == nil || p.idle(p.now, c) {
		if n := wl.node; len(n.unsent) < keepOver {
			n.unsent = append(n.unsent, wl.tag)
		}
		p.connect(p.now, wl.node)
		return
	}
	c.used = p.now
	p.net.Send(c.id, codec.Message{Verb: codec.Finish, Tag: wl.tag}.With(codec.Well))
}

var noteKinds = map[string]placement.UsageKind{"up": placement.Running, "cpu": placement.CoresUsed}

var reasons = map[string]placement.Reason{
	"cpu_full": placement.InsufficientCores, "mem_full": placement.InsufficientMemory, "busy": placement.QueueFull, "wrong_host": placement.WrongNode,
	"oom": placement.Evicted, "preempted": placement.Preempted, "drained": placement.Drained,
}

func (p *Frontend) fromNode(now placement.Millis, c *conn, m *codec.Message) {
	n := c.node
	load, err := p.load(m)
	if err != nil {
		p.drop(now, c, err)
		return
	}
	wl := p.tags[m.Tag]
	if wl != nil && !p.tellsOf(wl, c) {
		wl = nil
	}
	switch {
	case m.Verb == codec.Echoed:
		if p.probes[m.Tag] == n.id {
			delete(p.probes, m.Tag)
			p.engine.HealthChecked(now, n.id, true, load)
			load = nil
		}
	case wl == nil: // its end was said before, or it is nobody's
	case m.Verb == codec.Started && wl.out:
		if m.Description == nil {
			p.drop(now, c, errors.New("an answer without a description"))
			return
		}
		wl.answer, wl.placed, wl.stands = m.Description, true, now
		p.unbind(wl) // it stays on the node's books, as it stands there now
		p.engine.BindConfirmed(now, wl.id, wl.bind, load)
		load = nil
	case m.Verb == codec.Finish && (wl.out || wl.placed):
		p.unbind(wl)
		wl.cause = m.Cause
		p.engine.BindEnded(now, wl.id, wl.bind, n.id, placement.Result{
			Kind: resultOf(m.Cause), Reason: reasons[m.Fields[codec.Note]], Final: wl.placed, Load: load,
		})
		load = nil
	case m.Verb == codec.Notice && wl.placed:
		kind, known := noteKinds[m.Fields[codec.Note]]
		if v, err := strconv.ParseFloat(m.Fields[codec.Figure], 64); known && (err == nil || kind == placement.Running) {
			p.engine.ReportUsage(now, wl.id, wl.bind, kind, v)
		}
	}
	if load != nil {
		p.engine.ReportLoad(now, n.id, *load)
	}
	p.retire(c)
}

// tellsOf tells whether what comes on a connection is about the last bind of a workload. A node speaks of it on the connection
// of its set-up, or on another one if that is no more to it, which we may not know. Where an earlier bind to the same
// node was given up, what comes is about that one: its answer, or the end that our give-up made.
func (p *Frontend) tellsOf(wl *workload, c *conn) bool {
	return wl.node == c.node && (wl.on == c || !slices.Contains(wl.gaveUp, c.id))
}

// resultOf says what a cause means for a bind that is out.
func resultOf(c codec.Cause) placement.ResultKind {
	switch c {
	case codec.Full:
		return placement.RejectedByNode
	case codec.Moot:
		return placement.NotAttempted
	}
	return placement.OutcomeUnknown
}

// load reads the report that a message brings, or returns nil.
func (p *Frontend) load(m *codec.Message) (*placement.LoadReport, error) {
	text, ok := m.Fields[codec.Report]
	if !ok {
		return nil, nil
	}
	l := settings.UnknownLoad()
	err := codec.Figures(text, func(name, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err == nil && codec.Finite(n) {
			settings.SetLoadField(l, name, n)
		}
		return err
	})
	return l, err
}

// test asks a node for its report.
func (p *Frontend) test(id placement.NodeID) {
	p.Counters.Probes++
	p.probe++
	t := p.probe
	p.probes[t] = id
	fail := func(now placement.Millis) {
		if _, out := p.probes[t]; out {
			delete(p.probes, t)
			p.engine.HealthChecked(now, id, false, nil)
		}
	}
	p.timers.Schedule(p.now+endGrace, fail)
	p.through(p.nodes[id], func(c *conn) {
		if _, out := p.probes[t]; !out {
			return
		}
		if c == nil {
			p.later = append(p.later, fail)
			return
		}
		c.used = p.now
		p.net.Send(c.id, codec.Message{Verb: codec.Echo, Tag: t}.With(codec.Failed))
	})
}
