package frontend

import "grebeglade/placement"

// HealthChecks tracks the pending health checks of nodes. Each check has a unique number, which the node's reply
// repeats. The engine gets exactly one result for each check: the reply or a failure.
type HealthChecks struct {
	host    *Host
	timeout placement.Millis            // time within which a reply must arrive, in ms
	pending map[uint64]placement.NodeID // checked nodes by check number
	last    uint64                      // number of the latest check

	// replyQueued reports whether something was received from a node and not handled yet.
	replyQueued func(node placement.NodeID) bool
}

// NewHealthChecks returns a tracker without pending checks. Checks fail if no reply arrives within the timeout, in ms.
func NewHealthChecks(h *Host, timeout placement.Millis) *HealthChecks {
	return &HealthChecks{
		host:    h,
		timeout: timeout,
		pending: map[uint64]placement.NodeID{},

		replyQueued: func(placement.NodeID) bool { return false },
	}
}

// SetReplyQueue sets a function that reports whether something was received from a node and not handled yet. While it
// does, checks of the node do not fail for lack of a reply.
func (c *HealthChecks) SetReplyQueue(replyQueued func(node placement.NodeID) bool) {
	c.replyQueued = replyQueued
}

// Begin registers a new check of the node, sets its timeout and returns its number. It may be called from within the
// engine's actions.
func (c *HealthChecks) Begin(node placement.NodeID) uint64 {
	c.last++
	check := c.last
	c.pending[check] = node
	queued := func() bool { return c.Pending(check) && c.replyQueued(node) }
	c.host.ScheduleReplyDeadline(c.host.Now()+c.timeout, queued, func(now placement.Millis) { c.fail(now, check) })
	return check
}

// Pending reports whether the check has no result yet.
func (c *HealthChecks) Pending(check uint64) bool {
	_, pending := c.pending[check]
	return pending
}

// Len returns the number of pending checks.
func (c *HealthChecks) Len() int { return len(c.pending) }

// Complete passes the reply to a check to the engine, with the reply's load report, which may be nil. If the node has
// no pending check with that number, it does nothing and returns false.
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

// Fail ends a check that could not be sent. The engine gets the failure in a deferred call of the Host.
func (c *HealthChecks) Fail(check uint64) {
	c.host.Defer(func(now placement.Millis) { c.fail(now, check) })
}

// FailUnsent reports a failed check of an unreachable node for which Begin was not called. The engine gets the failure
// in a deferred call of the Host.
func (c *HealthChecks) FailUnsent(node placement.NodeID) {
	c.host.Defer(func(now placement.Millis) { c.host.Engine().HealthChecked(now, node, false, nil) })
}

// fail passes the failure of a check to the engine, unless the check already has a result.
func (c *HealthChecks) fail(now placement.Millis, check uint64) {
	node, pending := c.pending[check]
	if !pending {
		return
	}
	delete(c.pending, check)
	c.host.Engine().HealthChecked(now, node, false, nil)
}
