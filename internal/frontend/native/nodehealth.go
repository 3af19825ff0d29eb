package native

import (
	"grebeglade/internal/frontend"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// healthCheckTimeout is the time limit, in ms, for a node's reply to a health check.
const healthCheckTimeout = placement.Millis(250)

// healthChecker sends health checks for the engine. Unlike on the platform, a check of a node that is not connected
// fails instead of being queued until the node is connected.
type healthChecker struct {
	*environment
	nodes  *nodeTable
	checks *frontend.HealthChecks
}

func newHealthChecker(env *environment, nodes *nodeTable) *healthChecker {
	checks := frontend.NewHealthChecks(env.host, healthCheckTimeout)
	checks.SetReplyQueue(func(id placement.NodeID) bool {
		n, listed := nodes.get(id)
		return listed && n.replyQueued(env.network)
	})
	return &healthChecker{
		environment: env,
		nodes:       nodes,
		checks:      checks,
	}
}

// check sends a health check to a node. The check fails immediately if the node is not connected.
func (h *healthChecker) check(id placement.NodeID) {
	n, listed := h.nodes.get(id)
	if !listed || !n.connected() {
		h.checks.FailUnsent(id)
		return
	}
	check := &pb.HealthCheck{Id: h.checks.Begin(id)}
	h.network.Send(n.session.conn, &pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: check}})
}

// replied handles a node's reply to a health check.
func (h *healthChecker) replied(now placement.Millis, n *node, reply *pb.HealthReply) {
	h.checks.Complete(now, reply.Id, n.id, loadOf(reply.Load))
}
