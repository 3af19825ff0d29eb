package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// reconciler compares the workloads in a node's hello with those that the engine holds there.
type reconciler struct {
	*core
	workloads *workloadTable
	binds     *binds
	clients   *clientSessions
	gangs     *gangs
	recovery  *gangRecovery
	catalog   *catalog
}

// bindRef names a workload's bind by its number.
type bindRef struct {
	workload placement.WorkloadID
	bind     int
}

// reconcile takes the workloads of ours that a node runs. Those that it does not name have ended; those that it names and
// the engine does not hold are adopted or stopped.
func (r *reconciler) reconcile(now placement.Millis, n *node, running []*pb.RunningWorkload) {
	named := map[bindRef]bool{}
	var unknown []*pb.RunningWorkload
	for _, s := range running {
		offer := s.GetOffer()
		wl, bind, found := r.workloads.find(n.id, offer.GetBind())
		switch {
		case found && r.Engine().IsPlaced(wl.id, bind):
			named[bindRef{wl.id, bind}] = true
			r.held(n, wl, s)
		case offer.GetBind() != nil && offer.Request != nil:
			unknown = append(unknown, s)
		}
	}
	r.reportEnds(true, func() {
		r.Engine().ReconcileNode(now, n.id, func(id placement.WorkloadID, bind int) bool { return named[bindRef{id, bind}] })
	})
	for _, s := range unknown {
		r.notHeld(now, n, s)
	}
}

// held repeats what may have been lost with the node's last connection, for a workload that the engine holds there.
func (r *reconciler) held(n *node, wl *workload, s *pb.RunningWorkload) {
	switch {
	case wl.bindState == bindStopRequested:
		r.binds.stop(n.id, s.Offer.Bind, false)
	case s.Running:
		r.gangs.partRunning(wl)
		r.gangs.repeatConfirmation(n, wl, s)
	}
}

// notHeld handles a workload that the engine does not hold: one that nobody wants is stopped, any other is adopted.
func (r *reconciler) notHeld(now placement.Millis, n *node, s *pb.RunningWorkload) {
	if r.unwanted(s.Offer) {
		r.binds.stop(n.id, s.Offer.Bind, false)
		return
	}
	if r.workloads.adoptionIDsExhausted() {
		r.log.Error("workload not adopted", "node", n.id, "client", s.Offer.Client,
			"reason", "no workload id is left; restart the allocator")
		return
	}
	r.adopt(now, n, s)
}

// unwanted reports whether a workload that the engine does not hold is to be stopped:
//   - its client withdrew it, and the stop was lost with the connection;
//   - it is a copy that this incarnation gave up, or of a workload that is held elsewhere, and it is part of a gang, which
//     must not run in part, or a stop can still limit its effect.
func (r *reconciler) unwanted(o *pb.Offer) bool {
	ours := o.Bind.Incarnation == r.config.Incarnation
	if ours && r.clients.withdrew(o.Client, o.Request.RequestId) {
		return true
	}
	givenUp := ours || r.workloads.hasKey(o.Request.Key)
	return givenUp && (o.Gang != nil || r.Engine().StopsDuplicates(r.catalog.groupID(o.Request.Group)))
}

// adopt has the engine hold a workload that was found on a node.
func (r *reconciler) adopt(now placement.Millis, n *node, s *pb.RunningWorkload) {
	wl := r.workloads.adopt(now, n.id, s.Offer)
	r.recorder.request(now, wl)
	r.binds.outdate(wl.request.Service)
	r.Engine().Adopt(now, r.catalog.workload(wl.id, wl.request), n.id)
	if s.Running {
		r.Engine().ReportUsage(now, wl.id, 0, placement.Running, 1)
	}
	if s.Offer.Gang != nil {
		r.recovery.partFound(now, wl, s)
	}
}
