// Package platform is the allocator's frontend on the users' platform: clients send lines of JSON, nodes are sent
// binary messages, and a discovery service lists the nodes.
//
// A Frontend wires together the types that own its state:
//
//   - clientConns: the connections of clients, and notifications that wait for one;
//   - nodeTable, nodeConns: the nodes, and the connections to them;
//   - workloadTable: the workloads, each with its bind;
//   - subscription, endpointList: the discovery service's stream, and what its events change;
//   - lifecycle: whether the frontend is starting, ready or draining,
//
// and those that act on it: requestHandler for clients' messages, replyHandler for nodes' messages, binder for the
// engine's binds, healthChecker for its health checks of nodes.
//
// Where a workload goes is decided by the engine's placement module alone. Everything belongs to one goroutine. Times
// are milliseconds on a clock that never steps back.
package platform

import (
	"log/slog"
	"time"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// maxWakeInterval is the longest time between two wake-ups, in ms.
	maxWakeInterval = placement.Millis(1000)
	// endGrace is how long, in ms, a node may take to confirm an end or to reply to a health check.
	endGrace = placement.Millis(3000)
	// messageTimeout is how long, in ms, a message may take from its first byte to its last.
	messageTimeout = placement.Millis(1000)
	// maxWriteBuffer bounds the bytes that wait to be written to a peer that does not read.
	maxWriteBuffer = 256 << 10
	// maxQueuedEvents bounds the messages that wait to be handled; while so many wait, connections are not read.
	maxQueuedEvents = 512
)

// Counters count events since the start.
type Counters struct {
	frontend.Counters
	Adopted  uint64 // workloads that ran already when a client named them
	Invalid  uint64 // connections of clients closed for what they sent, or for sending nothing
	Lost     uint64 // workloads that ended with the process of their node
	Released uint64 // workloads whose end their client was notified of
}

// environment is what all parts of a Frontend use. It shares no type with the native frontend's: the counters differ,
// and the exported fields of a shared type would become fields of Frontend.
type environment struct {
	config   *Config
	log      *slog.Logger
	host     *frontend.Host
	net      transport.Network // from Start on
	counters *Counters
}

var _ transport.Handler = (*Frontend)(nil)

// Frontend is an allocator on the platform. It belongs to one goroutine. Its fields are the parts that the package's
// comment lists; it has no state beside them.
type Frontend struct {
	environment
	Counters Counters

	clients      *clientConns
	workloads    *workloadTable
	nodes        *nodeTable
	nodeConns    *nodeConns
	healthChecks *healthChecker
	binder       *binder
	replies      *replyHandler
	requests     *requestHandler
	endpoints    *endpointList
	subscription *subscription
	lifecycle    *lifecycle
}

// unixTime returns the system's clock as Unix time in ms.
func unixTime() placement.Millis { return placement.Millis(float64(time.Now().UnixNano()) / 1e6) }

// Limits returns the limits of the frontend's connections.
func (f *Frontend) Limits() transport.Limits {
	return transport.Limits{
		MaxFrameSize:       codec.MaxMessageSize,
		MaxWriteBuffer:     maxWriteBuffer,
		MaxConnections:     f.config.maxClientConns() + extraClientConns,
		PauseAcceptAtLimit: true,
		MaxQueuedEvents:    maxQueuedEvents,
		MessageTimeout:     messageTimeout,
	}
}

// Start is called once, before any other event.
func (f *Frontend) Start(now placement.Millis, net transport.Network) {
	f.host.Attach(now, net)
	f.net = net
	f.host.Handle(now, func() { f.start(now) })
}

// start applies the events that the configuration holds, starts the engine and connects to the discovery service.
func (f *Frontend) start(now placement.Millis) {
	for i, event := range f.config.KnownEvents {
		if err := f.applyKnown(now, i, event); err != nil {
			f.log.Warn("known event not applied", "error", err)
		}
	}
	f.config.KnownEvents = nil
	f.host.Engine().Start(now)
	f.subscription.connect(now)
	f.host.Schedule(now+readyTimeout, f.lifecycle.markReady)
}

// applyKnown applies the event of that index in the configuration. The first is a snapshot, which counts as cached,
// since it was written before this process started.
func (f *Frontend) applyKnown(now placement.Millis, index int, event []byte) error {
	if index == 0 {
		return f.endpoints.applyCached(now, event)
	}
	return f.endpoints.apply(now, event)
}

// Drain begins a graceful shutdown: health checks fail, and requests are served for drainTimeout, then rejected.
// Running workloads are left running.
func (f *Frontend) Drain(now placement.Millis) { f.lifecycle.drain(now) }

// Drained reports whether, after a Drain, the process may end: every request has its answer, and the releases that wait
// for a connection to their node were sent or have timed out. Notifications that wait for a connection of a client are
// dropped: the allocator that adopts the workload next sends them.
func (f *Frontend) Drained(now placement.Millis) bool {
	if f.workloads.unanswered.Count() > 0 {
		return false
	}
	return f.lifecycle.drainedBy(now, f.nodes.releasesPending())
}

// Reload subscribes to the discovery service at another address.
func (f *Frontend) Reload(now placement.Millis, discoveryAddress string) {
	f.host.Handle(now, func() { f.subscription.move(now, discoveryAddress) })
}

// Wake handles the wake-up.
func (f *Frontend) Wake(now placement.Millis) { f.host.Wake(now) }

// Opened handles a connection that was accepted or has been dialed.
func (f *Frontend) Opened(now placement.Millis, id transport.ConnID) {
	f.host.Handle(now, func() {
		if f.subscription.owns(id) {
			f.subscription.opened(now)
		} else if c := f.nodeConns.get(id); c != nil {
			f.nodeConns.opened(now, c)
		} else if f.clients.get(id) == nil {
			f.clients.opened(now, id)
		}
	})
}

// Received handles a message.
func (f *Frontend) Received(now placement.Millis, id transport.ConnID, message any) {
	f.host.Handle(now, func() {
		switch message := message.(type) {
		case *codec.EventBatch:
			if f.subscription.owns(id) {
				f.subscription.received(now, message)
			}
		case codec.Message:
			f.receivedFromPeer(now, id, message)
		}
	})
}

// receivedFromPeer handles a message of a node or a client.
func (f *Frontend) receivedFromPeer(now placement.Millis, id transport.ConnID, message codec.Message) {
	if c := f.nodeConns.get(id); c != nil {
		c.lastReceived = now
		f.replies.received(now, c, message)
		return
	}
	if c := f.clients.get(id); c != nil {
		c.lastReceived = now
		f.requests.received(now, c, message)
	}
}

// Closed handles the end of a connection, or that it could not be dialed.
func (f *Frontend) Closed(now placement.Millis, id transport.ConnID, reason error) {
	f.host.Handle(now, func() {
		if f.subscription.owns(id) {
			f.subscription.closed(now, reason)
		} else if c := f.nodeConns.get(id); c != nil {
			f.nodeConns.closed(now, c, reason)
		} else if c := f.clients.get(id); c != nil {
			f.clients.closed(now, c)
		}
	})
}
