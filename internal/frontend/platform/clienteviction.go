package platform

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// evictConnection closes the first connection in eviction order, excluding latest and connections with unanswered
// requests. If all others have unanswered requests, it closes latest. Eviction guards against clients that open
// thousands of connections and keep them.
func (cs *clientConns) evictConnection(now placement.Millis, latest *clientConn) {
	for _, c := range cs.conns {
		c.queued = transport.Queued(cs.net, c.id)
		c.arriving = cs.arriving(c.id)
	}
	first, found := firstEvicted(cs.conns, func(c *clientConn) bool { return c != latest && len(c.unanswered) == 0 })
	if !found {
		first = latest
	}
	cs.disconnect(now, first)
}

// evictedBefore defines the eviction order: connections on which messages wait to be handled come last, since those may
// be requests, which would get no answer. Of the others, those without any message come first, then those with fewer
// confirmed workloads, then those with fewer placed ones, then those on which no message is on its way, then those with
// an older last message. Confirmed workloads have precedence because a client can hand over any number of workloads
// that do not exist.
func (c *clientConn) evictedBefore(other *clientConn) bool {
	switch {
	case c.queued != other.queued:
		return other.queued
	case c.active != other.active:
		return other.active
	case c.confirmed != other.confirmed:
		return c.confirmed < other.confirmed
	case c.placed != other.placed:
		return c.placed < other.placed
	case c.arriving != other.arriving:
		return other.arriving
	case c.lastReceived != other.lastReceived:
		return c.lastReceived < other.lastReceived
	}
	return c.id < other.id
}
