package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// readyTimeout is how long after the start, in ms, health checks wait for the discovery service.
	readyTimeout = placement.Millis(500)
	// drainTimeout is how long, in ms, requests are served after a shutdown has begun.
	drainTimeout = placement.Millis(750)
	// releaseTimeout is how long after that, in ms, the shutdown waits for pending releases. The platform ends a
	// process 3.7 s after SIGTERM.
	releaseTimeout = placement.Millis(1000)
	// maxPendingChecks bounds the health checks of clients that wait for readiness.
	maxPendingChecks = 64
)

// lifecycleState is the state of a frontend between its start and its end. It only goes forward, and may skip ready.
type lifecycleState uint8

const (
	lifecycleStarting lifecycleState = iota // health checks wait for the events published before the start
	lifecycleReady
	lifecycleDraining // health checks fail; requests are served, and after a while rejected
)

// lifecycle is the state of a frontend, and the health checks that wait until it is ready.
type lifecycle struct {
	*environment
	state         lifecycleState
	drainingSince placement.Millis // if draining
	pendingChecks []clientHealthCheck
}

// clientHealthCheck is a health check that a client has requested and that has no reply yet.
type clientHealthCheck struct {
	client transport.ConnID
	tag    codec.Tag // of the check
}

func newLifecycle(env *environment) *lifecycle { return &lifecycle{environment: env} }

// checkHealth replies to a client's health check: at once, or once the frontend is ready.
func (l *lifecycle) checkHealth(client transport.ConnID, tag codec.Tag) {
	check := clientHealthCheck{client: client, tag: tag}
	if l.state == lifecycleStarting && len(l.pendingChecks) < maxPendingChecks {
		l.pendingChecks = append(l.pendingChecks, check)
		return
	}
	l.reply(check)
}

// reply replies to a health check. It passes unless the frontend is draining.
func (l *lifecycle) reply(check clientHealthCheck) {
	l.net.Send(check.client, codec.NewHealthReply(check.tag, l.state != lifecycleDraining))
}

// markReady replies to the health checks that wait for the discovery service. They wait since the configuration's list
// may be out of date: no workload may be placed by it before the events that were published since are applied.
func (l *lifecycle) markReady(placement.Millis) {
	if l.state == lifecycleStarting {
		l.state = lifecycleReady
	}
	checks := l.pendingChecks
	l.pendingChecks = nil
	for _, check := range checks {
		l.reply(check)
	}
}

// drain begins the shutdown. Further calls change nothing.
func (l *lifecycle) drain(now placement.Millis) {
	if l.state != lifecycleDraining {
		l.state = lifecycleDraining
		l.drainingSince = now
	}
}

// rejecting reports whether further requests are rejected.
func (l *lifecycle) rejecting(now placement.Millis) bool {
	return l.state == lifecycleDraining && now-l.drainingSince > drainTimeout
}

// drainedBy reports whether the shutdown may end at the given time, if all requests have their answers.
func (l *lifecycle) drainedBy(now placement.Millis, releasesPending bool) bool {
	if !l.rejecting(now) {
		return false
	}
	return !releasesPending || now-l.drainingSince > drainTimeout+releaseTimeout
}
