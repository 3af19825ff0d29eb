// Package native is the allocator's frontend on the project's own protobuf protocol: frames become calls of the engine, and
// what the engine decides becomes frames. It is a handler of package transport, so it runs alike on sockets and in virtual
// time.
//
// Each of its parts owns its state: the client sessions, the workloads by id, request and idempotency key, the binds on
// their way to the nodes and their durability, the nodes and the connections to them, the subscription to the discovery
// service, and the gangs. Frontend puts them together and hands each event to the part that it concerns. Where a workload
// goes is decided by the engine's placement module alone.
//
// A request takes this way: Frontend.Received hands the client's frame to requests, which rejects it or gives it an id in
// the workload table and schedules it with the engine. The engine calls actions.Bind, and binds sends the offer, after the
// journal has it where it must be durable. The node's answer reaches nodeSessions, which notifies the engine, and the
// engine calls actions.Answer, from which requests answers the client. What an action reports to the engine is deferred
// until the engine is idle.
//
// Times are milliseconds on a clock that never steps back. A Frontend belongs to one goroutine.
package native

import (
	"cmp"
	"fmt"
	"log/slog"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/internal/frontend"
	"grebeglade/internal/replay"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace/tracepb"
)

const (
	defaultEventLogSize = 1 << 14
	// maxWakeInterval is the longest time between two wake-ups, in ms: a process that is not woken cannot detect that it
	// was stopped.
	maxWakeInterval = placement.Millis(20)
)

// Frontend is an allocator on the protocol. New makes one, and a transport starts it.
type Frontend struct {
	Counters    Counters
	core        *core
	connections *connections
	clients     *clientSessions
	requests    *requests
	workloads   *workloadTable
	binds       *binds
	nodes       *nodeSessions
	discovery   *discovery
	gangs       *gangs
	status      *status
}

// New makes an allocator's frontend with its engine.
func New(c Config) *Frontend {
	f := &Frontend{}
	shared := newCore(c, &f.Counters)
	f.core = shared
	f.workloads = newWorkloadTable(c)
	f.clients = &clientSessions{core: shared, byName: map[string]*clientSession{}}
	f.connections = &connections{byID: map[transport.ConnID]*connection{}, log: shared.log}
	f.connections.closed = func(c transport.ConnID, reason error) { f.Closed(shared.Now(), c, reason) }
	f.wire(newCatalog(c), newNodeTable(c), newDurableBinds(c))
	shared.Host = newHost(c, shared, &actions{
		core: shared, workloads: f.workloads, clients: f.clients, requests: f.requests, binds: f.binds, nodes: f.nodes,
		discovery: f.discovery, gangs: f.gangs,
	})
	f.nodes.healthChecks = frontend.NewHealthChecks(shared.Host, healthCheckTimeout)
	return f
}

// wire makes the parts that work on the tables, and connects them with each other.
func (f *Frontend) wire(catalog *catalog, nodes *nodeTable, durable *durableBinds) {
	f.binds = &binds{
		core: f.core, workloads: f.workloads, nodes: nodes, durable: durable, persisting: map[placement.WorkloadID]*workload{},
	}
	f.gangs = &gangs{
		core: f.core, workloads: f.workloads, clients: f.clients, nodes: nodes, binds: f.binds, catalog: catalog,
		byRequest: map[requestID]*gangRequest{},
	}
	f.requests = &requests{
		core: f.core, connections: f.connections, clients: f.clients, workloads: f.workloads, nodes: nodes, durable: durable,
		gangs: f.gangs, catalog: catalog,
	}
	f.requests.admission = &gangAdmission{
		core: f.core, requests: f.requests, clients: f.clients, workloads: f.workloads, durable: durable, gangs: f.gangs,
	}
	f.nodes = &nodeSessions{
		core: f.core, table: nodes, connections: f.connections, workloads: f.workloads, binds: f.binds, gangs: f.gangs,
	}
	f.nodes.reconciler = &reconciler{
		core: f.core, workloads: f.workloads, binds: f.binds, clients: f.clients, gangs: f.gangs, catalog: catalog,
		recovery: &gangRecovery{core: f.core, workloads: f.workloads, gangs: f.gangs},
	}
	f.discovery = &discovery{
		core: f.core, address: f.core.config.DiscoveryAddress, connections: f.connections,
		membership: &membership{
			core: f.core, table: nodes, sessions: f.nodes, connections: f.connections, catalog: catalog,
		},
	}
	f.status = &status{core: f.core, workloads: f.workloads, nodes: nodes, gangs: f.gangs}
}

func newCore(c Config, counters *Counters) *core {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return &core{config: c, log: c.Log, counters: counters, eventLog: eventlog.New(cmp.Or(c.EventLogSize, defaultEventLogSize))}
}

// newHost makes the engine and its host. With a trace, the engine's placement module is one that records its calls.
func newHost(c Config, shared *core, a allocator.Actions) *frontend.Host {
	settings := WithSpreadVariants(c.Settings)
	options := allocator.Options{EnforceTimeouts: true, Log: shared.eventLog}
	if c.Trace != nil {
		recorder := replay.NewRecorder(replay.RecorderConfig{
			Source:   &tracepb.Source{Allocator: c.Name, Incarnation: c.Incarnation, WallMs: c.WallClockOffset},
			Settings: settings, Seed: c.Seed, GroupNames: groupNamesWithVariants(c.GroupNames), KindNames: c.KindNames, ZoneNames: []string{c.Zone},
		}, c.Trace)
		shared.recorder.recorder = recorder
		options.Module = recorder
	}
	return frontend.NewHost(frontend.Config{
		Settings: settings, Seed: c.Seed, Engine: options, Actions: a, MaxWakeInterval: maxWakeInterval,
		Counters: &shared.counters.Counters,
	})
}

// FlushTrace hands over what the trace has not been handed yet.
func (f *Frontend) FlushTrace() { f.core.recorder.flush() }

// EventLog returns what happened, by revision.
func (f *Frontend) EventLog() *eventlog.Log { return f.core.eventLog }

// Pending returns the number of requests that have no final answer, each gang counted as one.
func (f *Frontend) Pending() int { return f.workloads.pending + f.gangs.unanswered }

// WorkloadCount returns the number of workloads that are pending or placed.
func (f *Frontend) WorkloadCount() int { return f.workloads.count() }

// Drain has every further request rejected. What is pending is still answered; Pending returns how much is left.
func (f *Frontend) Drain() { f.requests.draining = true }

// Start begins to work on a network. It is called once, before any other event.
func (f *Frontend) Start(now placement.Millis, network transport.FrameNetwork) {
	f.core.network, f.connections.network = network, network
	f.core.Attach(now, network)
	f.core.Engine().Start(now)
	f.discovery.dial(now)
	f.core.Flush(now)
}

// Wake handles a wake-up.
func (f *Frontend) Wake(now placement.Millis) { f.core.Wake(now) }

// Opened handles a connection that was accepted, or that was dialled and is open now.
func (f *Frontend) Opened(now placement.Millis, c transport.ConnID) {
	f.core.Begin(now)
	switch conn, open := f.connections.get(c); {
	case f.discovery.owns(c):
		f.core.network.Send(c, f.core.hello())
	case !open:
		f.accepted(now, c)
	case conn.node != nil:
		f.core.network.Send(c, f.core.hello())
	}
	f.core.Flush(now)
}

// accepted handles a connection from a peer that has not sent its hello.
func (f *Frontend) accepted(now placement.Millis, c transport.ConnID) {
	f.connections.add(c, &connection{})
	f.core.Schedule(now+helloTimeout, func(placement.Millis) {
		if f.connections.awaitsHello(c) {
			f.connections.refuse(c, errHelloTimeout)
		}
	})
}

// Received handles a frame. Frames of connections that have ended are ignored.
func (f *Frontend) Received(now placement.Millis, c transport.ConnID, frame *pb.Frame) {
	f.core.Begin(now)
	conn, open := f.connections.get(c)
	switch {
	case f.discovery.owns(c):
		f.discovery.received(now, frame)
	case !open:
	case conn.node != nil:
		f.nodes.received(now, c, conn.node, frame)
	case conn.role == pb.Role_ROLE_UNSPECIFIED:
		f.handshake(now, c, conn, frame)
	case conn.client != nil:
		f.requests.received(now, conn.client, frame)
	case conn.role == pb.Role_OPERATOR && frame.GetQuery() != nil:
		f.core.network.Send(c, &pb.Frame{Body: &pb.Frame_State{State: f.status.answer(now, frame.GetQuery())}})
	}
	f.core.Flush(now)
}

// handshake handles the first frame of an accepted connection: the hello of a client or an operator, or the connection is
// refused.
func (f *Frontend) handshake(now placement.Millis, c transport.ConnID, conn *connection, frame *pb.Frame) {
	h, err := helloOf(frame, func(h *pb.Hello) error {
		if h.Role != pb.Role_CLIENT && h.Role != pb.Role_OPERATOR {
			return fmt.Errorf("an allocator serves owners and operators, not the role %s", h.Role)
		}
		return nil
	})
	switch {
	case err != nil:
		f.connections.refuse(c, err)
	case h.Role == pb.Role_CLIENT:
		f.clientConnected(now, c, conn, h)
	default:
		conn.role = h.Role
		f.core.network.Send(c, f.core.hello())
	}
}

// clientConnected begins a client's session, in place of an earlier one under the same name.
func (f *Frontend) clientConnected(now placement.Millis, c transport.ConnID, conn *connection, h *pb.Hello) {
	if earlier, ok := f.clients.connected(h.Name); ok {
		f.connections.refuse(earlier.conn, fmt.Errorf("another connection came in under the name %s", h.Name))
	}
	conn.role, conn.client = h.Role, f.clients.open(c, h.Name)
	conn.client.transit.delay(now, h.SentMs)
	f.core.network.Send(c, f.core.hello(f.requests.running(now, h.Name)...))
}

// Closed handles the end of a connection, or that dialling it failed.
func (f *Frontend) Closed(now placement.Millis, c transport.ConnID, reason error) {
	f.core.Begin(now)
	conn, open := f.connections.get(c)
	f.connections.remove(c)
	switch {
	case f.discovery.owns(c):
		f.discovery.closed(now, reason)
	case !open:
	case conn.node != nil:
		f.nodes.closed(now, c, conn.node, reason)
	case conn.client != nil:
		f.clients.close(conn.client)
		f.requests.clientDisconnected(now, conn.client.name)
	}
	f.core.Flush(now)
}
