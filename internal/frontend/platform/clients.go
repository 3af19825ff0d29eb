package platform

import (
	"errors"

	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// clientSocketShare is the share of the file descriptors that client connections may use. The platform's rules
	// allow clients a third; the margin tolerates clients that use more. The remaining descriptors are for nodes, the
	// discovery service, the listener and the event loops.
	clientSocketShare = 0.4
	// extraClientConns is the number of connections that are accepted beyond that share, so that the frontend can
	// choose which connection to evict.
	extraClientConns = 8
	// firstMessageTimeout, in ms, is how long a connection may stay open before its first message begins to arrive.
	firstMessageTimeout = placement.Millis(2000)
	// acceptTimeout, in ms, is how long a connection may stay open in all before a message on it is accepted, however
	// its bytes arrive. The platform expects the connection of a client that sends nothing acceptable to end within 3 s.
	acceptTimeout = placement.Millis(2750)
	// queuedMessageInterval, in ms, is the time between two checks of whether messages of a client wait to be handled.
	queuedMessageInterval = placement.Millis(50)
)

// maxClientConns returns the maximum number of client connections that are kept open.
func (c *Config) maxClientConns() int { return int(float64(c.Limits.Sockets) * clientSocketShare) }

// Reasons for which the connection of a client is closed, beside those of the transport. They are only logged.
var (
	errNoMessage       = errors.New("no message within the time for the first one")
	errNothingAccepted = errors.New("no message accepted in time")
)

// clientConn is a client connection.
type clientConn struct {
	id           transport.ConnID
	active       bool  // a message was received
	accepted     bool  // a message had an effect or gets a reply
	endReason    error // why the connection ends once its requests are answered, or nil
	queued       bool  // messages waited to be handled when evictConnection ran last
	arriving     bool  // bytes were received and not handled, when evictConnection ran last
	requested    bool  // a valid request was received
	placed       int   // workloads placed or adopted for requests on this connection
	confirmed    int   // those of placed that a node has confirmed or reported on
	openedAt     placement.Millis
	lastReceived placement.Millis                   // time of the last message, or of opening if there is none
	unanswered   map[placement.WorkloadID]*workload // requests on this connection without a final answer
}

// requestCanceler withdraws the unanswered requests of a closed connection.
type requestCanceler interface {
	cancelAll(now placement.Millis, unanswered map[placement.WorkloadID]*workload)
}

// clientConns is the table of client connections. It also queues notifications while there is no connection to send
// them on.
type clientConns struct {
	*environment
	requests    requestCanceler
	conns       map[transport.ConnID]*clientConn
	limit       int // maximum number of connections
	undelivered []notification

	slowLog logLimit // of clients that do not read
	endLog  logLimit // of connections that were closed for what their client sent

	unansweredLog logLimit // of requests without an answer
	droppedLog    logLimit // of notifications that were not delivered
}

func newClientConns(env *environment) *clientConns {
	return &clientConns{
		environment: env,
		conns:       map[transport.ConnID]*clientConn{},
		limit:       env.config.maxClientConns(),

		slowLog: newLogLimit(),
		endLog:  newLogLimit(),

		unansweredLog: newLogLimit(),
		droppedLog:    newLogLimit(),
	}
}

// get returns the connection with the given id, or nil.
func (cs *clientConns) get(id transport.ConnID) *clientConn { return cs.conns[id] }

// opened adds an accepted connection. If that exceeds the limit, it evicts a connection, which may be the new one.
func (cs *clientConns) opened(now placement.Millis, id transport.ConnID) {
	c := &clientConn{
		id:           id,
		openedAt:     now,
		lastReceived: now,
		unanswered:   map[placement.WorkloadID]*workload{},
	}
	cs.conns[id] = c
	if len(cs.conns) > cs.limit {
		cs.evictConnection(now, c)
	}
	cs.watchFirstMessage(now+firstMessageTimeout, c)
	cs.watchAccepted(now+acceptTimeout, c)
}

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

// disconnect closes a connection and handles its end.
func (cs *clientConns) disconnect(now placement.Millis, c *clientConn) {
	cs.net.Close(c.id)
	cs.closed(now, c)
}

// lost handles the end of a connection that this side has not closed, or that the transport has closed for the reason.
func (cs *clientConns) lost(now placement.Millis, c *clientConn, reason error) {
	cs.log.Debug("client disconnected", "client", c.id, "unanswered", len(c.unanswered), "reason", reason)
	cs.logUnanswered(now, c, reason)
	if errors.Is(reason, transport.ErrMalformedMessage) {
		cs.counters.Invalid++
	}
	if errors.Is(reason, transport.ErrSlowPeer) {
		cs.counters.SlowClients++
		cs.warnSlow(now, c, reason)
	}
	cs.closed(now, c)
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

// closed removes a closed connection and withdraws its unanswered requests, which can no longer be answered.
func (cs *clientConns) closed(now placement.Millis, c *clientConn) {
	delete(cs.conns, c.id)
	cs.requests.cancelAll(now, c.unanswered)
}
