package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

const (
	// idleShare is the share of the settings' idle timeout after which the frontend closes a connection, so that no
	// offer crosses the node's own close.
	idleShare = 0.9
	// maxPendingReleases bounds the releases that wait for a connection to one node.
	maxPendingReleases = 4096
)

// release has a node end a workload. The message is sent on the connection of the offer if that is usable, else on the
// node's current one; without any it waits for the next.
func (nc *nodeConns) release(w *workload) {
	now := nc.host.Now()
	n := w.bind.node
	for _, c := range []*nodeConn{w.bind.conn, n.openConn()} {
		if nc.usable(now, c) {
			c.lastSent = now
			nc.net.Send(c.id, codec.NewTermination(w.tag, codec.CauseNormal))
			return
		}
	}
	if len(n.pendingReleases) < maxPendingReleases {
		n.pendingReleases = append(n.pendingReleases, w.tag)
	}
	nc.connect(now, n)
}

// sendPendingReleases sends the releases that wait for a connection to the node.
func (nc *nodeConns) sendPendingReleases(c *nodeConn) {
	for _, tag := range c.node.pendingReleases {
		nc.net.Send(c.id, codec.NewTermination(tag, codec.CauseNormal))
	}
	c.node.pendingReleases = nil
}

// usable reports whether a message sent on the connection will reach the node.
func (nc *nodeConns) usable(now placement.Millis, c *nodeConn) bool {
	return c != nil && c.isOpen() && !nc.idle(now, c)
}

// replaceSilent dials another connection for new offers if nothing was received on this one since the given time, as
// messages sent on it may have been lost.
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
