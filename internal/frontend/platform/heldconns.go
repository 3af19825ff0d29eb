package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// A held connection is one that is not needed any more, and stays open for what its node may still report on it. The
// system of a node that hangs completes handshakes, so that an open connection is no sign that the process has accepted
// it, or will not use it for its reports when it goes on.

const (
	// maxHeldHung is the number of held connections to a node that does not answer: as many as there are checks until its
	// clients must be notified. It accepts them in the order in which they came up, so that the first ones are kept.
	maxHeldHung = 8
	// maxHeldQuiet is the number of held connections to a node with stray workloads that was not asked yet whether it
	// responds.
	maxHeldQuiet = 2
	// reportTime, in ms, is how long a node that goes on takes at most to report what has ended meanwhile.
	reportTime = placement.Millis(500)
)

// closeReplaced closes a retired connection once it is not needed: its successor is open, and the node has nothing to
// report on it, neither a reply to an offer nor the end of a workload. A node that hangs reports what has ended
// meanwhile on a connection that it has, and on the next one that it accepts. So a few connections are held until
// reportTime after a message of the node that shows that its process goes on.
func (nc *nodeConns) closeReplaced(c *nodeConn) {
	n := c.node
	if !c.held() || n.openConn() == nil {
		return
	}
	if nc.mayReportOn(nc.host.Now(), c) {
		return
	}
	nc.host.Defer(func(now placement.Millis) {
		if c.state == connClosed {
			return
		}
		nc.disconnect(now, c, errReplaced)
		if !c.checkOnly {
			nc.checkAfterClose(now, n)
		}
	})
}

// mayReportOn reports whether a held connection stays open for what its node may still report on it.
func (nc *nodeConns) mayReportOn(now placement.Millis, c *nodeConn) bool {
	n := c.node
	switch {
	case now-c.abandonedAt < endGrace:
		return n.heldBefore(c) < maxHeldHung
	case !n.runsWorkloads():
		return false
	case c.responded:
		return now-c.respondedAt < reportTime
	}
	return n.heldBefore(c) < n.maxHeldConns()
}

// askIfHung sends a health check on the connection of a check, if the node has reported nothing since an earlier check
// and runs workloads whose ends it can report only on connections like this one: they must stay open if it hangs.
func (nc *nodeConns) askIfHung(c *nodeConn) {
	n := c.node
	if !nc.config.Settings.HealthChecksAllowed || n.heldBefore(c) == 0 || !n.hasStrayWorkloads() {
		return
	}
	n.unanswered = true
	nc.net.Send(c.id, codec.NewHealthCheck(unusedCheckTag))
}

// held reports whether the connection is open only since its node may not have accepted it yet, or may still have to
// report something on it.
func (c *nodeConn) held() bool {
	return c.state == connRetired && len(c.offers) == 0 && !c.carriesWorkloads()
}

// dispensable reports whether the connection was opened for a check only, or was replaced and carries no workloads.
func (c *nodeConn) dispensable() bool {
	return c.checkOnly || c.state == connRetired && !c.carriesWorkloads()
}

// carriesWorkloads reports whether a workload runs that was offered on the connection. Its node reports its end there.
func (c *nodeConn) carriesWorkloads() bool {
	for _, w := range c.node.workloads {
		if w.bind.conn == c && w.running() {
			return true
		}
	}
	return false
}

// markResponded records that a message of the node was received after this connection was retired.
func (c *nodeConn) markResponded(now placement.Millis) {
	if !c.responded {
		c.responded = true
		c.respondedAt = now
	}
}

// markResponded records that a message of the node was received.
func (n *node) markResponded(now placement.Millis) {
	n.messageAt = now
	n.unanswered = false
	for _, c := range n.retired {
		c.markResponded(now)
	}
}

// hasStrayWorkloads reports whether a workload runs on the node whose offer went on no connection that is open: it was
// handed over, or its connection has ended.
func (n *node) hasStrayWorkloads() bool {
	if n.handovers > 0 {
		return true
	}
	for _, w := range n.workloads {
		if w.running() && (w.bind.conn == nil || !w.bind.conn.isOpen()) {
			return true
		}
	}
	return false
}

// maxHeldConns returns the number of held connections that the node may have while it is silent.
func (n *node) maxHeldConns() int {
	switch {
	case n.unanswered:
		return maxHeldHung
	case n.hasStrayWorkloads():
		return maxHeldQuiet
	}
	return 0
}

// heldBefore returns the number of held connections that were retired before c, or of all if c is not retired.
func (n *node) heldBefore(c *nodeConn) (count int) {
	for _, other := range n.retired {
		if other == c {
			break
		}
		if other.held() {
			count++
		}
	}
	return count
}
