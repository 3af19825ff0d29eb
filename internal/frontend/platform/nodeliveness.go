package platform

import (
	"errors"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// checkConnTime, in ms, is how long the connection of a check stays open at least. A node sends releases that it
	// could not send before on the next connection that is opened.
	checkConnTime = placement.Millis(250)
	// checkAfterCloseDelay, in ms, is the time from the end of a connection to the next one, in which a release that
	// crossed the end has arrived at its node's end or is lost.
	checkAfterCloseDelay = placement.Millis(200)
	// minCheckSpacing, in ms, is the minimum time between two checks of a node, also if dialing fails on this machine.
	minCheckSpacing = placement.Millis(50)
	// failuresUntilLogged is the number of attempts without a response after which a node's silence is logged. Single
	// connections to sound nodes do not come up.
	failuresUntilLogged = 2
	// unusedCheckTag is the tag of a health check whose reply is of no interest.
	unusedCheckTag = codec.Tag(0)
)

// watch begins to check that a node which runs workloads can be reached, unless it does already. The checks end with
// the last workload.
func (nc *nodeConns) watch(now placement.Millis, n *node) {
	if n.check.watched {
		return
	}
	n.check.watched = true
	n.check.liveness.Heard(now)
	nc.scheduleCheck(now, n)
}

// heard records a sign of life of a node.
func (nc *nodeConns) heard(now placement.Millis, n *node) {
	if n.check.silenceLogged {
		n.check.silenceLogged = false
		nc.log.Info("node responds again", "node", n.name, "silent_ms", int(now-n.check.liveness.HeardAt()))
	}
	n.check.liveness.Heard(now)
}

// scheduleCheck sets the timer of a watched node's next check. It replaces the one that was set before.
func (nc *nodeConns) scheduleCheck(now placement.Millis, n *node) {
	n.check.timer++
	number := n.check.timer
	nc.host.Schedule(max(n.check.liveness.NextCheck(), now+minCheckSpacing), func(now placement.Millis) {
		if n.check.timer == number && nc.nodes.contains(n) {
			nc.checkIfDue(now, n)
		}
	})
}

// checkIfDue begins a check unless something was heard of the node since the timer was set, and sets the next timer.
// The end of a check in progress sets the timer anew. Another dial in progress is as good as a check, unless it may
// have begun before the end of the longest partition.
func (nc *nodeConns) checkIfDue(now placement.Millis, n *node) {
	dialing := n.conn != nil && n.conn.state == connDialing
	switch {
	case !n.runsWorkloads():
		n.check.watched = false
		return
	case n.check.conn != nil:
		return
	case n.check.liveness.NextCheck() <= now && (!dialing || n.check.liveness.PartitionOver(now)):
		nc.check(now, n)
	}
	nc.scheduleCheck(now, n)
}

// check opens a connection to a node, beside its current one if there is one. Unlisted nodes have no address yet, and
// redial dials those that refuse connections, unless they are removed. Nobody answers for a node whose address another
// node has taken.
func (nc *nodeConns) check(now placement.Millis, n *node) {
	n.check.liveness.CheckBegun(now)
	switch {
	case nc.nodes.isUnlisted(n), n.dialing.refusals.ongoing && n.reachable():
	case n.addr == "":
		nc.noResponse(now, n, now)
	case n.conn == nil && n.reachable():
		nc.dial(now, n)
	default:
		nc.dialCheck(now, n)
	}
}

// checkAfterClose opens a connection soon after this side has closed one to a node that runs workloads and has another.
// A release that crossed the end of the closed one is sent again on the next one that is opened.
func (nc *nodeConns) checkAfterClose(now placement.Millis, n *node) {
	nc.host.Schedule(now+checkAfterCloseDelay, func(now placement.Millis) {
		if nc.nodes.contains(n) && n.runsWorkloads() && n.check.conn == nil && n.openConn() != nil {
			nc.dialCheck(now, n)
		}
	})
}

// dialCheck dials a node for a check, if a connection can be evicted at the limit.
func (nc *nodeConns) dialCheck(now placement.Millis, n *node) {
	if len(nc.conns) >= nc.limit && !nc.evictConnection(now, n) {
		return
	}
	nc.counters.LivenessChecks++
	n.check.conn = nc.newConn(now, n, min(nc.connectTimeout, placement.LivenessCheckTimeout))
	n.check.conn.checkOnly = true
}

// checkOpened handles the connection of a check that has come up. It becomes the node's connection if there is no other
// open one, and is retired after checkConnTime otherwise.
func (nc *nodeConns) checkOpened(now placement.Millis, c *nodeConn) {
	n := c.node
	if n.openConn() == nil {
		nc.useCheckConn(c)
		return
	}
	nc.askIfHung(c)
	nc.host.Schedule(now+checkConnTime, func(now placement.Millis) {
		if n.check.conn == c {
			c.retire()
			nc.closeReplaced(c)
		}
	})
}

// useCheckConn makes the connection of a check the node's connection. One that is being dialed takes its place.
func (nc *nodeConns) useCheckConn(c *nodeConn) {
	n := c.node
	if n.conn != nil {
		n.conn.checkOnly = true
	}
	n.check.conn = n.conn
	n.conn = c
	c.checkOnly = false
	nc.becameCurrent(c)
}

// checkFailed handles a dial for a check that has failed. If the node has no other connection, it is like any failed
// dial. Otherwise a machine that refuses it can be reached; whether its process has ended without a trace is seen
// on the other connection, which is reset in that case.
func (nc *nodeConns) checkFailed(now placement.Millis, n *node, reason error) {
	c := n.openConn()
	switch {
	case c == nil:
		nc.dialFailed(now, n, reason)
	case errors.Is(reason, transport.ErrConnectionRefused):
		nc.heard(now, n)
		nc.net.Send(c.id, codec.NewHealthCheck(unusedCheckTag))
	}
}

// noResponse handles a connection attempt that began at the given time and got no response. If the machine counts as
// lost, its workloads have ended.
func (nc *nodeConns) noResponse(now placement.Millis, n *node, begunAt placement.Millis) {
	if !n.check.watched {
		return
	}
	lost := n.check.liveness.NoResponse(begunAt)
	if nc.anyArriving(n) {
		nc.heard(now, n)
		return
	}
	if !n.check.silenceLogged && n.check.liveness.Failures() >= failuresUntilLogged {
		n.check.silenceLogged = true
		nc.log.Info("node does not respond", "node", n.name, "address", n.addr, "workloads", len(n.workloads)+n.handovers,
			"heard_ms_ago", int(now-n.check.liveness.HeardAt()))
	}
	if !lost {
		return
	}
	nc.counters.SilentNodes++
	nc.log.Warn("node lost, its workloads have ended", "node", n.name, "address", n.addr,
		"workloads", len(n.workloads)+n.handovers, "heard_ms_ago", int(now-n.check.liveness.HeardAt()))
	n.check.silenceLogged = false
	n.check.watched = false
	nc.events.machineLost(now, n)
}

// anyArriving reports whether a message of a node is on its way on any connection.
func (nc *nodeConns) anyArriving(n *node) bool {
	for _, c := range nc.conns {
		if c.node == n && c.isOpen() && nc.arriving(c.id) {
			return true
		}
	}
	return false
}
