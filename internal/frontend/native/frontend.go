// Package native is the allocator's frontend on the project's own protobuf protocol: frames become calls of the
// engine, and what the engine decides becomes frames. It is a handler of package transport, so it runs alike on
// sockets and in virtual time.
//
// Tables own state and call no other part; handlers act on the tables and call only parts that are listed before them:
//
//	part              owns                                     calls
//	workloadTable     workloads by id, request, key and bind   -
//	nodeTable         nodes and their sessions; zones, cells   -
//	gangTable         gangs by request, and their states       -
//	catalog           names of groups and node kinds           -
//	durableBinds      registry of durable binds                the journal
//	clientSessions    clients' sessions and request histories  the network
//	connections       open connections and their peers         the network, closeHandler
//	nodeSender        -                                        the network, nodeTable
//	binder            binds that are being persisted           nodeSender, durableBinds
//	healthChecker     health checks in flight                  the network, nodeTable
//	gangAnswers       -                                        clientSessions, gangTable
//	gangExecutor      -                                        engine, gangAnswers, nodeSender
//	gangParts         -                                        gangExecutor, nodeSender
//	gangRecovery      -                                        engine, gangExecutor
//	requestValidator  whether requests are admitted            the tables
//	gangHandler       -                                        gangExecutor, requestValidator
//	requestHandler    -                                        engine, gangHandler, requestValidator
//	acceptor          -                                        connections, clientSessions
//	replyHandler      -                                        engine, binder, gangParts
//	reconciler        -                                        engine, binder, gangParts, gangRecovery
//	nodeSessions      the nodes' sessions, in the nodeTable    engine, replyHandler, reconciler
//	membership        the nodes' entries, in the nodeTable     engine, nodeSessions
//	discovery         revision of the last update              membership
//	status            -                                        the tables
//
// Two arrows go back, both to Frontend: the engine calls engineActions, and connections pass what they close
// themselves to Frontend.Closed, as if the peer had closed it. Where a workload goes is decided by the engine's
// placement module alone.
//
// How a request is handled: Frontend.Received hands the client's frame to requestHandler, which rejects it or gives
// it an id in the workloadTable and schedules it with the engine. The engine calls engineActions.Bind, and binder
// sends the offer, after the journal has it where it must be durable. The node's reply reaches replyHandler, which
// notifies the engine, and the engine calls engineActions.Answer, from which requestHandler answers the client.
// What an action reports to the engine is deferred until the engine is idle.
//
// Times are milliseconds on a clock that never steps back. A Frontend belongs to one goroutine.
package native

import (
	"grebeglade/internal/eventlog"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

var _ transport.FrameHandler = (*Frontend)(nil)

// Frontend is an allocator on the protocol. New makes one, and a transport starts it. It has a field for each part that
// events and the engine's actions go to; see the table above.
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

// New makes an allocator's frontend with its engine.
func New(config Config) *Frontend {
	f := &Frontend{}
	env := newEnvironment(config, &f.Counters)
	f.environment = env
	env.startHost(engineActions{f})

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

// newGangExecutor makes what carries out the decisions of gangs.
func (f *Frontend) newGangExecutor(catalog *catalog, sender *nodeSender) *gangExecutor {
	answers := &gangAnswers{
		environment: f.environment,
		gangs:       f.gangs,
		clients:     f.clients,
		workloads:   f.workloads,
		nodes:       f.nodes,
	}
	return &gangExecutor{
		environment: f.environment,
		gangs:       f.gangs,
		workloads:   f.workloads,
		catalog:     catalog,
		sender:      sender,
		answers:     answers,
	}
}

// addClientHandlers makes what handles the frames of clients.
func (f *Frontend) addClientHandlers(catalog *catalog, durable *durableBinds, executor *gangExecutor) {
	f.validator = &requestValidator{
		workloads:    f.workloads,
		gangs:        f.gangs,
		catalog:      catalog,
		maxWorkloads: f.config.MaxWorkloads,
	}
	f.acceptor = &acceptor{
		environment: f.environment,
		connections: f.connections,
		clients:     f.clients,
		workloads:   f.workloads,
	}
	f.requests = &requestHandler{
		environment: f.environment,
		connections: f.connections,
		clients:     f.clients,
		workloads:   f.workloads,
		nodes:       f.nodes,
		durable:     durable,
		validator:   f.validator,
		catalog:     catalog,
		gangs: &gangHandler{
			environment: f.environment,
			clients:     f.clients,
			durable:     durable,
			validator:   f.validator,
			catalog:     catalog,
			gangs:       f.gangs,
			executor:    executor,
		},
	}
}

// addNodeHandlers makes what handles the frames of nodes and of the discovery service.
func (f *Frontend) addNodeHandlers(catalog *catalog, sender *nodeSender, executor *gangExecutor) {
	f.nodeSessions = &nodeSessions{
		environment: f.environment,
		nodes:       f.nodes,
		connections: f.connections,
		replies: &replyHandler{
			environment: f.environment,
			workloads:   f.workloads,
			binder:      f.binder,
			gangParts:   f.gangParts,
		},
		healthChecks: f.healthChecks,
		reconciler:   f.newReconciler(catalog, sender, executor),
	}
	f.discovery = &discovery{
		environment: f.environment,
		address:     f.config.DiscoveryAddress,
		connections: f.connections,
		membership: &membership{
			environment: f.environment,
			nodes:       f.nodes,
			connections: f.connections,
			catalog:     catalog,
			sessions:    f.nodeSessions,
		},
	}
}

// newReconciler makes what compares the workloads on a node with those that the engine holds.
func (f *Frontend) newReconciler(catalog *catalog, sender *nodeSender, executor *gangExecutor) *reconciler {
	return &reconciler{
		environment: f.environment,
		workloads:   f.workloads,
		clients:     f.clients,
		catalog:     catalog,
		binder:      f.binder,
		sender:      sender,
		gangParts:   f.gangParts,
		recovery: &gangRecovery{
			environment: f.environment,
			workloads:   f.workloads,
			catalog:     catalog,
			gangs:       f.gangs,
			executor:    executor,
		},
	}
}

// FlushTrace passes what was recorded since the last call to Config.Trace.
func (f *Frontend) FlushTrace() { f.recorder.flush() }

// EventLog returns what happened, by revision.
func (f *Frontend) EventLog() *eventlog.Log { return f.eventLog }

// Pending returns the number of requests that have no final answer, each gang counted as one.
func (f *Frontend) Pending() int { return f.workloads.pending + f.gangs.unanswered }

// WorkloadCount returns the number of workloads that are pending or placed.
func (f *Frontend) WorkloadCount() int { return f.workloads.count() }

// Drain has every further request rejected. What is pending is still answered; Pending returns how much is left.
func (f *Frontend) Drain() { f.validator.draining = true }

// Start begins to work on a network. It is called once, before any other event.
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
		switch peer, open := f.connections.get(conn); {
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
		case peer.role == pb.Role_ROLE_UNSPECIFIED:
			f.acceptor.received(now, conn, peer, frame)
		case peer.client != nil:
			f.requests.received(now, peer.client, frame)
		case peer.role == pb.Role_OPERATOR && frame.GetQuery() != nil:
			f.status.received(now, conn, frame.GetQuery())
		}
	})
}

// Closed handles the end of a connection, or that it could not be dialed.
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
