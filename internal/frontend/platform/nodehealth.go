package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// healthChecker sends the engine's health checks to nodes. The number of a check is the tag of its message.
type healthChecker struct {
	*environment
	nodes  *nodeTable
	conns  *nodeConns
	checks *frontend.HealthChecks
}

func newHealthChecker(env *environment, nodes *nodeTable, conns *nodeConns) *healthChecker {
	h := &healthChecker{
		environment: env,
		nodes:       nodes,
		conns:       conns,
		checks:      frontend.NewHealthChecks(env.host, endGrace),
	}
	h.checks.SetReplyQueue(h.replyQueued)
	return h
}

// pendingCheck is a health check that waits for a connection to its node.
type pendingCheck struct {
	checker *healthChecker
	number  uint64
}

// check sends a health check to a node, once a connection is open. The check fails if there is no reply within
// endGrace.
func (h *healthChecker) check(id placement.NodeID) {
	h.conns.await(h.nodes.get(id), &pendingCheck{checker: h, number: h.checks.Begin(id)})
}

// completed passes a health reply to the engine. It returns false if the reply is not for a pending check of the node.
func (h *healthChecker) completed(now placement.Millis, n *node, reply *codec.HealthReply) bool {
	return h.checks.Complete(now, uint64(reply.Tag), n.id, reply.Load)
}

// replyQueued reports whether a reply of a node may have been received and not been handled yet.
func (h *healthChecker) replyQueued(id placement.NodeID) bool {
	n := h.nodes.get(id)
	return n != nil && n.conn != nil && h.conns.replyQueued(n.conn)
}

// connected implements connWaiter: it sends the check, unless the check has already failed.
func (p *pendingCheck) connected(c *nodeConn) {
	h := p.checker
	if !h.checks.Pending(p.number) {
		return
	}
	c.lastSent = h.host.Now()
	h.net.Send(c.id, codec.NewHealthCheck(codec.Tag(p.number)))
}

// unreachable implements connWaiter: it fails the check.
func (p *pendingCheck) unreachable() {
	if p.checker.checks.Pending(p.number) {
		p.checker.checks.Fail(p.number)
	}
}
