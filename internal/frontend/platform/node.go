package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// node is a node from the endpoint list, or from a client's request to adopt a workload.
type node struct {
	id     placement.NodeID
	name   string
	addr   string         // empty if there is none, or if another node has taken it over
	entry  placement.Node // last entry of the endpoint list; in state Removed if there is none
	listed bool           // an endpoint list has contained the node
	// listedStart is the start time of the node's process in the last entry, in Unix time in ms, or 0.
	listedStart placement.Millis
	workloads   map[placement.WorkloadID]*workload // workloads being bound to the node or running on it
	handovers   int                                // compact handovers of workloads on the node
	addedBy     transport.ConnID                   // client connection of the handover that has named the unlisted node
	addedAt     placement.Millis                   // subscription.connectedTime at that handover

	conn            *nodeConn        // connection for new offers, open or being dialed; nil if there is none
	retired         []*nodeConn      // open connections that are not used for new offers, in the order of retirement
	messageAt       placement.Millis // time of the last message, on any connection
	unanswered      bool             // a bind has timed out or a check was sent, and no message was received since
	waiters         []connWaiter     // waiters for conn to open
	pendingReleases []codec.Tag      // releases that wait for conn to open
	dialing         dialHistory
	check           nodeCheck
}

// nodeCheck is the state of the checks of whether a node's machine can be reached.
type nodeCheck struct {
	conn          *nodeConn          // connection of a check, open or being dialed; nil if there is none
	watched       bool               // the node is checked while it runs workloads
	liveness      placement.Liveness // valid if watched
	timer         uint64             // number of the timer of the next check; earlier ones have no effect
	silenceLogged bool
}

// connWaiter waits for a connection to a node. Exactly one of its methods is called.
type connWaiter interface {
	connected(c *nodeConn)
	unreachable()
}

// reachable reports whether the node has an address to dial and is not removed.
func (n *node) reachable() bool { return n.addr != "" && n.entry.State != placement.Removed }

// needsConn reports whether a connection is needed, to send messages to the node or to receive ends of its workloads.
func (n *node) needsConn() bool {
	return !n.unused() || len(n.pendingReleases) > 0 || len(n.waiters) > 0
}

// runsWorkloads reports whether a workload runs on the node, or was handed over as running there.
func (n *node) runsWorkloads() bool {
	if n.handovers > 0 {
		return true
	}
	for _, w := range n.workloads {
		if w.running() {
			return true
		}
	}
	return false
}

// unused reports whether no workload is being bound to the node or runs on it.
func (n *node) unused() bool { return len(n.workloads) == 0 && n.handovers == 0 }

// openConn returns the connection for new offers if it is open, or nil.
func (n *node) openConn() *nodeConn {
	if n.conn != nil && n.conn.state == connOpen {
		return n.conn
	}
	return nil
}

// notifyWaiters calls connected of all waiters and removes them.
func (n *node) notifyWaiters(c *nodeConn) {
	waiters := n.waiters
	n.waiters = nil
	for _, waiter := range waiters {
		waiter.connected(c)
	}
}

// failWaiters calls unreachable of all waiters and removes them.
func (n *node) failWaiters() {
	waiters := n.waiters
	n.waiters = nil
	for _, waiter := range waiters {
		waiter.unreachable()
	}
}
