package platform

import (
	"errors"
	"slices"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// reservedSockets is the number of file descriptors reserved for other uses than client and node connections: 3
// standard files, the listener, 8 for the event loops and the runtime, the connection to the discovery service and
// maxUnanswered earlier ones, the configuration file during a reload, and the second descriptors of up to 4 connections
// while they are passed to their event loops.
const reservedSockets = 18 + maxUnanswered

// Reasons for which the frontend closes a node connection, or for which the workloads on a node have ended. They are
// only logged.
var (
	errReplaced       = errors.New("replaced by another connection")
	errEvicted        = errors.New("evicted: file descriptor needed for another node")
	errIdle           = errors.New("idle")
	errNodeRemoved    = errors.New("node removed")
	errAddressChanged = errors.New("address of the node changed")
	errAddressTaken   = errors.New("address of the node assigned to another node")
	errNoDescription  = errors.New("confirmation without a description")
	errMachineLost    = errors.New("machine of the node lost")
	errNodeDown       = errors.New("connections refused for too long")
	errRestarted      = errors.New("process of the node restarted")
	errUnlisted       = errors.New("node not in the endpoint list")
)

// maxNodeConns returns the maximum number of node connections, including those being dialed.
func (c *Config) maxNodeConns() int {
	return max(1, c.Limits.Sockets-c.maxClientConns()-extraClientConns-reservedSockets)
}

// nodeEvents handles the effects of a closed connection, or of the end of a node's process, on workloads.
type nodeEvents interface {
	// offersLost is called when a connection is closed. Its offers without a reply may have been accepted.
	offersLost(now placement.Millis, c *nodeConn)
	// machineLost is called when a node's machine has been silent for so long that the workloads on it count as ended.
	machineLost(now placement.Millis, n *node)
	// processEnded is called when a node's process has ended, and with it all workloads on the node.
	processEnded(now placement.Millis, n *node, reason error)
	// processRestarted is called when another process than that before the given time is found at a node's address.
	processRestarted(now placement.Millis, n *node, startedAt placement.Millis, reason error)
}

// nodeConns is the table of node connections. At the limit, a connection must be evicted for each new one.
//
// A node is dialed only when a message has to be sent to it or is expected from it: there may be more nodes than file
// descriptors, and dialing all nodes together would delay the start of a process that has only a fraction of a core.
type nodeConns struct {
	*environment
	nodes          *nodeTable
	events         nodeEvents
	conns          map[transport.ConnID]*nodeConn
	limit          int
	connectTimeout placement.Millis
}

// newNodeConns returns an empty table. The caller must set events before the table is used.
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

// get returns the connection with the given id, or nil.
func (nc *nodeConns) get(id transport.ConnID) *nodeConn { return nc.conns[id] }

// replyQueued reports whether a message of a node's connection may have been received and not been handled yet: it is
// queued, or the process was stopped and has not read it.
func (nc *nodeConns) replyQueued(c *nodeConn) bool {
	return transport.Queued(nc.net, c.id) || nc.host.RecentStall() > 0
}

// await calls waiter.connected once a connection to the node is open, or waiter.unreachable if the node cannot be
// dialed, its dial fails or it is removed. If a connection is open or the node cannot be dialed, await calls the method
// before it returns. A nil n cannot be dialed.
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

// awaitAnother is await for another connection than c, which is retired if it is its node's current one.
func (nc *nodeConns) awaitAnother(c *nodeConn, waiter connWaiter) {
	if c.node.conn == c {
		c.retire()
	}
	nc.await(c.node, waiter)
}

// opened handles a successful dial: it calls the node's waiters and sends the pending releases. A connection that was
// replaced during the dial is closed.
func (nc *nodeConns) opened(now placement.Millis, c *nodeConn) {
	n := c.node
	c.state = connOpen
	c.lastReceived = now
	nc.heard(now, n)
	if n.dialing.refusals.ongoing {
		// Nobody listened there: this is another process than the one that ran the node's workloads.
		nc.events.processRestarted(now, n, n.dialing.refusals.since, errRestarted)
	}
	if c.state == connClosed {
		return // the node was removed, with its last workload
	}
	if n.check.watched {
		nc.scheduleCheck(now, n)
	}
	switch c {
	case n.conn:
		nc.becameCurrent(c)
	case n.check.conn:
		nc.checkOpened(now, c)
	default:
		nc.disconnect(now, c, errReplaced)
	}
}

// becameCurrent calls the waiters of a node whose current connection has come up, and sends the pending releases.
func (nc *nodeConns) becameCurrent(c *nodeConn) {
	n := c.node
	nc.log.Debug("node connected", "node", n.name, "address", n.addr, "workloads", len(n.workloads))
	n.dialing.opened()
	n.notifyWaiters(c)
	nc.sendPendingReleases(c)
}

// disconnect closes a connection and handles its end.
func (nc *nodeConns) disconnect(now placement.Millis, c *nodeConn, reason error) {
	nc.net.Close(c.id)
	nc.closed(now, c, reason)
}

// disconnectNode closes all connections of a node, which may be open or being dialed.
func (nc *nodeConns) disconnectNode(now placement.Millis, n *node, reason error) {
	for _, c := range nc.connsOf(n) {
		nc.disconnect(now, c, reason)
	}
}

// removeNode removes a node and closes its connection, if the node is in state Removed and has no workloads.
func (nc *nodeConns) removeNode(now placement.Millis, n *node) {
	if !nc.nodes.removable(n) {
		return
	}
	nc.nodes.remove(n)
	nc.disconnectNode(now, n, errNodeRemoved)
	n.failWaiters()
}

// removeUnused removes the removed nodes whose last bind has ended.
func (nc *nodeConns) removeUnused(now placement.Millis) {
	for _, n := range nc.nodes.removables() {
		nc.removeNode(now, n)
	}
}

// lost handles the end of a connection that this side has not closed, or a failed dial. If workloads run on the node,
// it is dialed at once: when its process has ended, it refuses connections until another one listens at its address.
func (nc *nodeConns) lost(now placement.Millis, c *nodeConn, reason error) {
	n := c.node
	dialNow := c.isOpen() && now-c.dialedAt >= redialBackoff.Initial && n.runsWorkloads()
	nc.closed(now, c, reason)
	if dialNow && nc.nodes.contains(n) {
		nc.connect(now, n)
	}
}

// closed handles the end of a connection or a failed dial.
func (nc *nodeConns) closed(now placement.Millis, c *nodeConn, reason error) {
	n := c.node
	wasOpen := c.state != connDialing
	nc.log.Debug("node disconnected", "node", n.name, "opened", wasOpen, "offers", len(c.offers),
		"workloads", len(n.workloads), "reason", reason)
	if errors.Is(reason, transport.ErrSlowPeer) {
		nc.counters.SlowNodes++
	}
	delete(nc.conns, c.id)
	c.state = connClosed
	wasCheck := n.check.conn == c
	if wasCheck {
		n.check.conn = nil
	}
	if n.conn == c {
		n.conn = nil
	}
	n.retired = slices.DeleteFunc(n.retired, func(retired *nodeConn) bool { return retired == c })
	nc.events.offersLost(now, c) // may dial the node again
	switch {
	case wasOpen:
	case wasCheck:
		nc.checkFailed(now, n, reason)
	default:
		n.failWaiters()
		nc.dialFailed(now, n, reason)
	}
	if !wasOpen && transport.IsNoResponse(reason) {
		nc.noResponse(now, n, c.dialedAt)
	}
	if n.check.watched {
		nc.scheduleCheck(now, n)
	}
	nc.redial(now, n)
}

// connsOf returns the connections of a node in the order of their ids.
func (nc *nodeConns) connsOf(n *node) (conns []*nodeConn) {
	for _, c := range frontend.SortedValues(nc.conns) {
		if c.node == n {
			conns = append(conns, c)
		}
	}
	return conns
}

// newConn dials a node and adds the connection to the table.
func (nc *nodeConns) newConn(now placement.Millis, n *node, timeout placement.Millis) *nodeConn {
	c := &nodeConn{
		id:       nc.net.DialCodec(n.addr, codec.NodeCodec{}, timeout),
		node:     n,
		dialedAt: now,
		lastSent: now,

		abandonedAt: placement.DistantPast,
		offers:      map[placement.WorkloadID]*workload{},
	}
	nc.conns[c.id] = c
	return c
}
