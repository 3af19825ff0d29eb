package platform

import (
	"slices"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
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
	bindNone       bindState = iota // no bind was made, or the last one ended unconfirmed
	bindConnecting                  // the offer waits for a connection to the node
	bindSent                        // the offer was sent and has no reply yet
	bindRunning                     // the workload runs on the node
	bindMigrating                   // the workload runs, and its client was notified that it will be placed anew
)

// bind is the last bind of a workload.
type bind struct {
	state        bindState
	number       int // of the bind within its workload, as the engine counts
	node         *node
	conn         *nodeConn // on which the offer was sent; nil before, and kept after the end of the bind
	sentAt       placement.Millis
	runningSince placement.Millis
	// abandonedOn are the connections on which this bind or earlier ones were abandoned.
	abandonedOn []transport.ConnID
	endCause    codec.Cause // why the running workload ended; CauseNone if its node stated none
}

// running reports whether the workload runs on its node.
func (w *workload) running() bool {
	return w.bind.state == bindRunning || w.bind.state == bindMigrating
}

// connecting reports whether the bind of that number waits for its connection.
func (w *workload) connecting(number int) bool {
	return w.bind.state == bindConnecting && w.bind.number == number
}

// beginBind begins a bind to a node, or to nil if the node was removed in the meantime.
func (w *workload) beginBind(number int, n *node) {
	w.bind.state = bindConnecting
	w.bind.number = number
	w.bind.node = n
	w.bind.conn = nil
	if n != nil {
		n.workloads[w.id] = w
	}
}

// markSent records that the offer was sent on the connection.
func (w *workload) markSent(now placement.Millis, c *nodeConn) {
	w.bind.state = bindSent
	w.bind.conn = c
	w.bind.sentAt = now
	c.offers[w.id] = w
}

// endBind ends a bind that is not confirmed. It does nothing for a running workload.
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

// adopt records that the workload already runs on a node.
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

// detach removes the workload from its node and connection.
func (w *workload) detach() {
	w.removeOffer()
	if w.bind.node != nil {
		delete(w.bind.node.workloads, w.id)
	}
	w.bind.state = bindNone
}

// removeOffer removes the workload from the open offers of the connection.
func (w *workload) removeOffer() {
	if w.bind.conn != nil {
		delete(w.bind.conn.offers, w.id)
	}
}

// concernedBy reports whether a message about the workload that came on the connection is about its last bind. A node
// sends such a message on the connection of the offer or, if it has lost that one, on any other; this side may still
// see the lost connection as open. If an earlier bind to the same node was abandoned on the connection, the message
// is about the earlier bind: a late reply, or the end that abandoning it caused.
func (w *workload) concernedBy(c *nodeConn) bool {
	return w.bind.node == c.node && (w.bind.conn == c || !slices.Contains(w.bind.abandonedOn, c.id))
}
