package platform

import (
	"slices"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// bindState is where the last bind of a workload stands. The transitions are the methods of workload in this file:
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
	bindNone       bindState = iota // none was made, or the last one ended before the node confirmed it
	bindConnecting                  // it waits for a connection to its node
	bindSent                        // the offer has left and has no reply
	bindRunning                     // the workload runs on the node
	bindMigrating                   // likewise, and its client was told that it will be placed anew
)

// bind is the last bind of a workload.
type bind struct {
	state        bindState
	number       int // the engine's
	node         *node
	conn         *nodeConn // that the offer left on, also after its end; nil before
	sentAt       placement.Millis
	runningSince placement.Millis
	// abandonedOn are the connections on which this bind or earlier ones were abandoned.
	abandonedOn []transport.ConnID
	endCause    codec.Cause // of the end of the running workload, where its node or the loss of it gave one
}

// running tells whether the workload runs on its node.
func (w *workload) running() bool {
	return w.bind.state == bindRunning || w.bind.state == bindMigrating
}

// connecting tells whether the bind of that number waits for its connection.
func (w *workload) connecting(number int) bool {
	return w.bind.state == bindConnecting && w.bind.number == number
}

// beginBind begins a bind to a node, which may be nil if it is not known any more.
func (w *workload) beginBind(number int, n *node) {
	w.bind.state, w.bind.number, w.bind.node, w.bind.conn = bindConnecting, number, n, nil
	if n != nil {
		n.workloads[w.id] = w
	}
}

// markSent notes that the offer has left on the connection.
func (w *workload) markSent(now placement.Millis, c *nodeConn) {
	w.bind.state, w.bind.conn, w.bind.sentAt = bindSent, c, now
	c.offers[w.id] = w
}

// endBind ends a bind that is not confirmed. It does nothing for a running workload, whose bind has no offer out.
func (w *workload) endBind() {
	if w.running() {
		return
	}
	w.detach()
}

// confirm notes the node's confirmation of the offer that is out.
func (w *workload) confirm(now placement.Millis) {
	w.removeOffer()
	w.bind.state, w.bind.runningSince = bindRunning, now
}

// adopt notes that the workload runs on a node already.
func (w *workload) adopt(now placement.Millis, n *node) {
	w.bind.state, w.bind.node, w.bind.runningSince = bindRunning, n, now
	n.workloads[w.id] = w
}

// migrate notes that the client was told of the migration.
func (w *workload) migrate() {
	if w.running() {
		w.bind.state = bindMigrating
	}
}

// detach removes the workload, which has ended, from its node and connection.
func (w *workload) detach() {
	w.removeOffer()
	if w.bind.node != nil {
		delete(w.bind.node.workloads, w.id)
	}
	w.bind.state = bindNone
}

func (w *workload) removeOffer() {
	if w.bind.conn != nil {
		delete(w.bind.conn.offers, w.id)
	}
}

// concernedBy tells whether a message about the workload on a connection is about its last bind. A node sends it on the
// connection of the offer, or on another one if it has lost that, which may not be known here. Where an earlier bind to
// the same node was abandoned on the connection, the message is about that one: its reply, or the end that abandoning it
// made.
func (w *workload) concernedBy(c *nodeConn) bool {
	return w.bind.node == c.node && (w.bind.conn == c || !slices.Contains(w.bind.abandonedOn, c.id))
}
