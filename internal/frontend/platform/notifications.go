package platform

import (
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
	// undeliveredTTL, in ms, is how long a notification waits for a client connection before it is dropped.
	undeliveredTTL = 10 * endGrace
)

// notification is a queued message that waits for a client connection.
type notification struct {
	message   codec.Message
	expiresAt placement.Millis
}

// ended is the end of a workload that a client is notified of.
type ended struct {
	client     transport.ConnID // connection of the request, which may be closed
	tag        codec.Tag
	cause      codec.Cause // CauseNone if there was none
	unverified bool        // the workload was handed over, and its node has not reported on it
}

// notifyEnd notifies a client that its workload has ended. It sends nothing if the client ended the workload itself.
func (cs *clientConns) notifyEnd(end ended) {
	cause := end.cause
	if cause == codec.CauseNone {
		cause = codec.CauseReset
	}
	if cause == codec.CauseCancelled {
		return
	}
	cs.counters.Released++
	cs.log.Debug("workload ended", "workload", end.tag, "client", end.client, "cause", uint8(cause))
	if end.unverified && len(cs.undelivered) >= maxUndeliveredUnverified {
		return
	}
	cs.notify(end.client, codec.NewTermination(end.tag, cause))
}

// notify sends a message about a workload on the connection of its request. If that is closed, it uses the last one in
// eviction order of those with placed workloads, which is likely to stay open. If there is none, the message is queued;
// beyond maxUndelivered, the oldest queued message is dropped.
func (cs *clientConns) notify(client transport.ConnID, m codec.Message) {
	if cs.conns[client] != nil {
		cs.net.Send(client, m)
		return
	}
	if c := cs.mostPlaced(); c != nil {
		cs.net.Send(c.id, m)
		return
	}
	if len(cs.undelivered) >= maxUndelivered {
		cs.undelivered = cs.undelivered[1:]
	}
	cs.undelivered = append(cs.undelivered, notification{message: m, expiresAt: cs.host.Now() + undeliveredTTL})
}

// mostPlaced returns the last connection in eviction order among those with placed workloads, or nil.
func (cs *clientConns) mostPlaced() *clientConn {
	var last *clientConn
	for _, c := range cs.conns {
		if c.placed > 0 && (last == nil || last.evictedBefore(c)) {
			last = c
		}
	}
	return last
}

// flushUndelivered sends the queued, unexpired notifications on the given connection and empties the queue. It does
// nothing if the connection is closed.
func (cs *clientConns) flushUndelivered(now placement.Millis, c *clientConn) {
	if len(cs.undelivered) == 0 || cs.conns[c.id] != c {
		return
	}
	for _, n := range cs.undelivered {
		if now < n.expiresAt {
			cs.net.Send(c.id, n.message)
		}
	}
	cs.undelivered = nil
}
