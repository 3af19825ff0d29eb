package platform

import (
	"log/slog"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
	"grebeglade/placement"
)

// New returns a frontend. The transport must serve it with its Limits. If log is nil, log messages are discarded.
func New(config *Config, log *slog.Logger) *Frontend {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	f := &Frontend{environment: environment{config: config, log: log}}
	env := &f.environment
	env.counters = &f.Counters
	f.workloads = newWorkloadTable(config.Limits.MemoryMB)
	f.clients = newClientConns(env)
	f.nodes = newNodeTable()
	f.nodeConns = newNodeConns(env, f.nodes)
	f.lifecycle = newLifecycle(env)
	f.status = &statusLog{frontend: f}
	env.host = f.newHost()
	f.connectParts(env)
	return f
}

// newHost returns a host with a new engine.
func (f *Frontend) newHost() *frontend.Host {
	return frontend.NewHost(frontend.Config{
		Settings:        f.config.Settings.Settings,
		Seed:            f.config.Seed,
		Engine:          allocator.Options{EnforceTimeouts: true},
		Actions:         engineActions{f},
		MaxWakeInterval: maxWakeInterval,
		Periodic:        f.runPeriodic,
		Counters:        &f.Counters.Counters,
	})
}

// runPeriodic performs the work that no event starts.
func (f *Frontend) runPeriodic(now placement.Millis) {
	f.nodeConns.closeIdle(now)
	f.nodeConns.removeUnused(now)
	f.adoptions.endUnlisted(now)
	f.clients.dropExpired(now)
	f.status.logIfDue(now)
}

// connectParts creates the parts that use the tables and the host, and sets the tables' references to those parts.
func (f *Frontend) connectParts(env *environment) {
	f.healthChecks = newHealthChecker(env, f.nodes, f.nodeConns)
	f.addBinder(env)
	f.addMessageHandlers(env)
	f.endpoints = &endpointList{
		environment: env,
		nodes:       f.nodes,
		conns:       f.nodeConns,
		binder:      f.binder,
		clock:       newWallClock(),
	}
	f.subscription = newSubscription(env, f.endpoints, f.lifecycle)
	f.adoptions.subscription = f.subscription
	f.clients.requests = f.requests
	f.nodeConns.events = f.binder
}

// addBinder creates the parts that place and adopt workloads, which refer to each other.
func (f *Frontend) addBinder(env *environment) {
	f.binder = &binder{
		environment: env,
		workloads:   f.workloads,
		conns:       f.nodeConns,
	}
	f.adoptions = &adoptions{
		environment: env,
		clients:     f.clients,
		workloads:   f.workloads,
		handovers:   newHandoverTable(env.config.Limits.MemoryMB),
		nodes:       f.nodes,
		conns:       f.nodeConns,
		binder:      f.binder,
		earlyEnds:   newEarlyEnds(),
		forgotten:   newForgottenHandovers(),
	}
	f.binder.adoptions = f.adoptions
}

// addMessageHandlers creates the handlers of messages from nodes and clients.
func (f *Frontend) addMessageHandlers(env *environment) {
	f.replies = &replyHandler{
		environment: env,
		workloads:   f.workloads,
		conns:       f.nodeConns,
		binder:      f.binder,
		adoptions:   f.adoptions,
		checks:      f.healthChecks,
	}
	f.requests = newRequestHandler(env, f.clients, f.workloads, f.lifecycle, f.adoptions)
}
