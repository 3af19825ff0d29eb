package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// releaseLead, in ms, is the time between the release of an abandoned bind and the workload's next offer to the same
// node. They go on two connections, and the release would end the later bind if it arrived after its offer.
const releaseLead = placement.Millis(20)

// binder executes the engine's binds: it offers workloads to nodes, abandons offers and stops running workloads. It
// also reports to the engine the binds that end without a message from the node.
type binder struct {
	*environment
	workloads *workloadTable
	conns     *nodeConns
	adoptions *adoptions
}

// pendingOffer is an offer that waits for the connection to its node.
type pendingOffer struct {
	binder   *binder
	workload *workload
	bind     int              // number of the bind
	deadline placement.Millis // time at which the offer expires
}

// offer begins a bind. The offer is sent as soon as a connection to the node is open, if that is before the deadline.
func (b *binder) offer(w *workload, bind int, n *node, deadline placement.Millis) {
	w.beginBind(bind, n)
	b.conns.await(n, &pendingOffer{
		binder:   b,
		workload: w,
		bind:     bind,
		deadline: deadline,
	})
}

// isPending reports whether the bind still waits for its connection.
func (o *pendingOffer) isPending() bool {
	return o.binder.workloads.contains(o.workload) && o.workload.connecting(o.bind)
}

// connected implements connWaiter: it sends the offer. If the node is not ready or the deadline has been reached, it
// ends the bind instead. It does nothing if the offer is no longer pending.
func (o *pendingOffer) connected(c *nodeConn) {
	if !o.isPending() {
		return
	}
	now := o.binder.host.Now()
	if c.node.entry.State != placement.Ready || o.deadline <= now {
		o.binder.reportNotDelivered(o.workload)
		return
	}
	if o.workload.abandonedSinceDialOf(c) {
		o.binder.conns.awaitAnother(c, o)
		return
	}
	if at := o.workload.releaseHandledAt(c.node); now < at {
		o.sendAt(at, c.node)
		return
	}
	o.binder.send(now, o, c)
}

// sendAt sends the offer at the given time, if it is still pending then.
func (o *pendingOffer) sendAt(at placement.Millis, n *node) {
	o.binder.host.Schedule(at, func(placement.Millis) {
		if o.isPending() {
			o.binder.conns.await(n, o)
		}
	})
}

// unreachable implements connWaiter: it ends the bind, unless the offer is no longer pending.
func (o *pendingOffer) unreachable() {
	if o.isPending() {
		o.binder.reportNotDelivered(o.workload)
	}
}

// send sends the offer on an open connection.
func (b *binder) send(now placement.Millis, o *pendingOffer, c *nodeConn) {
	w := o.workload
	w.markSent(now, c)
	c.lastSent = now
	b.net.Send(c.id, &codec.Offer{
		Header:      codec.Header{Tag: w.tag},
		Class:       w.texts.class,
		Key:         w.texts.key,
		Timeout:     o.deadline - now,
		Description: w.texts.description,
	})
}

// reportNotDelivered ends a bind and reports to the engine that its offer was not sent. Both are deferred, since the
// engine may be handling an event.
func (b *binder) reportNotDelivered(w *workload) {
	bind := w.bind.number
	b.host.Defer(func(now placement.Millis) {
		if b.workloads.contains(w) && w.bind.number == bind {
			w.endBind()
			b.reportEnd(now, w, placement.Result{Kind: placement.NotDelivered})
		}
	})
}

// reportEnd reports the result of a workload's last bind to the engine.
func (b *binder) reportEnd(now placement.Millis, w *workload, result placement.Result) {
	var id placement.NodeID
	if w.bind.node != nil {
		id = w.bind.node.id
	}
	b.host.Engine().BindEnded(now, w.id, w.bind.number, id, result)
}

// abandonTimedOut abandons a bind that the engine has ended because it timed out. If its connection was silent since
// the offer, the connection is replaced.
func (b *binder) abandonTimedOut(w *workload) {
	if !b.abandon(w) {
		return
	}
	b.conns.replaceSilent(b.host.Now(), w.bind.conn, w.bind.sentAt)
	b.conns.closeReplaced(w.bind.conn)
}

// abandonWithdrawn abandons the bind of a workload that its client has withdrawn, and reports the bind's end to the
// engine.
func (b *binder) abandonWithdrawn(w *workload) {
	bind := w.bind.number
	result := placement.Result{Kind: placement.NotDelivered, Final: true}
	if b.abandon(w) {
		result.Kind = placement.OutcomeUnknown
	}
	b.host.Defer(func(now placement.Millis) {
		if b.workloads.contains(w) && w.bind.node != nil {
			b.host.Engine().BindEnded(now, w.id, bind, w.bind.node.id, result)
		}
	})
}

// abandon ends an unconfirmed bind. If the offer was sent, abandon withdraws it from the node. It reports whether the
// offer was sent.
func (b *binder) abandon(w *workload) (sent bool) {
	sent = w.bind.state == bindSent
	w.endBind()
	if sent {
		w.abandon(b.host.Now())
		b.conns.sendRelease(w.bind.conn, w.tag)
	}
	return sent
}

// offersLost implements nodeEvents: it ends the binds whose replies were pending on the connection. The node may have
// accepted their offers.
func (b *binder) offersLost(now placement.Millis, c *nodeConn) {
	for _, w := range frontend.SortedValues(c.offers) {
		w.endBind()
		b.reportEnd(now, w, placement.Result{Kind: placement.OutcomeUnknown})
	}
}
