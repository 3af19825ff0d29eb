package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// reconciler compares the workloads in a node's hello with those that the engine holds there.
type reconciler struct {
	*environment
	workloads *workloadTable
	clients   *clientSessions
	catalog   *catalog
	binder    *binder
	sender    *nodeSender
	gangParts *gangParts
	recovery  *gangRecovery
}

// bindRef names a workload's bind by its number.
type bindRef struct {
	workload placement.WorkloadID
	bind     int
}

// reconcile handles the workloads of ours that a node runs. Those that it does not name have ended; those that it names
// and the engine does not hold are adopted or stopped.
func (r *reconciler) reconcile(now placement.Millis, n *node, reported []*pb.RunningWorkload) {
	named := map[bindRef]bool{}
	var unknown []*pb.RunningWorkload
	for _, running := range reported {
		offer := running.GetOffer()
		w, bind, found := r.workloads.find(n.id, offer.GetBind())
		switch {
		case found && r.host.Engine().IsPlaced(w.id, bind):
			named[bindRef{w.id, bind}] = true
			r.repeatLost(n, w, running)
		case offer.GetBind() != nil && offer.Request != nil:
			unknown = append(unknown, running)
		}
	}
	r.reportEnds(endInterrupted, func() {
		r.host.Engine().ReconcileNode(now, n.id, func(id placement.WorkloadID, bind int) bool {
			return named[bindRef{id, bind}]
		})
	})
	for _, running := range unknown {
		r.adoptOrStop(now, n, running)
	}
}

// repeatLost repeats what may have been lost with the node's last connection, for a workload that the engine holds on
// the node: its stop, the node's report that it runs, and the confirmation of its gang.
func (r *reconciler) repeatLost(n *node, w *workload, running *pb.RunningWorkload) {
	switch {
	case w.bindState == bindStopRequested:
		r.sender.stop(n.id, running.Offer.Bind)
	case running.Running:
		r.gangParts.running(w)
		r.gangParts.repeatConfirmation(n, w, running)
	}
}

// adoptOrStop handles a workload that the engine does not hold: an unwanted one is stopped, any other is adopted.
func (r *reconciler) adoptOrStop(now placement.Millis, n *node, running *pb.RunningWorkload) {
	if r.unwanted(running.Offer) {
		r.sender.stop(n.id, running.Offer.Bind)
		return
	}
	if r.workloads.adoptionIDsExhausted() {
		r.log.Error("workload not adopted", "node", n.id, "client", running.Offer.Client,
			"reason", "no workload id is left; restart the allocator")
		return
	}
	r.adopt(now, n, running)
}

// unwanted reports whether a workload that the engine does not hold is to be stopped:
//   - its client withdrew it, and the stop was lost with the connection;
//   - it is a duplicate, as this incarnation abandoned its bind or holds a workload of its key; and it is a part of a
//     gang, which must not run in part, or of a group whose duplicates are stopped.
func (r *reconciler) unwanted(offer *pb.Offer) bool {
	ours := offer.Bind.Incarnation == r.config.Incarnation
	if ours && r.clients.withdrew(offer.Client, offer.Request.RequestId) {
		return true
	}
	duplicate := ours || r.workloads.hasKey(offer.Request.Key)
	group := r.catalog.groupID(offer.Request.Group)
	return duplicate && (offer.Gang != nil || r.host.Engine().StopsDuplicates(group))
}

// adopt has the engine hold a workload that was found on a node.
func (r *reconciler) adopt(now placement.Millis, n *node, running *pb.RunningWorkload) {
	w := r.workloads.adopt(now, n.id, running.Offer)
	r.recorder.request(now, w)
	r.binder.outdate(w.request.Service)
	r.host.Engine().Adopt(now, r.catalog.workload(w.id, w.request), n.id)
	if running.Running {
		r.host.Engine().ReportUsage(now, w.id, 0, placement.Running, 1)
	}
	if running.Offer.Gang != nil {
		r.recovery.partFound(now, w, running)
	}
}
