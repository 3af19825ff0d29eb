package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// clientShare is the share of the file descriptors for clients' connections. By the platform's rules clients use a
	// third; the margin is for those that use more. The rest is for nodes, the discovery service, the listener and the
	// event loops.
	clientShare = 0.4
	// extraClientConns is how many connections beyond their share are accepted, so that the one to evict can be chosen.
	extraClientConns = 8
	// firstMessageTimeout is how long, in ms, a connection may stay open without a message. The platform expects a
	// reply within 3 s.
	firstMessageTimeout = placement.Millis(2000)
	// maxUndelivered bounds the notifications that wait for a connection of a client.
	maxUndelivered = 4096
	// undeliveredTTL is how long, in ms, such a notification waits.
	undeliveredTTL = 10 * endGrace
)

// maxClientConns is how many connections of clients stay open.
func (c *Config) maxClientConns() int { return int(float64(c.Limits.Sockets) * clientShare) }

// clientConn is a connection of a client.
type clientConn struct {
	id           transport.ConnID
	active       bool // a message was received
	placed       int  // workloads placed or adopted for it
	lastReceived placement.Millis
	unanswered   map[placement.WorkloadID]*workload // requests of this connection without a final answer
}

// requestCanceler withdraws the requests of a connection that has ended.
type requestCanceler interface {
	cancelAll(now placement.Millis, unanswered map[placement.WorkloadID]*workload)
}

// clientConns holds the connections of clients, and the notifications that wait for one.
type clientConns struct {
	*environment
	requests    requestCanceler
	conns       map[transport.ConnID]*clientConn
	limit       int
	undelivered []notification
}

// notification is a message that waits for a connection.
type notification struct {
	message   codec.Message
	expiresAt placement.Millis
}

func newClientConns(env *environment) *clientConns {
	return &clientConns{
		environment: env,
		conns:       map[transport.ConnID]*clientConn{},
		limit:       env.config.maxClientConns(),
	}
}

// get returns the connection of that id, or nil.
func (cs *clientConns) get(id transport.ConnID) *clientConn { return cs.conns[id] }

// opened admits a connection. Beyond the limit one is evicted, which may be the new one.
func (cs *clientConns) opened(now placement.Millis, id transport.ConnID) {
	c := &clientConn{
		id:           id,
		lastReceived: now,
		unanswered:   map[placement.WorkloadID]*workload{},
	}
	cs.conns[id] = c
	if len(cs.conns) > cs.limit {
		cs.evictConnection(now, c)
	}
	cs.host.Schedule(now+firstMessageTimeout, func(now placement.Millis) {
		if cs.conns[id] == c && !c.active {
			cs.counters.Invalid++
			cs.disconnect(now, c)
		}
	})
}

// evictConnection closes the first connection in the eviction order among those without an unanswered request. It
// guards against clients that open connections by the thousand and keep them. If all have requests, the latest is
// closed.
func (cs *clientConns) evictConnection(now placement.Millis, latest *clientConn) {
	var first *clientConn
	for _, c := range cs.conns {
		if c != latest && len(c.unanswered) == 0 && (first == nil || c.evictedBefore(first)) {
			first = c
		}
	}
	if first == nil {
		first = latest
	}
	cs.disconnect(now, first)
}

// evictedBefore is the eviction order: connections without any message first, then those with fewer placed workloads,
// then those that were silent for longer.
func (c *clientConn) evictedBefore(other *clientConn) bool {
	switch {
	case c.active != other.active:
		return other.active
	case c.placed != other.placed:
		return c.placed < other.placed
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

// closed handles the end of a connection: its requests are withdrawn, as no answer can reach their client any more.
func (cs *clientConns) closed(now placement.Millis, c *clientConn) {
	delete(cs.conns, c.id)
	cs.requests.cancelAll(now, c.unanswered)
}

// notify sends a message about a workload on the connection of its request. If that has ended, it uses the connection
// with the most placed workloads, which is likely to stay open. Without any, the message waits for a connection.
func (cs *clientConns) notify(w *workload, m codec.Message) {
	if cs.conns[w.client] != nil {
		cs.net.Send(w.client, m)
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

// mostPlaced returns the last connection in the eviction order among those with placed workloads, or nil.
func (cs *clientConns) mostPlaced() *clientConn {
	var last *clientConn
	for _, c := range cs.conns {
		if c.placed > 0 && (last == nil || last.evictedBefore(c)) {
			last = c
		}
	}
	return last
}

// flushUndelivered sends the notifications that wait for a connection, unless this one has ended.
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
