package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// replyHandler handles what nodes report of binds and workloads, and hands it to the engine.
type replyHandler struct {
	*environment
	workloads *workloadTable
	binder    *binder
	gangParts *gangParts
}

// findBind finds the bind that a node's message is about. Messages about no bind of ours are counted.
func (h *replyHandler) findBind(n *node, id *pb.BindID) (w *workload, bind int, ok bool) {
	w, bind, ok = h.workloads.find(n.id, id)
	if !ok {
		h.counters.UnmatchedReplies++
		h.log.Debug("unknown bind in message of node", "node", n.id,
			"incarnation", id.GetIncarnation(), "workload", id.GetWorkload(), "bind", id.GetNumber())
	}
	return w, bind, ok
}

// offerReplied handles a node's reply to an offer. The load report that comes with it counts also if the bind is
// unknown.
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
		// A node may not reject what it accepted. The workload's end will be reported by itself.
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

// offerRejected records a node's rejection of an offer, and undoes the bind.
func (h *replyHandler) offerRejected(now placement.Millis, n *node, offered *workload, reply *pb.OfferReply) {
	n.lastRejection = reply.Text
	h.recorder.nodeRejection(now, offered, n.id, reply.Text)
	h.binder.rejected(offered, reply.Bind)
}

// ended handles the end of a workload that its node reports. One that was placed needs no further step; the end of any
// other is an offer's unknown outcome, after which the workload may be placed elsewhere.
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

// usageReported handles what a node reports of a running workload.
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
		h.gangParts.running(w)
	}
}
