package platform

import (
	"errors"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// Connections to nodes. A node is dialled once something is to be said to it or heard from it: there may be more nodes
// than descriptors, and dialling all of them at once would cost a start on a part of a core more than it can spare.
// Where the nodes' share is used up, the connection that is least missed gives way.

const (
	connectWithin = placement.Millis(250)  // ms, where the settings do not say
	redialFirst   = placement.Millis(50)   // ms before a node is dialled again
	redialMost    = placement.Millis(2000) // ms, in the end: what stands there is heard within the 8 s in which owners are told
	revisitAfter  = placement.Millis(3000) // ms until a node that gave way is heard again; owners are told within 8 s
	idleShare     = 0.9                    // of the settings' idle time, so that no set-up crosses the node's own close
)

// keptDescriptors are those for neither owners nor nodes: 3 standard files, the listener, 8 of event loops and the runtime,
// the journal service's connection, the configuration read anew, and the second ones that up to 4 connections hold while
// they are handed to their event loops.
const keptDescriptors = 18

// mostToNodes bounds connections to nodes, those being dialled among them.
func (p *Frontend) mostToNodes() int {
	return max(1, p.c.Limits.Sockets-p.mostOwners()-overOwners-keptDescriptors)
}

// through calls with the connection to a node, at once or when it has come up, or with nil where there is none.
func (p *Frontend) through(n *node, call func(c *conn)) {
	if n != nil && n.conn != nil && !p.idle(p.now, n.conn) {
		call(n.conn)
		return
	}
	if n == nil || !n.reachable() {
		call(nil)
		return
	}
	n.waiting = append(n.waiting, call)
	p.connect(p.now, n)
}

func (n *node) reachable() bool { return n.addr != "" && n.entry.State != placement.Removed }

// wanted tells whether there is something to say to a node or to hear from it.
func (n *node) wanted() bool { return len(n.holds) > 0 || len(n.unsent) > 0 || len(n.waiting) > 0 }

func (n *node) answerWaiting(c *conn) {
	waiting := n.waiting
	n.waiting = nil
	for _, call := range waiting {
		call(c)
	}
}

// connect dials a node if there is something to say to it or to hear.
func (p *Frontend) connect(now placement.Millis, n *node) {
	if n.wanted() {
		p.dial(now, n)
	}
}

// dial dials a node, unless it is connected or there is nothing to dial.
func (p *Frontend) dial(now placement.Millis, n *node) {
	if n.conn != nil && p.idle(now, n.conn) {
		n.conn = nil // the node may be closing it now
	}
	if n.conn != nil || n.dialling != nil || !n.reachable() {
		return
	}
	if p.toNodes >= p.mostToNodes() && !p.giveWay(now, n) {
		p.redial(now, n)
		return
	}
	within := p.c.Told.ConnectTimeout
	if within <= 0 {
		within = connectWithin
	}
	id := p.net.DialCodec(n.addr, codec.NodeCodec{}, within)
	n.dialling = &conn{id: id, node: n, used: now, open: map[placement.WorkloadID]*workload{}}
	p.conns[id] = n.dialling
	p.toNodes++
}

// redial dials a node again after a pause, if it is still wanted then.
func (p *Frontend) redial(now placement.Millis, n *node) {
	if n.redialing || n.resting || !n.reachable() || !n.wanted() {
		return
	}
	n.redialing = true
	at := now + p.backoff(redialFirst, redialMost, n.fails)
	if n.refused != 0 {
		// Nothing is to be learnt before it counts as dead. Where a zone is lost, dialling its nodes more often took all
		// that a part of a core can do, and answers were late by half a second.
		at = max(at, n.refused+deadAfter)
	}
	p.timers.Schedule(at, func(now placement.Millis) {
		n.redialing = false
		if p.nodes[n.id] == n {
			p.connect(now, n)
		}
	})
}

// giveWay ends the connection to another node that is least missed: one to a node on which nothing of ours stands before
// one that may have an end to tell, and of these the one longest unused. One with a set-up open never does. A node tells
// the ends of what stood there on the next connection, so one that gave way is visited again.
func (p *Frontend) giveWay(now placement.Millis, to *node) bool {
	var least *conn
	before := func(x, y *conn) bool {
		if none := len(x.node.holds) == 0; none != (len(y.node.holds) == 0) {
			return none
		}
		return x.used < y.used || x.used == y.used && x.id < y.id
	}
	for _, c := range p.conns {
		if c.node != nil && c.opened && len(c.open) == 0 && c != to.conn && (least == nil || before(c, least)) {
			least = c
		}
	}
	if least == nil {
		return false
	}
	n := least.node
	if n == to {
		p.drop(now, least, errors.New("another connection is used"))
		return true
	}
	n.resting = true
	p.timers.Schedule(now+revisitAfter, func(now placement.Millis) {
		if n.resting = false; p.nodes[n.id] == n {
			p.connect(now, n)
		}
	})
	p.drop(now, least, errors.New("another node needs the descriptor"))
	return true
}

// hangUp ends all that is connected or being dialled to a node.
func (p *Frontend) hangUp(now placement.Millis, n *node, reason error) {
	for _, c := range []*conn{n.conn, n.dialling} {
		if c != nil {
			p.drop(now, c, reason)
		}
	}
}

// idle tells whether a connection to a node has carried nothing for so long that the node is about to close it.
func (p *Frontend) idle(now placement.Millis, c *conn) bool {
	after := p.c.Told.IdleTimeout
	return after > 0 && now-max(c.used, c.heard) > after*idleShare
}

// tidy ends idle connections to nodes before the nodes do.
func (p *Frontend) tidy(now placement.Millis) {
	for _, c := range inOrder(p.conns) {
		if c.node != nil && c.opened && len(c.open) == 0 && p.idle(now, c) {
			p.drop(now, c, errors.New("it was idle"))
		}
	}
}
