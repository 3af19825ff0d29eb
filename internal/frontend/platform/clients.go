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
)

// maxClientConns returns the maximum number of client connections that are kept open.
func (c *Config) maxClientConns() int { return int(float64(c.Limits.Sockets) * clientSocketShare) }

// clientConn is a client connection.
type clientConn struct {
	id           transport.ConnID
	active       bool               // a message was received
	accepted     bool               // a message had an effect or gets a reply
	endReason    error              // why the connection ends once its requests are answered, or nil
	queued       bool               // messages waited to be handled when evictConnection ran last
	arriving     bool               // bytes were received and not handled, when evictConnection ran last
	proof        clientProof        // what shows that the peer is a client whose workloads may end
	placed       int                // workloads placed or adopted for requests on this connection
	confirmed    int                // those of placed that a node has confirmed or reported on
	notified     []sentNotification // notifications of the last crossingTime before the latest one
	openedAt     placement.Millis
	lastReceived placement.Millis                   // time of the last message, or of opening if there is none
	unanswered   map[placement.WorkloadID]*workload // requests on this connection without a final answer
}

// clientProof states what was received on a connection that shows whether its peer takes notifications. A health check
// or an invalid message shows nothing: load balancers send health checks too.
type clientProof uint8

const (
	unproven   clientProof = iota
	handedOver             // a workload was handed over, which may not exist
	proven                 // a valid request, or a termination of a workload that exists
)

// prove records what was received on the connection.
func (c *clientConn) prove(proof clientProof) { c.proof = max(c.proof, proof) }

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
	cs.notifyAgain(now, c)
}

// closed removes a closed connection and withdraws its unanswered requests, which can no longer be answered.
func (cs *clientConns) closed(now placement.Millis, c *clientConn) {
	delete(cs.conns, c.id)
	cs.requests.cancelAll(now, c.unanswered)
}
