package platform

import (
	"errors"

	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// The time limits of a client's connection. They count what the client did, never the time that a message waits here.
const (
	// firstMessageTimeout, in ms, is how long a connection may stay open before its first message begins to arrive.
	firstMessageTimeout = placement.Millis(2000)
	// acceptTimeout, in ms, is how long a connection may stay open in all before a message on it is accepted, however
	// its bytes arrive. The platform expects the connection of a client that sends nothing acceptable to end within 3 s.
	acceptTimeout = placement.Millis(2750)
	// queuedMessageInterval, in ms, is the time between two checks of whether messages of a client wait to be handled.
	queuedMessageInterval = placement.Millis(50)
)

// Reasons for which the connection of a client is closed, beside those of the transport. They are only logged.
var (
	errNoMessage       = errors.New("no message within the time for the first one")
	errNothingAccepted = errors.New("no message accepted in time")
)

// watchFirstMessage closes a connection whose first message has not begun to arrive at the given time. If a part of the
// message has arrived, the transport ends the connection when its bytes do not keep arriving. A message that is queued
// has arrived.
func (cs *clientConns) watchFirstMessage(at placement.Millis, c *clientConn) {
	cs.host.ScheduleDeadline(at, func(now placement.Millis) {
		switch {
		case cs.conns[c.id] != c || c.active:
		case cs.arriving(c.id):
			cs.watchFirstMessage(now+messageTimeout, c)
		default:
			cs.counters.Invalid++
			cs.end(now, c, errNoMessage)
		}
	})
}

// watchAccepted closes a connection on which no message was accepted until the given time. Unlike the limit for the
// first message, it does not depend on what arrives: that limit and those of the transport may follow one another.
// Only the time that messages wait in the queue is added.
func (cs *clientConns) watchAccepted(at placement.Millis, c *clientConn) {
	cs.host.ScheduleDeadline(at, func(now placement.Millis) {
		switch {
		case cs.conns[c.id] != c || c.accepted:
		case transport.Queued(cs.net, c.id):
			cs.watchAccepted(now+queuedMessageInterval, c)
		default:
			cs.counters.Invalid++
			cs.end(now, c, errNothingAccepted)
		}
	})
}

// endOnceAnswered closes a connection for the given reason once all of its requests are answered.
func (cs *clientConns) endOnceAnswered(now placement.Millis, c *clientConn, reason error) {
	c.endReason = reason
	cs.endIfAnswered(now, c)
}

// endIfAnswered closes a connection that ends once its requests are answered, if they are.
func (cs *clientConns) endIfAnswered(now placement.Millis, c *clientConn) {
	if cs.conns[c.id] == c && c.endReason != nil && len(c.unanswered) == 0 {
		cs.end(now, c, c.endReason)
	}
}

// end closes a connection because of what its client did or did not send. The reason is logged, at most once per
// minLogInterval.
func (cs *clientConns) end(now placement.Millis, c *clientConn, reason error) {
	if count, log := cs.endLog.add(now, 1); log {
		cs.log.Info("client connection ended", "client", c.id, "connected_ms", int(now-c.openedAt), "clients", count,
			"reason", reason)
	}
	cs.disconnect(now, c)
}

// logUnanswered logs that requests get no answer since their connection has ended, at most once per minLogInterval.
func (cs *clientConns) logUnanswered(now placement.Millis, c *clientConn, reason error) {
	if len(c.unanswered) == 0 {
		return
	}
	if count, log := cs.unansweredLog.add(now, uint64(len(c.unanswered))); log {
		cs.log.Info("client disconnected before its answers", "client", c.id, "requests", count, "reason", reason)
	}
}

// warnSlow logs that a client does not read, at most once per minLogInterval.
func (cs *clientConns) warnSlow(now placement.Millis, c *clientConn, reason error) {
	if count, log := cs.slowLog.add(now, 1); log {
		cs.log.Warn("client does not read, connection ended", "client", c.id, "unanswered", len(c.unanswered),
			"clients", count, "reason", reason)
	}
}
