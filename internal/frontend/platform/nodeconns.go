package platform

import (
	"errors"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// A node is dialed once there is something to send to it or to receive from it: there may be more nodes than
// descriptors, and dialing all of them at once would cost a start on a part of a core more than it can spare.

const (
	defaultConnectTimeout = placement.Millis(250)  // ms, if the settings state none
	nodeDownAfter         = placement.Millis(600)  // ms of refused connections until the workloads there count as lost
	revisitAfter          = placement.Millis(3000) // ms until an evicted node is dialed again; ends are to be notified within 8 s
	idleShare             = 0.9                    // of the settings' idle timeout, so that no offer crosses the node's own close
	maxPendingReleases    = 4096                   // for each node
)

// reservedSockets are for neither clients nor nodes: 3 standard files, the listener, 8 of event loops and the
// runtime, the discovery service's connection, the configuration read anew, and the second ones that up to 4
// connections hold while they are handed to their event loops.
const reservedSockets = 18

// redialBackoff ends at 2 s, so that the ends of workloads are received within the 8 s in which clients are to be
// notified.
var redialBackoff = frontend.Backoff{Initial: 50, Max: 2000}

// Reasons why a connection to a node is closed from our side.
var (
	errReplaced       = errors.New("replaced by another connection")
	errEvicted        = errors.New("another node needs the descriptor")
	errIdle           = errors.New("idle")
	errNodeRemoved    = errors.New("the node is gone")
	errAddressChanged = errors.New("the node's address has changed")
	errAddressTaken   = errors.New("another node has its address")
	errNoDescription  = errors.New("a confirmation without a description")
)

// maxNodeConns bounds the connections to nodes, those being dialed among them.
func (c *Config) maxNodeConns() int {
	return max(1, c.Limits.Sockets-c.maxClientConns()-extraClientConns-reservedSockets)
}

// nodeEvents handles what the end of a connection or of a node means for workloads.
type nodeEvents interface {
	// offersLost handles the end of a connection with its offers: they may have run.
	offersLost(now placement.Millis, c *nodeConn)
	// processEnded handles that the process of a node has ended, with all that ran there.
	processEnded(now placement.Millis, n *node)
}

// nodeConns holds the connections to nodes. They keep to their share of the descriptors: beyond it, one is evicted for
// the next.
type nodeConns struct {
	*environment
	nodes          *nodeTable
	binds          nodeEvents
	conns          map[transport.ConnID]*nodeConn
	limit          int
	connectTimeout placement.Millis
}

func newNodeConns(env *environment, nodes *nodeTable) *nodeConns {
	timeout := env.config.Settings.ConnectTimeout
	if timeout <= 0 {
		timeout = defaultConnectTimeout
	}
	return &nodeConns{
		environment:    env,
		nodes:          nodes,
		conns:          map[transport.ConnID]*nodeConn{},
		limit:          env.config.maxNodeConns(),
		connectTimeout: timeout,
	}
}

// get returns the connection of that id, or nil.
func (nc *nodeConns) get(id transport.ConnID) *nodeConn { return nc.conns[id] }

// await calls the waiter once: with the connection to the node, at once or when it opens, or without if there is none.
func (nc *nodeConns) await(n *node, w connWaiter) {
	if n == nil {
		w.unreachable()
		return
	}
	if c := n.openConn(); c != nil && !nc.idle(nc.host.Now(), c) {
		w.connected(c)
		return
	}
	if !n.reachable() {
		w.unreachable()
		return
	}
	n.waiters = append(n.waiters, w)
	nc.connect(nc.host.Now(), n)
}

// connect dials a node if it is needed.
func (nc *nodeConns) connect(now placement.Millis, n *node) {
	if n.needed() {
		nc.dial(now, n)
	}
}

// dial dials a node, unless it is connected or has no address.
func (nc *nodeConns) dial(now placement.Millis, n *node) {
	if c := n.openConn(); c != nil && nc.idle(now, c) {
		c.retire() // the node may be closing it now
	}
	if n.conn != nil || !n.reachable() {
		return
	}
	if len(nc.conns) >= nc.limit && !nc.evictConnection(now, n) {
		nc.redial(now, n)
		return
	}
	id := nc.net.DialCodec(n.addr, codec.NodeCodec{}, nc.connectTimeout)
	n.conn = &nodeConn{
		id:       id,
		node:     n,
		lastSent: now,
		offers:   map[placement.WorkloadID]*workload{},
	}
	nc.conns[id] = n.conn
}

// redial dials a node again after a backoff, if it is still needed then.
func (nc *nodeConns) redial(now placement.Millis, n *node) {
	d := &n.dialing
	if d.scheduled || d.evicted || !n.reachable() || !n.needed() {
		return
	}
	d.scheduled = true
	at := now + nc.host.RetryDelay(redialBackoff, d.failures)
	if d.refusing {
		// An earlier attempt shows nothing new. When a zone was lost, dialing its nodes more often took all that a part
		// of a core can do, and answers were late by half a second.
		at = max(at, d.refusedSince+nodeDownAfter)
	}
	nc.host.Schedule(at, func(now placement.Millis) {
		d.scheduled = false
		if nc.nodes.holds(n) {
			nc.connect(now, n)
		}
	})
}

// evictConnection closes the first connection in the eviction order to make way for one to another node, and reports
// whether there was one. Connections with an open offer are never evicted. A node reports the ends of workloads on its
// next connection, so it is dialed again after revisitAfter.
func (nc *nodeConns) evictConnection(now placement.Millis, successor *node) bool {
	var first *nodeConn
	for _, c := range nc.conns {
		if c.isOpen() && len(c.offers) == 0 && c != successor.conn && (first == nil || c.evictedBefore(first)) {
			first = c
		}
	}
	if first == nil {
		return false
	}
	n := first.node
	if n == successor {
		nc.disconnect(now, first, errReplaced)
		return true
	}
	n.dialing.evicted = true
	nc.host.Schedule(now+revisitAfter, func(now placement.Millis) {
		n.dialing.evicted = false
		if nc.nodes.holds(n) {
			nc.connect(now, n)
		}
	})
	nc.disconnect(now, first, errEvicted)
	return true
}

// opened handles a dialed connection that is up.
func (nc *nodeConns) opened(now placement.Millis, c *nodeConn) {
	n := c.node
	c.state = connOpen
	c.lastReceived = now
	if n.conn != c {
		nc.disconnect(now, c, errReplaced)
		return
	}
	nc.log.Debug("node connected", "node", n.name, "address", n.addr, "workloads", len(n.workloads))
	n.dialing.failures = 0
	n.dialing.refusing = false
	waiters := n.waiters
	n.waiters = nil
	for _, w := range waiters {
		w.connected(c)
	}
	for _, tag := range n.pendingReleases {
		nc.net.Send(c.id, codec.NewTermination(tag, codec.CauseNormal))
	}
	n.pendingReleases = nil
}

// disconnect closes a connection from our side.
func (nc *nodeConns) disconnect(now placement.Millis, c *nodeConn, reason error) {
	nc.net.Close(c.id)
	nc.closed(now, c, reason)
}

// disconnectNode closes what is open or being dialed to a node.
func (nc *nodeConns) disconnectNode(now placement.Millis, n *node, reason error) {
	if n.conn != nil {
		nc.disconnect(now, n.conn, reason)
	}
}

// removeNode removes a node, if it is gone and holds nothing, with the connection to it.
func (nc *nodeConns) removeNode(now placement.Millis, n *node) {
	if !nc.nodes.removable(n) {
		return
	}
	nc.nodes.remove(n)
	nc.disconnectNode(now, n, errNodeRemoved)
	n.failWaiters()
}

// closed handles the end of a connection, or that it could not be dialed.
func (nc *nodeConns) closed(now placement.Millis, c *nodeConn, reason error) {
	n := c.node
	dialed := c.state != connDialing
	nc.log.Debug("node disconnected", "node", n.name, "opened", dialed, "offers", len(c.offers), "workloads", len(n.workloads),
		"reason", reason)
	delete(nc.conns, c.id)
	c.state = connClosed
	if n.conn == c {
		n.conn = nil
	}
	nc.binds.offersLost(now, c)
	if !dialed {
		n.failWaiters()
		nc.dialFailed(now, n, reason)
	}
	nc.redial(now, n)
}

// dialFailed records that a node could not be dialed. If connections were refused for nodeDownAfter, its process has
// ended.
func (nc *nodeConns) dialFailed(now placement.Millis, n *node, reason error) {
	d := &n.dialing
	d.failures++
	switch {
	case !errors.Is(reason, transport.ErrConnectionRefused):
		d.refusing = false
	case !d.refusing:
		d.refusing = true
		d.refusedSince = now
	case now-d.refusedSince >= nodeDownAfter:
		nc.binds.processEnded(now, n)
	}
}

// release has a node end a workload. The message is sent on the connection of the offer if that is open, else on the
// node's current one; without any it waits.
func (nc *nodeConns) release(w *workload) {
	now := nc.host.Now()
	n := w.bind.node
	c := w.bind.conn
	if !nc.usable(now, c) {
		c = n.openConn()
	}
	if !nc.usable(now, c) {
		if len(n.pendingReleases) < maxPendingReleases {
			n.pendingReleases = append(n.pendingReleases, w.tag)
		}
		nc.connect(now, n)
		return
	}
	c.lastSent = now
	nc.net.Send(c.id, codec.NewTermination(w.tag, codec.CauseNormal))
}

// usable reports whether a message sent on the connection will reach the node.
func (nc *nodeConns) usable(now placement.Millis, c *nodeConn) bool {
	return c != nil && c.isOpen() && !nc.idle(now, c)
}

// replaceSilent dials another connection for new offers if nothing was received on this one since the given time: it
// may have lost what was sent.
func (nc *nodeConns) replaceSilent(now placement.Millis, c *nodeConn, since placement.Millis) {
	if c.lastReceived < since && c.node.conn == c {
		c.retire()
		nc.dial(now, c.node)
	}
}

// closeReplaced closes a connection that was replaced, once it has no open offer and its successor is open.
func (nc *nodeConns) closeReplaced(c *nodeConn) {
	if c.state != connRetired || len(c.offers) > 0 || c.node.openConn() == nil {
		return
	}
	nc.host.Defer(func(now placement.Millis) {
		if c.state != connClosed {
			nc.disconnect(now, c, errReplaced)
		}
	})
}

// idle reports whether a connection has been unused for so long that the node is about to close it.
func (nc *nodeConns) idle(now placement.Millis, c *nodeConn) bool {
	timeout := nc.config.Settings.IdleTimeout
	return timeout > 0 && now-max(c.lastSent, c.lastReceived) > timeout*idleShare
}

// closeIdle closes idle connections before their nodes do, in the order of their ids.
func (nc *nodeConns) closeIdle(now placement.Millis) {
	for _, c := range frontend.SortedValues(nc.conns) {
		if c.isOpen() && len(c.offers) == 0 && nc.idle(now, c) {
			nc.disconnect(now, c, errIdle)
		}
	}
}
