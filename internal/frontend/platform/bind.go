package platform

import (
	"slices"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// bindState is the state of the last bind of a workload. The transitions are the methods of workload in this file:
//
//	beginBind   any but running  -> bindConnecting
//	markSent    bindConnecting   -> bindSent
//	confirm     bindSent         -> bindRunning
//	adopt       bindNone         -> bindRunning
//	migrate     bindRunning      -> bindMigrating
//	endBind     any but running  -> bindNone
//	detach      any              -> bindNone, at the end of the workload
type bindState uint8

const (
	bindNone       bindState = iota // no bind, or the last bind ended without a confirmation
	bindConnecting                  // the offer waits for a connection to the node
	bindSent                        // the offer was sent, the reply is pending
	bindRunning                     // the workload runs on the node
	bindMigrating                   // the workload runs, and its client was notified of the migration
)

// bind is the last bind of a workload.
type bind struct {
	state        bindState
	number       int              // the engine's number of the bind, counted per workload
	node         *node            // nil before the first bind, or if the node was removed before the bind
	conn         *nodeConn        // connection that the offer was sent on, also after the bind's end; nil if not sent
	sentAt       placement.Millis // time when the offer was sent
	runningSince placement.Millis // time of the confirmation or adoption
	abandoned    []abandonedBind  // this bind and earlier ones of the workload, as far as they were sent and abandoned
	endCause     codec.Cause      // cause of the running workload's end; CauseNone if not reported
}

// abandonedBind is a bind that was abandoned after its offer was sent.
type abandonedBind struct {
	conn *nodeConn // connection that the offer was sent on
	at   placement.Millis
}

// running reports whether the workload runs on its node.
func (w *workload) running() bool {
	return w.bind.state == bindRunning || w.bind.state == bindMigrating
}

// connecting reports whether the bind with the given number is the last one and waits for a connection.
func (w *workload) connecting(number int) bool {
	return w.bind.state == bindConnecting && w.bind.number == number
}

// beginBind begins a bind to a node. n is nil if the node was removed.
func (w *workload) beginBind(number int, n *node) {
	w.bind.state = bindConnecting
	w.bind.number = number
	w.bind.node = n
	w.bind.conn = nil
	if n != nil {
		n.workloads[w.id] = w
	}
}

// markSent records that the offer was sent on a connection.
func (w *workload) markSent(now placement.Millis, c *nodeConn) {
	w.bind.state = bindSent
	w.bind.conn = c
	w.bind.sentAt = now
	c.offers[w.id] = w
}

// endBind ends an unconfirmed bind. It does nothing for a running workload.
func (w *workload) endBind() {
	if w.running() {
		return
	}
	w.detach()
}

// confirm records the node's confirmation of the offer.
func (w *workload) confirm(now placement.Millis) {
	w.removeOffer()
	w.bind.state = bindRunning
	w.bind.runningSince = now
}

// adopt records that the workload runs on a node without a bind by this allocator.
func (w *workload) adopt(now placement.Millis, n *node) {
	w.bind.state = bindRunning
	w.bind.node = n
	w.bind.runningSince = now
	n.workloads[w.id] = w
}

// migrate records that the client was notified of the migration.
func (w *workload) migrate() {
	if w.running() {
		w.bind.state = bindMigrating
	}
}

// detach ends the bind in any state, and removes the workload from its node and connection.
func (w *workload) detach() {
	w.removeOffer()
	if w.bind.node != nil {
		delete(w.bind.node.workloads, w.id)
	}
	w.bind.state = bindNone
}

// removeOffer removes the workload from its connection's offers without a reply.
func (w *workload) removeOffer() {
	if w.bind.conn != nil {
		delete(w.bind.conn.offers, w.id)
	}
}

// abandon records that the bind was abandoned after its offer was sent.
func (w *workload) abandon(now placement.Millis) {
	w.bind.abandoned = append(w.bind.abandoned, abandonedBind{conn: w.bind.conn, at: now})
	w.bind.conn.abandonedAt = now
}

// abandonedOn reports whether a bind of the workload was abandoned on a connection.
func (w *workload) abandonedOn(c *nodeConn) bool {
	return slices.ContainsFunc(w.bind.abandoned, func(a abandonedBind) bool { return a.conn == c })
}

// abandonedAt reports whether a bind of the workload to a node was abandoned.
func (w *workload) abandonedAt(n *node) bool {
	return slices.ContainsFunc(w.bind.abandoned, func(a abandonedBind) bool { return a.conn.node == n })
}

// abandonedSinceDialOf reports whether a bind of the workload to a connection's node was abandoned after the connection
// was dialed. No further bind is sent on it. A message names the workload only: on the same connection the messages of
// the two binds could not be told apart, and on another one the offer could arrive before the release of the first
// bind, which would end the second.
func (w *workload) abandonedSinceDialOf(c *nodeConn) bool {
	return slices.ContainsFunc(w.bind.abandoned, func(a abandonedBind) bool {
		return a.conn.node == c.node && c.dialedAt < a.at
	})
}

// releaseHandledAt returns the time at which a node has handled the releases of abandoned binds of the workload.
func (w *workload) releaseHandledAt(n *node) placement.Millis {
	at := placement.DistantPast
	for _, a := range w.bind.abandoned {
		if a.conn.node == n {
			at = max(at, a.at+releaseLead)
		}
	}
	return at
}

// acceptsMessage reports whether a message about the workload, received on c, concerns its last bind. A node sends such
// a message on the connection of the offer or, after losing it, on any other; the lost connection may still be open on
// this side. What arrives where an earlier bind was abandoned concerns that one: it is a late reply, or the end that
// abandoning the bind has caused. The connection of an earlier bind to the same node may have ended since, so that its
// messages come on another one. Then a reply concerns the last bind only on its own connection, and an end that this
// side may have caused does so only there and for a running workload.
func (w *workload) acceptsMessage(c *nodeConn, message codec.Message) bool {
	if w.bind.node != c.node || w.abandonedOn(c) {
		return false
	}
	if !w.abandonedAt(c.node) {
		return true
	}
	termination, ends := message.(*codec.Termination)
	cancelled := ends && termination.Cause == codec.CauseCancelled
	if w.running() {
		return w.bind.conn == c || !cancelled
	}
	return w.bind.conn == c && !cancelled
}
