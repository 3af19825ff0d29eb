package frontend

import "grebeglade/placement"

// HealthChecks are the pending health checks of nodes. Each has a number of its own, which the node's reply carries
// back. Exactly one result of each check reaches the engine: the reply, or its failure.
type HealthChecks struct {
	host    *Host
	timeout placement.Millis
	pending map[uint64]placement.NodeID
	last    uint64 // number of the check that began last
}

// NewHealthChecks returns an empty set of checks that fail when no reply comes within the timeout, in ms.
func NewHealthChecks(h *Host, timeout placement.Millis) *HealthChecks {
	return &HealthChecks{
		host:    h,
		timeout: timeout,
		pending: map[uint64]placement.NodeID{},
	}
}

// Begin returns the number of a new check of the node, and sets its timeout. It may be called while the engine is at
// work.
func (c *HealthChecks) Begin(node placement.NodeID) uint64 {
	c.last++
	check := c.last
	c.pending[check] = node
	c.host.Schedule(c.host.Now()+c.timeout, func(now placement.Millis) { c.fail(now, check) })
	return check
}

// Pending reports whether the check has no result yet.
func (c *HealthChecks) Pending(check uint64) bool {
	_, pending := c.pending[check]
	return pending
}

// Len returns how many checks have no result yet.
func (c *HealthChecks) Len() int { return len(c.pending) }

// Complete passes the reply to a check to the engine, with the load report that the reply carried, or nil. It returns
// false, and does nothing, where the node has no such check pending.
func (c *HealthChecks) Complete(
	now placement.Millis, check uint64, node placement.NodeID, load *placement.LoadReport,
) bool {
	if checked, pending := c.pending[check]; !pending || checked != node {
		return false
	}
	delete(c.pending, check)
	c.host.Engine().HealthChecked(now, node, true, load)
	return true
}

// Fail ends a check that could not be sent. The engine is notified by a deferred call of the Host.
func (c *HealthChecks) Fail(check uint64) {
	c.host.Defer(func(now placement.Millis) { c.fail(now, check) })
}

// FailUnsent reports a failed check of a node that cannot be reached, without a check having begun. The engine is
// notified by a deferred call of the Host.
func (c *HealthChecks) FailUnsent(node placement.NodeID) {
	c.host.Defer(func(now placement.Millis) { c.host.Engine().HealthChecked(now, node, false, nil) })
}

// fail reports a check to the engine as failed, unless it has a result already.
func (c *HealthChecks) fail(now placement.Millis, check uint64) {
	node, pending := c.pending[check]
	if !pending {
		return
	}
	delete(c.pending, check)
	c.host.Engine().HealthChecked(now, node, false, nil)
}
