package platform

import (
	"log/slog"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
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
		Periodic:        f.nodeConns.closeIdle,
		Counters:        &f.Counters.Counters,
	})
}

// connectParts creates the parts that use the tables and the host, and sets the tables' references to those parts.
func (f *Frontend) connectParts(env *environment) {
	f.healthChecks = &healthChecker{
		environment: env,
		nodes:       f.nodes,
		conns:       f.nodeConns,
		checks:      frontend.NewHealthChecks(env.host, endGrace),
	}
	f.binder = &binder{
		environment: env,
		workloads:   f.workloads,
		nodes:       f.nodes,
		conns:       f.nodeConns,
	}
	f.replies = &replyHandler{
		environment: env,
		workloads:   f.workloads,
		conns:       f.nodeConns,
		binder:      f.binder,
		checks:      f.healthChecks,
	}
	f.requests = newRequestHandler(env, f.clients, f.workloads, f.lifecycle, f.binder)
	f.endpoints = &endpointList{
		environment: env,
		nodes:       f.nodes,
		conns:       f.nodeConns,
		binder:      f.binder,
		unixTime:    unixTime,
	}
	f.subscription = newSubscription(env, f.endpoints, f.lifecycle)
	f.clients.requests = f.requests
	f.nodeConns.events = f.binder
}
