package native

import (
	"grebeglade/internal/eventlog"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

var _ transport.FrameHandler = (*Frontend)(nil)

// Frontend is an allocator that serves the native protocol. New creates it, and a transport starts it. It has a field
// for each part that handles events or the engine's actions; see the package comment.
type Frontend struct {
	*environment
	Counters Counters

	clients      *clientSessions
	workloads    *workloadTable
	gangs        *gangTable
	nodes        *nodeTable
	connections  *connections
	validator    *requestValidator
	acceptor     *acceptor
	requests     *requestHandler
	binder       *binder
	gangParts    *gangParts
	healthChecks *healthChecker
	nodeSessions *nodeSessions
	discovery    *discovery
	status       *status
}

// New returns an allocator's frontend with its engine.
func New(config Config) *Frontend {
	f := &Frontend{}
	env := newEnvironment(config, &f.Counters)
	f.environment = env
	env.host = env.newHost(engineActions{f})

	f.workloads = newWorkloadTable(config)
	f.gangs = newGangTable()
	f.nodes = newNodeTable(config)
	f.clients = newClientSessions(env)
	f.connections = newConnections(env, f)
	f.status = &status{
		environment: env,
		workloads:   f.workloads,
		nodes:       f.nodes,
		gangs:       f.gangs,
	}

	catalog := newCatalog(config)
	durable := newDurableBinds(config)
	sender := &nodeSender{environment: env, nodes: f.nodes}
	f.binder = newBinder(env, f.workloads, f.nodes, sender, durable)
	f.healthChecks = newHealthChecker(env, f.nodes)
	executor := f.newGangExecutor(catalog, sender)
	f.gangParts = &gangParts{
		environment: env,
		workloads:   f.workloads,
		catalog:     catalog,
		sender:      sender,
		executor:    executor,
	}
	f.addClientHandlers(catalog, durable, executor)
	f.addNodeHandlers(catalog, sender, executor)
	return f
}

// FlushTrace passes the buffered trace records to Config.Trace.
func (f *Frontend) FlushTrace() { f.recorder.flush() }

// EventLog returns the log of engine and frontend events, ordered by revision.
func (f *Frontend) EventLog() *eventlog.Log { return f.eventLog }

// Pending returns the number of requests that have no final answer, each gang counted as one.
func (f *Frontend) Pending() int { return f.workloads.unanswered.Count() + f.gangs.unanswered.Count() }

// WorkloadCount returns the number of workloads that are pending or placed.
func (f *Frontend) WorkloadCount() int { return f.workloads.count() }

// Drain makes the frontend reject every further request. Pending requests are still answered; Pending returns their
// number.
func (f *Frontend) Drain() { f.validator.draining = true }

// Start starts the frontend on a network: it starts the engine and dials the discovery service. It must be called once,
// before any other event.
func (f *Frontend) Start(now placement.Millis, network transport.FrameNetwork) {
	f.network = network
	f.host.Attach(now, network)
	f.host.Handle(now, func() {
		f.host.Engine().Start(now)
		f.discovery.dial(now)
	})
}

// Wake handles a wake-up.
func (f *Frontend) Wake(now placement.Millis) { f.host.Wake(now) }

// Opened handles a connection that was accepted, or that was dialed and is open now.
func (f *Frontend) Opened(now placement.Millis, conn transport.ConnID) {
	f.host.Handle(now, func() {
		peer, open := f.connections.get(conn)
		switch {
		case f.discovery.owns(conn):
			f.network.Send(conn, f.hello())
		case !open:
			f.acceptor.opened(now, conn)
		case peer.node != nil:
			f.network.Send(conn, f.hello())
		}
	})
}

// Received handles a frame. Frames of connections that have ended are ignored.
func (f *Frontend) Received(now placement.Millis, conn transport.ConnID, frame *pb.Frame) {
	f.host.Handle(now, func() {
		peer, open := f.connections.get(conn)
		switch {
		case f.discovery.owns(conn):
			f.discovery.received(now, frame)
		case !open:
		case peer.node != nil:
			f.nodeSessions.received(now, conn, peer.node, frame)
		case peer.awaitsHello():
			f.acceptor.received(now, conn, peer, frame)
		case peer.client != nil:
			f.requests.received(now, peer.client, frame)
		case peer.role == pb.Role_OPERATOR && frame.GetQuery() != nil:
			f.status.received(now, conn, frame.GetQuery())
		}
	})
}

// KeepStalled implements transport.StallHandler: a client's connection stays open until its requests are answered.
func (f *Frontend) KeepStalled(conn transport.ConnID) bool {
	peer, open := f.connections.get(conn)
	return open && peer.client != nil && f.requests.hasUnanswered(peer.client.name)
}

// Closed handles the end of a connection or a failed dial.
func (f *Frontend) Closed(now placement.Millis, conn transport.ConnID, reason error) {
	f.host.Handle(now, func() {
		peer, open := f.connections.get(conn)
		f.connections.remove(conn)
		switch {
		case f.discovery.owns(conn):
			f.discovery.closed(now, reason)
		case !open:
		case peer.node != nil:
			f.nodeSessions.closed(now, conn, peer.node, reason)
		case peer.client != nil:
			f.clients.close(peer.client)
			f.requests.clientDisconnected(now, peer.client.name)
		}
	})
}
