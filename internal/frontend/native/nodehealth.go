package native

import (
	"grebeglade/internal/frontend"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// healthCheckTimeout is how long, in ms, a node may take to reply to a health check.
const healthCheckTimeout = placement.Millis(250)

// healthChecker checks the health of nodes for the engine. Unlike on the platform, a check does not wait for a
// connection.
type healthChecker struct {
	*environment
	nodes  *nodeTable
	checks *frontend.HealthChecks
}

func newHealthChecker(env *environment, nodes *nodeTable) *healthChecker {
	return &healthChecker{
		environment: env,
		nodes:       nodes,
		checks:      frontend.NewHealthChecks(env.host, healthCheckTimeout),
	}
}

// check sends a health check to a node. One that is not connected fails it at once.
func (h *healthChecker) check(id placement.NodeID) {
	n, known := h.nodes.get(id)
	if !known || !n.connected() {
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
