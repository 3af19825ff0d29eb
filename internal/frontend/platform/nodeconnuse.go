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
	// maxPendingUnverified is the number of waiting releases per node beyond which none of workloads are queued that
	// were handed over and may not exist.
	maxPendingUnverified = maxPendingReleases / 2
)

// release is a request to a node to end a workload.
type release struct {
	node       *node
	preferred  *nodeConn // connection to use if it is usable; may be nil
	tag        codec.Tag
	unverified bool // the workload was handed over, and its node has not reported on it
}

// release sends a node the request to end a workload, on the connection of the offer if that is usable.
func (nc *nodeConns) release(w *workload) {
	nc.releaseTag(nc.host.Now(), release{
		node:       w.bind.node,
		preferred:  w.bind.conn,
		tag:        w.tag,
		unverified: w.unverified(),
	})
}

// releaseTag sends a release on the preferred connection or, if that is not usable, on the node's current connection.
// If neither is usable, the release waits for the next connection; beyond maxPendingReleases it is dropped.
func (nc *nodeConns) releaseTag(now placement.Millis, r release) {
	for _, c := range []*nodeConn{r.preferred, r.node.openConn()} {
		if nc.usable(now, c) {
			c.lastSent = now
			nc.sendRelease(c, r.tag)
			return
		}
	}
	nc.queueRelease(r.node, r.tag, r.unverified)
	nc.connect(now, r.node)
}

// queueRelease has a release wait for the next connection to the node. Beyond maxPendingReleases it is dropped.
func (nc *nodeConns) queueRelease(n *node, tag codec.Tag, unverified bool) {
	limit := maxPendingReleases
	if unverified {
		limit = maxPendingUnverified
	}
	if len(n.pendingReleases) >= limit {
		nc.counters.DroppedReleases++
		return
	}
	n.pendingReleases = append(n.pendingReleases, tag)
}

// sendPendingReleases sends the releases that waited for a connection to the node.
func (nc *nodeConns) sendPendingReleases(c *nodeConn) {
	for _, tag := range c.node.pendingReleases {
		nc.sendRelease(c, tag)
	}
	c.node.pendingReleases = nil
}

// sendRelease sends a node the request to end a workload.
func (nc *nodeConns) sendRelease(c *nodeConn, tag codec.Tag) {
	c.recordRelease(tag)
	nc.net.Send(c.id, codec.NewTermination(tag, codec.CauseNormal))
}

// usable reports whether messages can be sent on the connection: it is open, and the node is not about to close it.
func (nc *nodeConns) usable(now placement.Millis, c *nodeConn) bool {
	return c != nil && c.isOpen() && !nc.idle(now, c)
}

// replaceSilent retires c and dials another connection, if c is its node's current connection and nothing was received
// on it since the given time: messages sent on it may have been lost.
func (nc *nodeConns) replaceSilent(now placement.Millis, c *nodeConn, since placement.Millis) {
	n := c.node
	if n.messageAt < since {
		n.unanswered = true
	}
	if c.lastReceived < since && n.conn == c {
		c.retire()
		nc.dial(now, n)
	}
}

// idle reports whether a connection was unused for more than idleShare of the idle timeout, so that the node may close
// it soon. Without an idle timeout in the settings, it returns false.
func (nc *nodeConns) idle(now placement.Millis, c *nodeConn) bool {
	timeout := nc.config.Settings.IdleTimeout
	return timeout > 0 && now-max(c.lastSent, c.lastReceived) > timeout*idleShare
}

// closeIdle closes idle connections before their nodes do, in the order of their ids. Connections with an offer without
// a reply, or with a message on its way, stay open. Retired ones, on which nothing is sent that could cross the node's
// close, are closed once they are not needed.
func (nc *nodeConns) closeIdle(now placement.Millis) {
	for _, c := range frontend.SortedValues(nc.conns) {
		nc.closeReplaced(c)
		if c.state == connOpen && len(c.offers) == 0 && nc.idle(now, c) && !nc.arriving(c.id) {
			nc.disconnect(now, c, errIdle)
		}
	}
}
