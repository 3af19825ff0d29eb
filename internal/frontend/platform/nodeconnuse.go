package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

const (
	// idleShare is the fraction of the settings' idle timeout after which the frontend closes a connection. It is below
	// 1 so that no offer is sent while the node closes the connection.
	idleShare = 0.9
	// maxPendingReleases is the maximum number of releases per node that wait for a connection.
	maxPendingReleases = 4096
)

// release sends a node the request to end a workload. It uses the connection of the offer if that is usable, otherwise
// the node's current connection. If neither is usable, the release waits for the next connection; beyond
// maxPendingReleases it is dropped.
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

// sendPendingReleases sends the releases that waited for a connection to the node.
func (nc *nodeConns) sendPendingReleases(c *nodeConn) {
	for _, tag := range c.node.pendingReleases {
		nc.net.Send(c.id, codec.NewTermination(tag, codec.CauseNormal))
	}
	c.node.pendingReleases = nil
}

// usable reports whether messages can be sent on the connection: it is open, and the node is not about to close it.
func (nc *nodeConns) usable(now placement.Millis, c *nodeConn) bool {
	return c != nil && c.isOpen() && !nc.idle(now, c)
}

// replaceSilent retires c and dials another connection, if c is its node's current connection and nothing was received
// on it since the given time: messages sent on it may have been lost.
func (nc *nodeConns) replaceSilent(now placement.Millis, c *nodeConn, since placement.Millis) {
	if c.lastReceived < since && c.node.conn == c {
		c.retire()
		nc.dial(now, c.node)
	}
}

// closeReplaced closes a retired connection, if it has no offer without a reply and its successor is open.
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

// idle reports whether a connection was unused for more than idleShare of the idle timeout, so that the node may close
// it soon. Without an idle timeout in the settings, it returns false.
func (nc *nodeConns) idle(now placement.Millis, c *nodeConn) bool {
	timeout := nc.config.Settings.IdleTimeout
	return timeout > 0 && now-max(c.lastSent, c.lastReceived) > timeout*idleShare
}

// closeIdle closes idle connections before their nodes do, in the order of their ids. Connections with an offer without
// a reply stay open.
func (nc *nodeConns) closeIdle(now placement.Millis) {
	for _, c := range frontend.SortedValues(nc.conns) {
		if c.isOpen() && len(c.offers) == 0 && nc.idle(now, c) {
			nc.disconnect(now, c, errIdle)
		}
	}
}
