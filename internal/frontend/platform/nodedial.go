package platform

import (
	"errors"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// defaultConnectTimeout, in ms, applies if the settings state none.
	defaultConnectTimeout = placement.Millis(250)
	// nodeDownAfter is for how long, in ms, connections are refused until the workloads of a node count as lost.
	nodeDownAfter = placement.Millis(600)
	// revisitAfter is how long after its eviction, in ms, a node is dialed again. Clients are to be notified of ends
	// within 8 s.
	revisitAfter = placement.Millis(3000)
)

// redialBackoff ends at 2 s, so that the ends of workloads are received within the 8 s in which clients are to be
// notified.
var redialBackoff = frontend.Backoff{Initial: 50, Max: 2000}

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
	history := &n.dialing
	if history.timerPending() || !n.reachable() || !n.needed() {
		return
	}
	history.redialPending = true
	at := history.redialAt(now, nc.host.RetryDelay(redialBackoff, history.failures))
	nc.host.Schedule(at, func(now placement.Millis) {
		history.redialPending = false
		if nc.nodes.holds(n) {
			nc.connect(now, n)
		}
	})
}

// evictConnection closes the first connection in the eviction order to free a descriptor for another node, and reports
// whether there was one. Connections with an open offer are never evicted.
func (nc *nodeConns) evictConnection(now placement.Millis, successor *node) bool {
	first := nc.firstEvictable(successor)
	if first == nil {
		return false
	}
	if first.node == successor {
		// It was replaced and not closed yet. The node is about to be dialed and needs no revisit.
		nc.disconnect(now, first, errReplaced)
		return true
	}
	nc.revisit(now, first.node)
	nc.disconnect(now, first, errEvicted)
	return true
}

// firstEvictable returns the first connection in the eviction order that may be evicted for the node, or nil.
func (nc *nodeConns) firstEvictable(successor *node) *nodeConn {
	var first *nodeConn
	for _, c := range nc.conns {
		evictable := c.isOpen() && len(c.offers) == 0 && c != successor.conn
		if evictable && (first == nil || c.evictedBefore(first)) {
			first = c
		}
	}
	return first
}

// revisit has a node whose connection is evicted dialed again after revisitAfter, so that it can report the ends of its
// workloads. Until then the node is dialed only to send something to it.
func (nc *nodeConns) revisit(now placement.Millis, n *node) {
	n.dialing.revisitPending = true
	nc.host.Schedule(now+revisitAfter, func(now placement.Millis) {
		n.dialing.revisitPending = false
		if nc.nodes.holds(n) {
			nc.connect(now, n)
		}
	})
}

// dialFailed records that a node could not be dialed. Once connections were refused for nodeDownAfter, the node's
// process has ended.
func (nc *nodeConns) dialFailed(now placement.Millis, n *node, reason error) {
	history := &n.dialing
	history.failures++
	if !errors.Is(reason, transport.ErrConnectionRefused) {
		history.refusals.end()
		return
	}
	if history.refusals.add(now) >= nodeDownAfter {
		nc.events.processEnded(now, n)
	}
}
