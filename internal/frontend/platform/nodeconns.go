package platform

import (
	"errors"

	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// reservedSockets are for neither clients nor nodes: 3 standard files, the listener, 8 of event loops and the
// runtime, the discovery service's connection, the configuration file when it is read again, and the second
// descriptors of up to 4 connections while they are handed to their event loops.
const reservedSockets = 18

// Reasons why the frontend closes a connection to a node.
var (
	errReplaced       = errors.New("replaced by another connection")
	errEvicted        = errors.New("another node needs the descriptor")
	errIdle           = errors.New("idle")
	errNodeRemoved    = errors.New("the node was removed")
	errAddressChanged = errors.New("the node's address has changed")
	errAddressTaken   = errors.New("another node has its address")
	errNoDescription  = errors.New("a confirmation without a description")
)

// maxNodeConns bounds the connections to nodes, those being dialed among them.
func (c *Config) maxNodeConns() int {
	return max(1, c.Limits.Sockets-c.maxClientConns()-extraClientConns-reservedSockets)
}

// nodeEvents handles the effects of the end of a connection or of a node's process on workloads.
type nodeEvents interface {
	// offersLost handles the end of a connection. Its open offers may have been accepted.
	offersLost(now placement.Millis, c *nodeConn)
	// processEnded handles the end of a node's process, and so of all workloads that ran there.
	processEnded(now placement.Millis, n *node)
}

// nodeConns holds the connections to nodes. At their share of the descriptors, one is evicted for the next.
//
// A node is dialed once there is something to send to it or to receive from it: there may be more nodes than
// descriptors, and dialing all of them at once would delay a start on a part of a core.
type nodeConns struct {
	*environment
	nodes          *nodeTable
	events         nodeEvents
	conns          map[transport.ConnID]*nodeConn
	limit          int
	connectTimeout placement.Millis
}

// newNodeConns returns an empty table. Its events are set once there is a binder, which handles them.
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

// await calls the waiter once: with the connection to the node, as soon as it is open, or without if there is none.
func (nc *nodeConns) await(n *node, waiter connWaiter) {
	if n == nil {
		waiter.unreachable()
		return
	}
	if c := n.openConn(); c != nil && !nc.idle(nc.host.Now(), c) {
		waiter.connected(c)
		return
	}
	if !n.reachable() {
		waiter.unreachable()
		return
	}
	n.waiters = append(n.waiters, waiter)
	nc.connect(nc.host.Now(), n)
}

// opened handles a dialed connection that is open now: it serves the waiters, then sends the pending releases.
func (nc *nodeConns) opened(now placement.Millis, c *nodeConn) {
	n := c.node
	c.state = connOpen
	c.lastReceived = now
	if n.conn != c {
		nc.disconnect(now, c, errReplaced)
		return
	}
	nc.log.Debug("node connected", "node", n.name, "address", n.addr, "workloads", len(n.workloads))
	n.dialing.opened()
	n.serveWaiters(c)
	nc.sendPendingReleases(c)
}

// disconnect closes a connection and handles its end.
func (nc *nodeConns) disconnect(now placement.Millis, c *nodeConn, reason error) {
	nc.net.Close(c.id)
	nc.closed(now, c, reason)
}

// disconnectNode closes a node's connection, open or being dialed.
func (nc *nodeConns) disconnectNode(now placement.Millis, n *node, reason error) {
	if n.conn != nil {
		nc.disconnect(now, n.conn, reason)
	}
}

// removeNode removes a node and the connection to it, if the node is no longer listed and has no workloads.
func (nc *nodeConns) removeNode(now placement.Millis, n *node) {
	if !nc.nodes.removable(n) {
		return
	}
	nc.nodes.remove(n)
	nc.disconnectNode(now, n, errNodeRemoved)
	n.failWaiters()
}

// closed handles the end of a connection, or that dialing it failed.
func (nc *nodeConns) closed(now placement.Millis, c *nodeConn, reason error) {
	n := c.node
	wasOpen := c.state != connDialing
	nc.log.Debug("node disconnected", "node", n.name, "opened", wasOpen, "offers", len(c.offers),
		"workloads", len(n.workloads), "reason", reason)
	delete(nc.conns, c.id)
	c.state = connClosed
	if n.conn == c {
		n.conn = nil
	}
	nc.events.offersLost(now, c)
	if !wasOpen {
		n.failWaiters()
		nc.dialFailed(now, n, reason)
	}
	nc.redial(now, n)
}
