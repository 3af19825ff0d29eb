// Package native is the allocator's frontend for the project's own protobuf protocol: it translates frames to calls of
// the engine, and the engine's decisions to frames. It implements transport.FrameHandler, so it runs both on sockets
// and in virtual time.
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
// There are two callbacks to Frontend: the engine calls engineActions, and connections calls Frontend.Closed for each
// connection that it closes, as if the peer had closed it. Only the engine's placement module selects nodes.
//
// How a request is handled: Frontend.Received passes the client's frame to requestHandler, which rejects it or adds it
// to the workloadTable and schedules it with the engine. The engine calls engineActions.Bind, and binder
// sends the offer. A bind that must be durable is written to the journal first. replyHandler passes the node's reply to
// the engine, which calls engineActions.Answer, and requestHandler answers the client. Results that an action reports
// to the engine are deferred until the engine is idle.
//
// Times are milliseconds on a clock that never steps back. A Frontend must be used by one goroutine only.
package native
