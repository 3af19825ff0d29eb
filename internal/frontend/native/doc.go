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
// Two calls go the other way, both to Frontend: the engine calls engineActions, and connections pass what they close
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
