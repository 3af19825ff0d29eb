package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// binder carries out the engine's binds: it sends offers and stops to the nodes, and maintains the bind state of each
// workload.
type binder struct {
	*environment
	workloads *workloadTable
	nodes     *nodeTable
	sender    *nodeSender
	durable   *durableBinds
	// persisting has the workloads whose last bind is being written to the journal, including those that the engine has
	// forgotten in the meantime.
	persisting map[placement.WorkloadID]*workload
}

func newBinder(
	env *environment, workloads *workloadTable, nodes *nodeTable, sender *nodeSender, durable *durableBinds,
) *binder {
	return &binder{
		environment: env,
		workloads:   workloads,
		nodes:       nodes,
		sender:      sender,
		durable:     durable,
		persisting:  map[placement.WorkloadID]*workload{},
	}
}

// pendingBind is a bind whose offer was not sent yet. It has its own number, since its workload may have later binds.
// It is passed by value, so that a bind that is not persisted needs no allocation for it.
type pendingBind struct {
	workload *workload
	number   int
	node     placement.NodeID
	offer    *pb.Offer
}

// isLast reports whether the workload has no later bind.
func (p pendingBind) isLast() bool { return p.workload.lastBind() == p.number }

// offer begins a bind of a workload to a node, which may accept it within the timeout. A bind that must be
// durable is offered after it is written to the journal.
func (b *binder) offer(w *workload, node placement.NodeID, timeout placement.Millis) {
	w.beginBind(node)
	offer := b.workloads.offer(b.host.Now(), w)
	offer.AcceptWithinMs = float64(timeout)
	bind := pendingBind{
		workload: w,
		number:   w.lastBind(),
		node:     node,
		offer:    offer,
	}
	if b.durable.required(w.request.Group) {
		b.persist(bind)
		return
	}
	b.send(bind)
}

// persist makes a bind durable and then sends its offer. The offer is not sent if the bind could not be made durable,
// or if the placement decision became invalid in the meantime: the bind has ended, the node is not ready or was
// restarted, or another running workload of the service was found.
func (b *binder) persist(bind pendingBind) {
	began := b.host.Now()
	incarnation := b.nodes.incarnation(bind.node)
	w := bind.workload
	w.bindState = bindPersisting
	b.persisting[w.id] = w
	b.durable.persist(began, w, bind.node, bind.offer.Bind, func(now placement.Millis, err error) {
		b.host.Handle(now, func() {
			valid := b.finishPersisting(bind, incarnation)
			bind.offer.AcceptWithinMs -= float64(now - began)
			b.persisted(bind, valid, err)
		})
	})
}

// persisted handles the journal's result for a bind. valid is true if the placement decision still holds.
func (b *binder) persisted(bind pendingBind, valid bool, err error) {
	switch {
	case err != nil:
		b.counters.BindsNotPersisted++
		b.log.Error("bind not persisted, offer not sent",
			"workload", bind.workload.id, "bind", bind.number, "node", bind.node, "error", err)
		b.rollBack(bind)
	case !valid:
		b.rollBack(bind)
	default:
		b.counters.BindsPersisted++
		b.send(bind)
	}
}

// finishPersisting removes a workload from persisting, unless it has a later bind. It reports whether the placement
// decision is still valid, so that the offer may be sent.
func (b *binder) finishPersisting(bind pendingBind, incarnation uint64) bool {
	if !bind.isLast() {
		return false // the workload has a later bind
	}
	w := bind.workload
	delete(b.persisting, w.id)
	_, exists := b.workloads.get(w.id)
	if !exists || w.bindState != bindPersisting {
		return false
	}
	n, listed := b.nodes.get(bind.node)
	return listed && n.incarnation == incarnation && n.state() == placement.Ready
}

// invalidate marks a service's binds that are being persisted, so that their offers are not sent. It is called when
// another running workload of the service was found after the decision.
func (b *binder) invalidate(service uint64) {
	for _, w := range b.persisting {
		if w.request.Service == service && w.bindState == bindPersisting {
			w.bindState = bindInvalidated
		}
	}
}

// send sends the offer of a bind. It rolls the bind back if the node is not connected.
func (b *binder) send(bind pendingBind) {
	if !b.sender.offer(bind.node, bind.offer) {
		b.rollBack(bind)
		return
	}
	bind.workload.bindState = bindSent
}

// rollBack undoes a bind whose offer was never sent. The engine is notified once it is idle. The bind state does not
// change if the bind was cancelled in the meantime or the workload has a later bind.
func (b *binder) rollBack(bind pendingBind) {
	w := bind.workload
	if bind.isLast() && w.bindState != bindStopRequested {
		w.bindState = bindNotSent
	}
	b.durable.forget(w, bind.offer.Bind)
	b.host.Defer(func(now placement.Millis) {
		result := placement.Result{Kind: placement.NotDelivered}
		b.host.Engine().BindEnded(now, w.id, bind.number, bind.node, result)
	})
}

// rejected removes the durable record of a bind that its node rejected.
func (b *binder) rejected(w *workload, id *pb.BindID) { b.durable.forget(w, id) }

// stop stops a workload's last bind on its node.
func (b *binder) stop(w *workload) {
	w.bindState = bindStopRequested
	b.sender.stop(w.lastNode(), b.workloads.bindID(w))
}

// stopPending cancels a workload's last bind if the node has not accepted it yet. An accepted workload continues to
// run.
func (b *binder) stopPending(w *workload) {
	w.bindState = bindStopRequested
	b.sender.stopPending(w.lastNode(), b.workloads.bindID(w))
}
