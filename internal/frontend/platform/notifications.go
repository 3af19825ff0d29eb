package platform

import (
	"slices"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// maxUndelivered is the maximum number of notifications that wait for a client connection.
	maxUndelivered = 4096
	// maxUndeliveredUnverified is the number of waiting notifications beyond which none about workloads are queued that
	// were handed over and may not exist.
	maxUndeliveredUnverified = maxUndelivered / 2
	// crossingTime, in ms, is the time before the end of a connection in which a notification that was sent on it may not
	// have been read.
	crossingTime = placement.Millis(50)
	// undeliveredTTL, in ms, is how long a notification waits for a client connection before it is dropped.
	undeliveredTTL = 10 * endGrace
)

// notification is a queued message that waits for a client connection.
type notification struct {
	message   codec.Message
	expiresAt placement.Millis
}

// sentNotification is a message that was sent on a client connection lately.
type sentNotification struct {
	message codec.Message
	at      placement.Millis
}

// ended is the end of a workload that a client is notified of.
type ended struct {
	client     transport.ConnID // connection of the request, which may be closed
	tag        codec.Tag
	cause      codec.Cause // CauseNone if there was none
	unverified bool        // the workload was handed over, and its node has not reported on it
	released   bool        // this side has released a copy of the workload at its node
}

// notifyEnd notifies a client that its workload has ended. It sends nothing if the client ended the workload itself:
// CauseCancelled says so, unless the release of this side may have caused it.
func (cs *clientConns) notifyEnd(end ended) {
	cause := end.cause
	if cause == codec.CauseNone || cause == codec.CauseCancelled && end.released {
		cause = codec.CauseReset
	}
	if cause == codec.CauseCancelled {
		return
	}
	cs.counters.Released++
	cs.log.Debug("workload ended", "workload", end.tag, "client", end.client, "cause", uint8(cause))
	if end.unverified && len(cs.undelivered) >= maxUndeliveredUnverified {
		cs.dropped(1, "too many wait")
		return
	}
	cs.notify(end.client, codec.NewTermination(end.tag, cause))
}

// notify sends a message about a workload on the connection of its request. If that is closed, it uses the last one in
// eviction order of those of proven clients: it is likely to stay open, and clients take notifications on any
// connection. If there is none, the message is sent on one on which a workload was handed over, if there is one, and
// queued for a proven client as well: it is told twice rather than not at all.
func (cs *clientConns) notify(client transport.ConnID, m codec.Message) {
	c := cs.conns[client]
	if c == nil || cs.net.IsClosed(client) {
		c = cs.lastEvicted()
	}
	if c != nil {
		cs.sendNotification(c, m)
	}
	if c == nil || c.id != client && c.proof != proven {
		cs.queueNotification(m)
	}
}

// queueNotification queues a message for the next proven client. Beyond maxUndelivered, the oldest one is dropped.
func (cs *clientConns) queueNotification(m codec.Message) {
	if len(cs.undelivered) >= maxUndelivered {
		cs.undelivered = cs.undelivered[1:]
		cs.dropped(1, "too many wait")
	}
	cs.counters.QueuedNotifications++
	cs.undelivered = append(cs.undelivered, notification{message: m, expiresAt: cs.host.Now() + undeliveredTTL})
}

// sendNotification sends a notification on a connection, and remembers it for crossingTime.
func (cs *clientConns) sendNotification(c *clientConn, m codec.Message) {
	now := cs.host.Now()
	c.notified = slices.DeleteFunc(c.notified, func(n sentNotification) bool { return now-n.at > crossingTime })
	c.notified = append(c.notified, sentNotification{message: m, at: now})
	cs.net.Send(c.id, m)
}

// notifyAgain sends the notifications that the end of their connection may have crossed on another connection. Their
// client may have read them; it is told twice rather than not at all.
func (cs *clientConns) notifyAgain(now placement.Millis, lost *clientConn) {
	for _, n := range lost.notified {
		if now-n.at <= crossingTime {
			cs.counters.RepeatedNotifications++
			cs.notify(lost.id, n.message)
		}
	}
}

// lastEvicted returns the last connection in eviction order among the open ones with the best proof, or nil if there is
// none with any.
func (cs *clientConns) lastEvicted() *clientConn {
	var last *clientConn
	for _, c := range cs.conns {
		if c.proof != unproven && !cs.net.IsClosed(c.id) && (last == nil || c.preferredTo(last)) {
			last = c
		}
	}
	return last
}

// preferredTo reports whether notifications are sent on c rather than on other.
func (c *clientConn) preferredTo(other *clientConn) bool {
	if c.proof != other.proof {
		return c.proof > other.proof
	}
	return other.evictedBefore(c)
}

// dropped counts and logs notifications that are not delivered. The log line comes at most once per minLogInterval.
func (cs *clientConns) dropped(count int, reason string) {
	if count == 0 {
		return
	}
	cs.counters.DroppedNotifications += uint64(count)
	if total, log := cs.droppedLog.add(cs.host.Now(), uint64(count)); log {
		cs.log.Warn("notifications of clients dropped", "notifications", total, "waiting", len(cs.undelivered),
			"clients", len(cs.conns), "reason", reason)
	}
}

// dropExpired drops the queued notifications that have expired.
func (cs *clientConns) dropExpired(now placement.Millis) {
	expired := 0
	for expired < len(cs.undelivered) && cs.undelivered[expired].expiresAt <= now {
		expired++
	}
	cs.undelivered = cs.undelivered[expired:]
	cs.dropped(expired, "no client connection in time")
}

// flushUndelivered sends the queued, unexpired notifications on the given connection and empties the queue. It does
// nothing if the connection is closed, or its peer is not a proven client.
func (cs *clientConns) flushUndelivered(now placement.Millis, c *clientConn) {
	if len(cs.undelivered) == 0 || c.proof != proven || cs.conns[c.id] != c || cs.net.IsClosed(c.id) {
		return
	}
	cs.dropExpired(now)
	for _, n := range cs.undelivered {
		cs.sendNotification(c, n.message)
	}
	cs.undelivered = nil
}
