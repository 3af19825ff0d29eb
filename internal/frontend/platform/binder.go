package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// binder carries out binds: it offers workloads to nodes, abandons offers and stops workloads. It reports to the
// engine the ends of binds that no message of a node reports.
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
	b.conns.await(n, &pendingOffer{b, w, bind, deadline})
}

// waits reports whether the bind has not ended in the meantime.
func (o *pendingOffer) waits() bool {
	return o.binder.workloads.holds(o.workload) && o.workload.connecting(o.bind)
}

func (o *pendingOffer) connected(c *nodeConn) {
	if !o.waits() {
		return
	}
	now := o.binder.host.Now()
	if c.node.entry.State != placement.Ready || o.deadline <= now {
		o.binder.notDelivered(o.workload) // the node drains, or the deadline has passed
		return
	}
	o.binder.send(now, o, c)
}

func (o *pendingOffer) unreachable() {
	if o.waits() {
		o.binder.notDelivered(o.workload)
	}
}

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
			b.settle(now, w, placement.Result{Kind: placement.NotDelivered})
		}
	})
}

// settle reports to the engine how the last bind of a workload ended.
func (b *binder) settle(now placement.Millis, w *workload, r placement.Result) {
	var id placement.NodeID
	if w.bind.node != nil {
		id = w.bind.node.id
	}
	b.host.Engine().BindEnded(now, w.id, w.bind.number, id, r)
}

// abandon withdraws an offer from a node. After a timeout the engine has ended the bind itself; for a workload that was
// withdrawn, the end is reported to it here.
func (b *binder) abandon(w *workload, timedOut bool) {
	c := w.bind.conn
	sent := w.bind.state == bindSent
	w.endBind()
	if sent {
		w.bind.abandonedOn = append(w.bind.abandonedOn, c.id)
		b.net.Send(c.id, codec.NewTermination(w.tag, codec.CauseNormal))
	}
	if timedOut {
		if sent {
			b.conns.replaceSilent(b.host.Now(), c, w.bind.sentAt)
			b.conns.closeReplaced(c)
		}
		return
	}
	bind := w.bind.number
	kind := placement.NotDelivered
	if sent {
		kind = placement.OutcomeUnknown
	}
	b.host.Defer(func(now placement.Millis) {
		if b.workloads.holds(w) && w.bind.node != nil {
			b.host.Engine().BindEnded(now, w.id, bind, w.bind.node.id, placement.Result{Kind: kind, Final: true})
		}
	})
}

// stop ends a running workload at its node, which confirms the end. Without a confirmation it counts as ended after
// endGrace.
func (b *binder) stop(w *workload) {
	b.conns.release(w)
	b.host.Schedule(b.host.Now()+endGrace, func(now placement.Millis) {
		if b.workloads.holds(w) {
			b.settle(now, w, placement.Result{Kind: placement.Ended, Final: true})
		}
	})
}

// adopt takes over a workload that runs on a node, which is dialed so that it can report the end.
func (b *binder) adopt(now placement.Millis, w *workload, task placement.Workload, name string) {
	n := b.nodes.intern(name)
	w.adopt(now, n)
	b.host.Engine().Adopt(now, task, n.id)
	b.conns.connect(now, n)
}

// offersLost handles the end of a connection: the offers that were out on it may have been accepted.
func (b *binder) offersLost(now placement.Millis, c *nodeConn) {
	for _, w := range frontend.SortedValues(c.offers) {
		w.endBind()
		b.settle(now, w, placement.Result{Kind: placement.OutcomeUnknown})
	}
}

// processEnded handles that a node's process has ended, with all that ran there.
func (b *binder) processEnded(now placement.Millis, n *node) { b.processRestarted(now, n, now+1) }

// processRestarted handles that a node's process has started at the given time: what ran there before has ended. A node
// that is gone and holds nothing any more is removed.
func (b *binder) processRestarted(now placement.Millis, n *node, startedAt placement.Millis) {
	for _, w := range frontend.SortedValues(n.workloads) {
		if w.running() && w.bind.runningSince < startedAt {
			b.counters.Lost++
			w.bind.endCause = codec.CauseReset
			b.settle(now, w, placement.Result{Kind: placement.Ended, Final: true})
		}
	}
	b.conns.removeNode(now, n)
}
