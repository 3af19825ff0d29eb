package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// readyTimeout, in ms after the start, is when the frontend becomes ready without a response of the discovery
	// service.
	readyTimeout = placement.Millis(500)
	// drainTimeout, in ms, is how long new requests are accepted after the beginning of a drain. The platform forgives
	// those that a kill finds unanswered if they came within 0.7 s of SIGTERM.
	drainTimeout = placement.Millis(680)
	// releaseTimeout, in ms after drainTimeout, is how long a drain waits for pending releases. The platform kills a
	// process 3.7 s after SIGTERM.
	releaseTimeout = placement.Millis(1000)
	// maxPendingChecks is the maximum number of health checks of one client connection that wait until the frontend is
	// ready. That is readyTimeout after the start at the latest, so that the total is bounded too.
	maxPendingChecks = 64
)

// lifecycleState is the state of a frontend. States only advance; lifecycleReady may be skipped.
type lifecycleState uint8

const (
	lifecycleStarting lifecycleState = iota // health checks wait for the events published before the start
	lifecycleReady                          // health checks pass
	lifecycleDraining                       // health checks fail; after drainTimeout requests are rejected
)

// lifecycle tracks the state of a frontend and replies to clients' health checks.
type lifecycle struct {
	*environment
	state         lifecycleState
	drainingSince placement.Millis // valid in lifecycleDraining
	pendingChecks []clientHealthCheck
	pendingCount  map[transport.ConnID]int // number of pending checks by client connection
}

// clientHealthCheck is a client's health check that waits for its reply.
type clientHealthCheck struct {
	client transport.ConnID
	tag    codec.Tag
}

func newLifecycle(env *environment) *lifecycle {
	return &lifecycle{environment: env, pendingCount: map[transport.ConnID]int{}}
}

// checkHealth replies to a client's health check. While the frontend is starting, the replies to up to maxPendingChecks
// checks of each connection are delayed until it is ready; further checks get a reply immediately.
func (l *lifecycle) checkHealth(client transport.ConnID, tag codec.Tag) {
	check := clientHealthCheck{client: client, tag: tag}
	if l.state == lifecycleStarting && l.pendingCount[client] < maxPendingChecks {
		l.pendingCount[client]++
		l.pendingChecks = append(l.pendingChecks, check)
		return
	}
	l.reply(check)
}

// reply replies to a health check, which passes unless the frontend is draining.
func (l *lifecycle) reply(check clientHealthCheck) {
	l.net.Send(check.client, codec.NewHealthReply(check.tag, l.state != lifecycleDraining))
}

// markReady ends lifecycleStarting and replies to the pending health checks. They are delayed because the node list in
// the configuration may be out of date: clients must not send requests before the events published since are applied.
func (l *lifecycle) markReady(placement.Millis) {
	if l.state == lifecycleStarting {
		l.state = lifecycleReady
	}
	checks := l.pendingChecks
	l.pendingChecks = nil
	clear(l.pendingCount)
	for _, check := range checks {
		l.reply(check)
	}
}

// drain begins a graceful shutdown. Further calls have no effect.
func (l *lifecycle) drain(now placement.Millis) {
	if l.state != lifecycleDraining {
		l.state = lifecycleDraining
		l.drainingSince = now
	}
}

// rejecting reports whether new requests are rejected.
func (l *lifecycle) rejecting(now placement.Millis) bool {
	return l.state == lifecycleDraining && now-l.drainingSince > drainTimeout
}

// drainedBy reports whether the process may exit at the given time, provided that all requests are answered.
func (l *lifecycle) drainedBy(now placement.Millis, releasesPending bool) bool {
	if !l.rejecting(now) {
		return false
	}
	return !releasesPending || now-l.drainingSince > drainTimeout+releaseTimeout
}
