package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// binder executes the engine's binds: it offers workloads to nodes, abandons offers and stops running workloads. It
// reports to the engine the ends of binds that no message of a node reports.
type binder struct {
	*environment
	workloads *workloadTable
	nodes     *nodeTable
	conns     *nodeConns
}

// pendingOffer is a bind that waits for the connection to its node.
type pendingOffer struct {
	binder   *binder
	workload *workload
	bind     int
	deadline placement.Millis
}

// offer begins a bind. The offer is sent on a connection that is open or opens before the deadline.
func (b *binder) offer(w *workload, bind int, n *node, deadline placement.Millis) {
	w.beginBind(bind, n)
	b.conns.await(n, &pendingOffer{
		binder:   b,
		workload: w,
		bind:     bind,
		deadline: deadline,
	})
}

// isPending reports whether the bind has not ended in the meantime.
func (o *pendingOffer) isPending() bool {
	return o.binder.workloads.holds(o.workload) && o.workload.connecting(o.bind)
}

// connected sends the offer, unless the node is draining or the deadline has passed.
func (o *pendingOffer) connected(c *nodeConn) {
	if !o.isPending() {
		return
	}
	now := o.binder.host.Now()
	if c.node.entry.State != placement.Ready || o.deadline <= now {
		o.binder.notDelivered(o.workload)
		return
	}
	o.binder.send(now, o, c)
}

// unreachable ends the bind.
func (o *pendingOffer) unreachable() {
	if o.isPending() {
		o.binder.notDelivered(o.workload)
	}
}

// send sends the offer on a connection that is open.
func (b *binder) send(now placement.Millis, o *pendingOffer, c *nodeConn) {
	w := o.workload
	w.markSent(now, c)
	c.lastSent = now
	b.net.Send(c.id, &codec.Offer{
		Header:      codec.Header{Tag: w.tag},
		Class:       w.class,
		Key:         w.key,
		Timeout:     o.deadline - now,
		Description: w.description,
	})
}

// notDelivered reports to the engine, once it is idle, that the offer of a bind was not sent.
func (b *binder) notDelivered(w *workload) {
	bind := w.bind.number
	b.host.Defer(func(now placement.Millis) {
		if b.workloads.holds(w) && w.bind.number == bind {
			w.endBind()
			b.reportEnd(now, w, placement.Result{Kind: placement.NotDelivered})
		}
	})
}

// reportEnd reports to the engine how the last bind of a workload ended.
func (b *binder) reportEnd(now placement.Millis, w *workload, result placement.Result) {
	var id placement.NodeID
	if w.bind.node != nil {
		id = w.bind.node.id
	}
	b.host.Engine().BindEnded(now, w.id, w.bind.number, id, result)
}

// abandonTimedOut abandons the bind of a workload after its timeout. The engine has ended the bind already.
func (b *binder) abandonTimedOut(w *workload) {
	if !b.abandon(w) {
		return
	}
	b.conns.replaceSilent(b.host.Now(), w.bind.conn, w.bind.sentAt)
	b.conns.closeReplaced(w.bind.conn)
}

// abandonWithdrawn abandons the bind of a workload that its client has withdrawn, and reports the end to the engine.
func (b *binder) abandonWithdrawn(w *workload) {
	bind := w.bind.number
	result := placement.Result{Kind: placement.NotDelivered, Final: true}
	if b.abandon(w) {
		result.Kind = placement.OutcomeUnknown
	}
	b.host.Defer(func(now placement.Millis) {
		if b.workloads.holds(w) && w.bind.node != nil {
			b.host.Engine().BindEnded(now, w.id, bind, w.bind.node.id, result)
		}
	})
}

// abandon ends a bind that is not confirmed. If its offer was sent, the offer is withdrawn from the node. It reports
// whether the offer was sent.
func (b *binder) abandon(w *workload) (sent bool) {
	sent = w.bind.state == bindSent
	w.endBind()
	if sent {
		w.bind.abandonedOn = append(w.bind.abandonedOn, w.bind.conn.id)
		b.net.Send(w.bind.conn.id, codec.NewTermination(w.tag, codec.CauseNormal))
	}
	return sent
}

// offersLost handles the end of a connection: the offers that were out on it may have been accepted.
func (b *binder) offersLost(now placement.Millis, c *nodeConn) {
	for _, w := range frontend.SortedValues(c.offers) {
		w.endBind()
		b.reportEnd(now, w, placement.Result{Kind: placement.OutcomeUnknown})
	}
}
