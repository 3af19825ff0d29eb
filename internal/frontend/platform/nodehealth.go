package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// healthChecker sends nodes the engine's health checks. The tag of a check is its number.
type healthChecker struct {
	*environment
	nodes  *nodeTable
	conns  *nodeConns
	checks *frontend.HealthChecks
}

// pendingCheck is a health check that waits for the connection to its node.
type pendingCheck struct {
	checker *healthChecker
	number  uint64
}

// check sends a node a health check, on a connection that is open or opens before the check has failed.
func (h *healthChecker) check(id placement.NodeID) {
	h.conns.await(h.nodes.get(id), &pendingCheck{checker: h, number: h.checks.Begin(id)})
}

// completed passes the reply to a health check to the engine. It reports whether the node had such a check pending.
func (h *healthChecker) completed(now placement.Millis, n *node, reply *codec.HealthReply) bool {
	return h.checks.Complete(now, uint64(reply.Tag), n.id, reply.Load)
}

// connected sends the check, unless it has failed in the meantime.
func (p *pendingCheck) connected(c *nodeConn) {
	h := p.checker
	if !h.checks.Pending(p.number) {
		return
	}
	c.lastSent = h.host.Now()
	h.net.Send(c.id, codec.NewHealthCheck(codec.Tag(p.number)))
}

// unreachable fails the check.
func (p *pendingCheck) unreachable() {
	if p.checker.checks.Pending(p.number) {
		p.checker.checks.Fail(p.number)
	}
}
