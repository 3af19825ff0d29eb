package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// binds carries out the engine's binds: it sends offers and stops to the nodes, and keeps the state of each workload's last
// bind on the way there.
type binds struct {
	*core
	workloads *workloadTable
	nodes     *nodeTable
	durable   *durableBinds
	// persisting are the workloads whose last bind is being written to the journal, also those that the engine has let
	// go of meanwhile.
	persisting map[placement.WorkloadID]*workload
}

// bind offers a workload to a node, which may accept it within the timeout. An offer that must be durable waits for the
// journal first.
func (b *binds) bind(wl *workload, node placement.NodeID, timeout placement.Millis) {
	wl.bindNodes = append(wl.bindNodes, node)
	wl.bindState = bindNotSent
	o := b.workloads.offer(b.Now(), wl)
	o.AcceptWithinMs = float64(timeout)
	if b.durable.required(wl.request.Group) {
		b.persist(wl, node, o)
		return
	}
	b.send(wl, wl.lastBind(), node, o)
}

// persist makes a bind durable and then sends its offer, unless what the placement was decided by has changed meanwhile:
// the bind has ended, the node is no longer ready or was restarted, or more of the service was found running. A bind that
// could not be made durable is not sent.
func (b *binds) persist(wl *workload, node placement.NodeID, o *pb.Offer) {
	began, bind, incarnation := b.Now(), wl.lastBind(), b.nodes.incarnation(node)
	wl.bindState = bindPersisting
	b.persisting[wl.id] = wl
	b.durable.persist(began, wl, node, o.Bind, func(now placement.Millis, err error) {
		b.Begin(now)
		valid := b.finishPersisting(wl, bind, node, incarnation)
		switch {
		case err != nil:
			b.counters.BindsNotPersisted++
			b.log.Error("bind not persisted, offer not sent", "workload", wl.id, "bind", bind, "node", node, "error", err)
			b.notSent(wl, bind, node, o.Bind)
		case !valid:
			b.notSent(wl, bind, node, o.Bind)
		default:
			b.counters.BindsPersisted++
			o.AcceptWithinMs -= float64(now - began)
			b.send(wl, bind, node, o)
		}
		b.Flush(now)
	})
}

// finishPersisting ends the time in which a bind is written to the journal. It reports whether the placement
// decision still holds, so that the offer may be sent.
func (b *binds) finishPersisting(wl *workload, bind int, node placement.NodeID, incarnation uint64) bool {
	if wl.lastBind() != bind {
		return false // a later bind of the workload is on its way
	}
	delete(b.persisting, wl.id)
	n, known := b.nodes.get(node)
	_, held := b.workloads.get(wl.id)
	return held && wl.bindState == bindPersisting && known && n.incarnation == incarnation && n.state() == placement.Ready
}

// outdate keeps binds of a service from being sent that were decided before more of the service was found running.
func (b *binds) outdate(service uint64) {
	for _, wl := range b.persisting {
		if wl.request.Service == service && wl.bindState == bindPersisting {
			wl.bindState = bindOutdated
		}
	}
}

// send sends the offer of a workload's last bind if its node is connected. No offer waits for a connection: it would reach a node that drains or was
// restarted meanwhile, and measured gains were none (docs/review-findings.md).
func (b *binds) send(wl *workload, bind int, node placement.NodeID, o *pb.Offer) {
	n, known := b.nodes.get(node)
	if !known || !n.connected() {
		b.notSent(wl, bind, node, o.Bind)
		return
	}
	wl.bindState = bindSent
	b.network.Send(n.session.conn, &pb.Frame{Body: &pb.Frame_Offer{Offer: o}})
}

// notSent undoes a bind whose offer was never sent. The engine is notified once it is idle. The state of the bind does not
// change if it was cancelled meanwhile, or if the workload has a later bind.
func (b *binds) notSent(wl *workload, bind int, node placement.NodeID, id *pb.BindID) {
	if wl.lastBind() == bind && wl.bindState != bindStopRequested {
		wl.bindState = bindNotSent
	}
	b.durable.forget(wl, id)
	b.Defer(func(now placement.Millis) {
		b.Engine().BindEnded(now, wl.id, bind, node, placement.Result{Kind: placement.NotDelivered})
	})
}

// rejected undoes a bind that its node rejected.
func (b *binds) rejected(wl *workload, id *pb.BindID) { b.durable.forget(wl, id) }

// callOff carries out the engine's stop of a workload's last bind. With onlyWaiting, a node that has accepted it keeps it.
func (b *binds) callOff(wl *workload, onlyWaiting bool) {
	wl.bindState = bindStopRequested
	b.stop(wl.lastNode(), b.workloads.bindID(wl), onlyWaiting)
}

// repeatStop sends the stop of a workload's last bind again: the first one may have been lost.
func (b *binds) repeatStop(wl *workload) { b.stop(wl.lastNode(), b.workloads.bindID(wl), false) }

// stop sends a stop to a node if it is connected. One that is not names the workload at its next hello.
func (b *binds) stop(node placement.NodeID, id *pb.BindID, onlyWaiting bool) {
	if n, known := b.nodes.get(node); known && n.connected() {
		b.network.Send(n.session.conn, &pb.Frame{Body: &pb.Frame_Stop{Stop: &pb.Stop{Bind: id, OnlyWaiting: onlyWaiting}}})
	}
}

// confirmGang notifies a node that the gang of one of its parts runs, so that the part's lease no longer applies.
func (b *binds) confirmGang(node placement.NodeID, id *pb.BindID) {
	if n, known := b.nodes.get(node); known && n.connected() {
		b.network.Send(n.session.conn, &pb.Frame{Body: &pb.Frame_ConfirmGang{ConfirmGang: &pb.ConfirmGang{Bind: id}}})
	}
}
