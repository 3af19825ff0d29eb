// Package platform is the allocator's frontend on the users' platform. Clients exchange lines of JSON with it, nodes
// binary messages, and a discovery service publishes the list of nodes.
//
// A Frontend consists of types that own state:
//
//   - clientConns: the client connections, and the notifications that wait for one;
//   - nodeTable, nodeConns: the nodes, and the connections to them;
//   - workloadTable: the workloads, each with its last bind;
//   - handoverTable: running workloads that clients have handed over, in compact form;
//   - subscription, endpointList: the connection to the discovery service, and the application of its events;
//   - lifecycle: whether the frontend is starting, ready or draining,
//
// and of types that act on that state: requestHandler for messages from clients, replyHandler for messages from nodes,
// binder for the engine's binds, adoptions for running workloads that clients hand over, healthChecker for the engine's
// health checks.
//
// Placement decisions are made only by the engine's placement module. All types of the package must be used from one
// goroutine. Times are in milliseconds on a monotonic clock.
package platform

import (
	"errors"
	"log/slog"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// maxWakeInterval, in ms, is the longest time between two wake-ups.
	maxWakeInterval = placement.Millis(1000)
	// endGrace, in ms, is the timeout for a node's confirmation of a release and for its reply to a health check.
	endGrace = placement.Millis(3000)
	// messageTimeout, in ms, is how long a message that has begun may bring no progress; see transport.Limits.
	messageTimeout = placement.Millis(1000)
	// maxWriteBuffer is the number of bytes that may wait for one peer; see transport.Limits.
	maxWriteBuffer = 256 << 10
	// writeBufferShare is the share of the memory limit that bytes which wait for all clients, or for all nodes, may
	// use.
	writeBufferShare = 0.125
	// maxReadSize is the number of bytes that one client may have read in its turn; see transport.Limits. Most requests
	// are smaller.
	maxReadSize = 4 << 10
	// maxQueuedEvents is the approximate number of queued events above which connections are not read.
	maxQueuedEvents = 512
)

// Counters count events since the start of the frontend.
type Counters struct {
	frontend.Counters
	Adopted  uint64 // running workloads adopted at a client's request
	Invalid  uint64 // client connections closed because of an invalid message or no message
	Lost     uint64 // running workloads that ended because their node's process ended
	Released uint64 // notifications to clients that a workload ended

	QueuedNotifications   uint64 // notifications that had to wait for a client connection
	RepeatedNotifications uint64 // notifications that were sent again, since their connection ended just after
	DroppedNotifications  uint64 // notifications that were not delivered: too many or too long without a client connection

	EvictedHandovers uint64 // handovers that were ended since there were too many

	LivenessChecks  uint64 // connections opened to check that a node which runs workloads can be reached
	SilentNodes     uint64 // nodes whose workloads ended because their machine was silent
	ReleasedCopies  uint64 // workloads that a node confirmed although their bind was given up
	DroppedReleases uint64 // releases that were not sent to a node since too many wait

	SlowClients uint64 // client connections closed because the client did not read
	SlowNodes   uint64 // node connections closed because the node did not read

	SkippedEvents   uint64 // events of the discovery service that could not be applied, or were too large
	StalledMessages uint64 // connections closed because a message that had begun did not keep arriving
}

// environment holds what all parts of a Frontend use. It is not shared with the native frontend, which has other
// counters; the exported fields of a shared type would also become fields of Frontend.
type environment struct {
	config   *Config
	log      *slog.Logger
	host     *frontend.Host
	net      transport.Network // nil before Start
	counters *Counters
}

// arriving reports whether something was received on a connection and not handled yet: a part of a message, or messages
// that are queued.
func (e *environment) arriving(c transport.ConnID) bool {
	return transport.Receiving(e.net, c) || transport.Queued(e.net, c)
}

var (
	_ transport.Handler      = (*Frontend)(nil)
	_ transport.StallHandler = (*Frontend)(nil)
)

// Frontend is an allocator on the platform. It must be used from one goroutine. All of its state is in its parts, which
// the package comment lists.
type Frontend struct {
	environment
	Counters Counters

	clients      *clientConns
	workloads    *workloadTable
	nodes        *nodeTable
	nodeConns    *nodeConns
	healthChecks *healthChecker
	binder       *binder
	adoptions    *adoptions
	replies      *replyHandler
	requests     *requestHandler
	endpoints    *endpointList
	subscription *subscription
	lifecycle    *lifecycle
	status       *statusLog
}

// Limits returns the limits that the transport has to apply to the frontend's connections.
func (f *Frontend) Limits() transport.Limits {
	return transport.Limits{
		MaxFrameSize:        codec.MaxMessageSize,
		MaxWriteBuffer:      maxWriteBuffer,
		MaxTotalWriteBuffer: int(writeBufferShare * float64(f.config.Limits.MemoryMB<<20)),
		MaxConnections:      f.config.maxClientConns() + extraClientConns,
		PauseAcceptAtLimit:  true,
		MaxQueuedEvents:     maxQueuedEvents,
		MaxReadSize:         maxReadSize,
		MessageTimeout:      messageTimeout,
	}
}

// Start implements transport.Handler. It must be called once, before any other event.
func (f *Frontend) Start(now placement.Millis, net transport.Network) {
	f.host.Attach(now, net)
	f.net = net
	f.host.Handle(now, func() { f.start(now) })
}

// start applies the events of the configuration, starts the engine and connects to the discovery service.
func (f *Frontend) start(now placement.Millis) {
	for i, event := range f.config.KnownEvents {
		if err := f.applyConfigured(now, i, event); err != nil {
			f.log.Warn("known event not applied", "error", err)
		}
	}
	f.config.KnownEvents = nil
	f.host.Engine().Start(now)
	f.subscription.connect(now)
	f.host.Schedule(now+readyTimeout, f.lifecycle.markReady)
}

// applyConfigured applies the configuration's event with the given index. The first event is applied as a cached
// snapshot, since it was written before this process started.
func (f *Frontend) applyConfigured(now placement.Millis, index int, event []byte) error {
	if index == 0 {
		return f.endpoints.applyCached(now, event)
	}
	return f.endpoints.apply(now, event)
}

// Drain begins a graceful shutdown: clients' health checks fail, and new requests are accepted for drainTimeout, then
// rejected. Running workloads are not stopped.
func (f *Frontend) Drain(now placement.Millis) { f.lifecycle.drain(now) }

// Drained reports whether the process may exit after Drain: drainTimeout has passed, every request is answered, and the
// releases that wait for a connection to their node were sent or timed out. Queued notifications to clients are
// dropped: the allocator that adopts the workload next sends them.
func (f *Frontend) Drained(now placement.Millis) bool {
	if f.workloads.unanswered.Count() > 0 {
		return false
	}
	return f.lifecycle.drainedBy(now, f.nodes.releasesPending())
}

// Reload continues the subscription to the discovery service at another address.
func (f *Frontend) Reload(now placement.Millis, discoveryAddress string) {
	f.host.Handle(now, func() { f.subscription.move(now, discoveryAddress) })
}

// Wake implements transport.Handler: it handles a requested wake-up.
func (f *Frontend) Wake(now placement.Millis) { f.host.Wake(now) }

// Opened implements transport.Handler: it handles an accepted connection or a successful dial.
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

// Received implements transport.Handler: it handles a message. Messages on unknown connections are ignored.
func (f *Frontend) Received(now placement.Millis, id transport.ConnID, message any) {
	f.host.Handle(now, func() {
		switch message := message.(type) {
		case *codec.EventBatch:
			if f.subscription.owns(id) {
				f.subscription.received(now, id, message)
			}
		case codec.Message:
			f.receivedFromPeer(now, id, message)
		}
	})
}

// receivedFromPeer handles a message from a node or a client.
func (f *Frontend) receivedFromPeer(now placement.Millis, id transport.ConnID, message codec.Message) {
	if c := f.nodeConns.get(id); c != nil {
		c.lastReceived = now
		c.node.markResponded(now)
		f.nodeConns.heard(now, c.node)
		f.replies.received(now, c, message)
		return
	}
	if c := f.clients.get(id); c != nil {
		c.lastReceived = now
		f.requests.received(now, c, message)
	}
}

// KeepStalled implements transport.StallHandler: a client's connection stays open until its requests are answered.
func (f *Frontend) KeepStalled(id transport.ConnID) bool {
	c := f.clients.get(id)
	return c != nil && len(c.unanswered) > 0
}

// Closed implements transport.Handler: it handles the end of a connection or a failed dial.
func (f *Frontend) Closed(now placement.Millis, id transport.ConnID, reason error) {
	f.host.Handle(now, func() {
		if errors.Is(reason, transport.ErrMessageTimeout) {
			f.Counters.StalledMessages++
		}
		if f.subscription.owns(id) {
			f.subscription.closed(now, id, reason)
		} else if c := f.nodeConns.get(id); c != nil {
			f.nodeConns.lost(now, c, reason)
		} else if c := f.clients.get(id); c != nil {
			f.clients.lost(now, c, reason)
		}
	})
}
