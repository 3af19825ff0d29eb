package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// replyHandler passes the reports of nodes about binds and workloads to the engine.
type replyHandler struct {
	*environment
	workloads *workloadTable
	binder    *binder
	gangParts *gangParts
}

// findBind returns the workload and bind number that a node's message refers to. It counts messages that refer to no
// bind of this allocator.
func (h *replyHandler) findBind(n *node, id *pb.BindID) (w *workload, bind int, ok bool) {
	w, bind, ok = h.workloads.findByBind(n.id, id)
	if !ok {
		h.counters.UnmatchedReplies++
		h.log.Debug("node message refers to an unknown bind", "node", n.id,
			"incarnation", id.GetIncarnation(), "workload", id.GetWorkload(), "bind", id.GetNumber())
	}
	return w, bind, ok
}

// offerReplied handles a node's reply to an offer. Its load report is used even if the bind is unknown.
func (h *replyHandler) offerReplied(now placement.Millis, n *node, reply *pb.OfferReply) {
	offered, bind, ok := h.findBind(n, reply.Bind)
	load := loadOf(reply.Load)
	switch {
	case !ok:
		if load != nil {
			h.host.Engine().ReportLoad(now, n.id, *load)
		}
	case reply.Accepted:
		h.host.Engine().BindConfirmed(now, offered.id, bind, load)
	case h.host.Engine().IsPlaced(offered.id, bind):
		// A node may not reject a bind that it accepted. It reports the end of the workload separately.
		h.counters.UnmatchedReplies++
	default:
		h.offerRejected(now, n, offered, reply)
		h.host.Engine().BindEnded(now, offered.id, bind, n.id, placement.Result{
			Kind:   placement.RejectedByNode,
			Reason: reasonOf(reply.Reason),
			Final:  offered.state.withdrawn(),
			Load:   load,
		})
	}
}

// offerRejected records a node's rejection of an offer, and removes the bind's durable record.
func (h *replyHandler) offerRejected(now placement.Millis, n *node, offered *workload, reply *pb.OfferReply) {
	n.lastRejection = reply.Text
	h.recorder.nodeRejection(now, offered, n.id, reply.Text)
	h.binder.rejected(offered, reply.Bind)
}

// ended handles a node's report that a workload has ended. The end of a placed workload is final. For any other
// workload the outcome of its offer is unknown, and the workload may be placed on another node unless it was withdrawn.
func (h *replyHandler) ended(now placement.Millis, n *node, end *pb.End) {
	w, bind, ok := h.findBind(n, end.Bind)
	if !ok {
		return
	}
	result := placement.Result{
		Kind:   placement.OutcomeUnknown,
		Reason: reasonOf(end.Reason),
		Final:  h.host.Engine().IsPlaced(w.id, bind) || w.state.withdrawn(),
		Load:   loadOf(end.Load),
	}
	h.reportEnds(endCauseOf(end.Reason), func() {
		h.host.Engine().BindEnded(now, w.id, bind, n.id, result)
	})
}

// usageReported handles a node's usage report for a workload.
func (h *replyHandler) usageReported(now placement.Millis, n *node, report *pb.UsageReport) {
	w, bind, ok := h.findBind(n, report.Bind)
	if !ok {
		return
	}
	kind, ok := usageKindOf(report.Kind)
	if !ok {
		return
	}
	h.host.Engine().ReportUsage(now, w.id, bind, kind, report.Value)
	if kind == placement.Running && h.host.Engine().IsPlaced(w.id, bind) {
		h.gangParts.reportRunning(w)
	}
}
