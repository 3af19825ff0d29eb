package platform

import (
	"errors"

	"grebeglade/internal/frontend"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// defaultConnectTimeout, in ms, applies if the settings have no connect timeout.
	defaultConnectTimeout = placement.Millis(250)
	// nodeDownAfter, in ms, is the duration of refused dials after which a node's workloads are considered lost.
	nodeDownAfter = placement.Millis(600)
	// evictedRedialDelay, in ms, is the delay after which a node whose connection was evicted is dialed again. Clients
	// must be notified of the end of a workload within 8 s.
	evictedRedialDelay = placement.Millis(3000)
)

// redialBackoff is the backoff of failed dials of a node, in ms. Its maximum of 2 s ensures that the end of a workload
// is received in time to notify the client within 8 s.
var redialBackoff = frontend.Backoff{Initial: 50, Max: 2000}

// connect dials a node if a connection to it is needed.
func (nc *nodeConns) connect(now placement.Millis, n *node) {
	if n.needsConn() {
		nc.dial(now, n)
	}
}

// dial dials a node, unless it is unreachable or has a connection that is being dialed or open. An open connection that
// is idle is retired and replaced. If no connection can be evicted at the limit, the dial is retried after a backoff.
func (nc *nodeConns) dial(now placement.Millis, n *node) {
	if c := n.openConn(); c != nil && nc.idle(now, c) {
		c.retire() // the node may be closing the connection
	}
	if n.conn != nil || !n.reachable() {
		return
	}
	if len(nc.conns) >= nc.limit && !nc.evictConnection(now, n) {
		nc.redial(now, n)
		return
	}
	n.conn = nc.newConn(now, n, nc.connectTimeout)
}

// redial schedules a dial of a node after a backoff, unless a dial is already scheduled, the node is unreachable or no
// connection is needed. The node is dialed only if it still needs a connection at that time.
func (nc *nodeConns) redial(now placement.Millis, n *node) {
	history := &n.dialing
	if history.timerPending() || !n.reachable() || !n.needsConn() {
		return
	}
	history.redialPending = true
	at := history.redialAt(now, nc.host.RetryDelay(redialBackoff, history.failures))
	nc.host.Schedule(at, func(now placement.Millis) {
		history.redialPending = false
		if nc.nodes.contains(n) {
			nc.connect(now, n)
		}
	})
}

// evictConnection closes the first connection in eviction order, to free a file descriptor for successor. It returns
// false if no connection can be evicted. Connections that are being dialed, or have an offer without a reply, are never
// evicted.
func (nc *nodeConns) evictConnection(now placement.Millis, successor *node) bool {
	first, found := firstEvicted(nc.conns, func(c *nodeConn) bool {
		return c.isOpen() && len(c.offers) == 0 && c != successor.conn
	})
	if !found {
		return false
	}
	if first.node == successor {
		// The connection was replaced and not closed yet. The caller is about to dial the node, so redialEvicted is not
		// needed.
		nc.disconnect(now, first, errReplaced)
		return true
	}
	if !first.checkOnly {
		nc.redialEvicted(now, first.node)
	}
	nc.disconnect(now, first, errEvicted)
	return true
}

// redialEvicted schedules a dial, after evictedRedialDelay, of a node whose connection is evicted, so that the node can
// report the ends of its workloads. Until then the node is dialed only to send a message to it.
func (nc *nodeConns) redialEvicted(now placement.Millis, n *node) {
	n.dialing.evictedRedialPending = true
	nc.host.Schedule(now+evictedRedialDelay, func(now placement.Millis) {
		n.dialing.evictedRedialPending = false
		if nc.nodes.contains(n) {
			nc.connect(now, n)
		}
	})
}

// dialFailed records a failed dial. If all dials were refused for nodeDownAfter, the node's process is considered
// ended.
func (nc *nodeConns) dialFailed(now placement.Millis, n *node, reason error) {
	history := &n.dialing
	history.failures++
	if !errors.Is(reason, transport.ErrConnectionRefused) {
		history.refusals.end()
		return
	}
	if history.refusals.add(now) >= nodeDownAfter {
		nc.events.processEnded(now, n, errNodeDown)
	}
}
