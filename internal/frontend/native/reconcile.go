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

// bindRef identifies a bind by its workload and number.
type bindRef struct {
	workload placement.WorkloadID
	bind     int
}

// reconcile handles the list of this allocator's workloads in a node's hello. Workloads that the engine has placed
// there and that are not listed have ended. Listed workloads that the engine has not placed there are adopted or
// stopped.
func (r *reconciler) reconcile(now placement.Millis, n *node, reported []*pb.RunningWorkload) {
	listed := map[bindRef]bool{}
	var unplaced []*pb.RunningWorkload
	for _, running := range reported {
		offer := running.GetOffer()
		w, bind, found := r.workloads.findByBind(n.id, offer.GetBind())
		switch {
		case found && r.host.Engine().IsPlaced(w.id, bind):
			listed[bindRef{w.id, bind}] = true
			r.resendLost(n, w, running)
		case offer.GetBind() != nil && offer.Request != nil:
			unplaced = append(unplaced, running)
		}
	}
	r.reportEnds(endInterrupted, func() {
		r.host.Engine().ReconcileNode(now, n.id, func(id placement.WorkloadID, bind int) bool {
			return listed[bindRef{id, bind}]
		})
	})
	for _, running := range unplaced {
		r.adoptOrStop(now, n, running)
	}
}

// resendLost repeats the messages about a placed workload that may have been lost with the node's last connection: its
// stop, the node's report that it runs, and the confirmation of its gang.
func (r *reconciler) resendLost(n *node, w *workload, running *pb.RunningWorkload) {
	switch {
	case w.bindState == bindStopRequested:
		r.sender.stop(n.id, running.Offer.Bind)
	case running.Running:
		r.gangParts.reportRunning(w)
		r.gangParts.resendConfirmation(n, w, running)
	}
}

// adoptOrStop adopts a workload that the engine has not placed on the node, or stops it if shouldStop returns true.
func (r *reconciler) adoptOrStop(now placement.Millis, n *node, running *pb.RunningWorkload) {
	if r.shouldStop(running.Offer) {
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

// shouldStop reports whether a workload that the engine has not placed on the node is to be stopped:
//   - its client withdrew it, and the stop was lost with the connection; or
//   - it is a duplicate, and either part of a gang, which must not run partially, or of a group whose duplicates are
//     stopped. It is a duplicate if this incarnation abandoned its bind or has a workload with its key.
func (r *reconciler) shouldStop(offer *pb.Offer) bool {
	ours := offer.Bind.Incarnation == r.config.Incarnation
	if ours && r.clients.hasWithdrawn(offer.Client, offer.Request.RequestId) {
		return true
	}
	duplicate := ours || r.workloads.hasKey(offer.Request.Key)
	group := r.catalog.groupID(offer.Request.Group)
	return duplicate && (offer.Gang != nil || r.host.Engine().StopsDuplicates(group))
}

// adopt adds a workload that was found on a node to the engine.
func (r *reconciler) adopt(now placement.Millis, n *node, running *pb.RunningWorkload) {
	w := r.workloads.adopt(now, n.id, running.Offer)
	r.recorder.request(now, w)
	r.binder.invalidate(w.request.Service)
	r.host.Engine().Adopt(now, r.catalog.workload(w.id, w.request), n.id)
	if running.Running {
		r.host.Engine().ReportUsage(now, w.id, 0, placement.Running, 1)
	}
	if running.Offer.Gang != nil {
		r.recovery.partFound(now, w, running)
	}
}
