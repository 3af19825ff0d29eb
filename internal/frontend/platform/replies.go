package platform

import (
	"slices"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// replyHandler handles messages from nodes: replies to offers, ends of workloads, usage reports, health replies and
// load reports. It passes them to the engine.
type replyHandler struct {
	*environment
	workloads *workloadTable
	conns     *nodeConns
	binder    *binder
	adoptions *adoptions
	checks    *healthChecker
}

// loadDisposition states how the handling of a node's message treated the load report in it.
type loadDisposition uint8

const (
	loadPending   loadDisposition = iota // not passed to the engine yet
	loadReported                         // passed to the engine together with another event
	loadDiscarded                        // not to be passed to the engine: the message was invalid
)

// received handles a message from a node.
func (h *replyHandler) received(now placement.Millis, c *nodeConn, message codec.Message) {
	if invalid, ok := message.(*codec.Invalid); ok {
		h.conns.disconnect(now, c, invalid.Err)
		return
	}
	load := message.Envelope().Load
	if h.handle(now, c, message) == loadPending && load != nil {
		h.host.Engine().ReportLoad(now, c.node.id, *load)
	}
	h.conns.closeReplaced(c)
}

// handle handles a message about a health check or a bind. Of messages that do not concern the last bind of a workload,
// only the load report is used.
func (h *replyHandler) handle(now placement.Millis, c *nodeConn, message codec.Message) loadDisposition {
	if reply, ok := message.(*codec.HealthReply); ok {
		return h.healthReplied(now, c, reply)
	}
	w := h.workloads.getByTag(message.Envelope().Tag)
	if w == nil {
		w = h.handedOver(now, c, message)
	}
	if w == nil || !w.acceptsMessage(c, message) {
		h.releaseCopy(now, c, w, message)
		return loadPending // unknown or ended workload, or abandoned bind
	}
	switch message := message.(type) {
	case *codec.Confirmation:
		return h.confirmed(now, c, w, message)
	case *codec.Termination:
		return h.terminated(now, w, message)
	case *codec.UsageReport:
		if w.running() {
			h.adoptions.verify(w)
			h.host.Engine().ReportUsage(now, w.id, w.bind.number, message.Kind, message.Value)
		}
	}
	return loadPending
}

// releaseCopy releases a workload that a node confirms although its bind was given up or the workload runs elsewhere:
// the termination that was sent then may be lost. w is the workload with the tag, or nil. A node to which the workload
// is bound again gets none, since it could not tell the two binds apart.
func (h *replyHandler) releaseCopy(now placement.Millis, c *nodeConn, w *workload, message codec.Message) {
	confirmation, ok := message.(*codec.Confirmation)
	if !ok || w != nil && w.bind.node == c.node || h.adoptions.handovers.contains(confirmation.Tag) ||
		slices.Contains(c.released[:], confirmation.Tag) {
		return
	}
	h.counters.ReleasedCopies++
	h.conns.releaseTag(now, release{node: c.node, preferred: c, tag: confirmation.Tag})
}

// handedOver handles a message about the workload of a compact handover. It returns the workload if it was passed to
// the engine, or nil.
func (h *replyHandler) handedOver(now placement.Millis, c *nodeConn, message codec.Message) *workload {
	switch message := message.(type) {
	case *codec.Termination:
		h.adoptions.terminated(c.node, message)
	case *codec.UsageReport:
		return h.adoptions.reportedOn(now, c.node, message.Tag)
	}
	return nil
}

// healthReplied handles the reply to a health check.
func (h *replyHandler) healthReplied(now placement.Millis, c *nodeConn, reply *codec.HealthReply) loadDisposition {
	if h.checks.completed(now, c.node, reply) {
		return loadReported
	}
	return loadPending
}

// confirmed handles the confirmation of an offer. A confirmation without a description is invalid, and its connection
// is closed.
func (h *replyHandler) confirmed(
	now placement.Millis, c *nodeConn, w *workload, confirmation *codec.Confirmation,
) loadDisposition {
	if w.bind.state != bindSent {
		return loadPending
	}
	description, present := confirmation.Description.Text()
	if !present {
		h.conns.disconnect(now, c, errNoDescription)
		return loadDiscarded
	}
	h.workloads.setReplyDescription(w, description)
	w.confirm(now)
	h.conns.watch(now, c.node)
	h.host.Engine().BindConfirmed(now, w.id, w.bind.number, confirmation.Load)
	return loadReported
}

// terminated handles a termination, which ends a running workload or rejects an offer.
func (h *replyHandler) terminated(now placement.Millis, w *workload, termination *codec.Termination) loadDisposition {
	running := w.running()
	switch {
	case running:
		w.bind.endCause = termination.Cause
	case w.bind.state == bindSent:
		w.endBind()
	default:
		return loadPending
	}
	h.binder.reportEnd(now, w, placement.Result{
		Kind:   resultOf(termination.Cause),
		Reason: termination.Reason,
		Final:  running,
		Load:   termination.Load,
	})
	return loadReported
}

// resultOf returns the result of an offer that a node rejects with the given cause. For the end of a running workload
// the result has no effect, since the engine treats any end of a placed workload as placement.Ended.
func resultOf(cause codec.Cause) placement.ResultKind {
	switch cause {
	case codec.CauseNoCapacity:
		return placement.RejectedByNode
	case codec.CauseNotDelivered:
		return placement.NotAttempted
	case codec.CauseNone, codec.CauseNormal, codec.CauseCancelled,
		codec.CauseReset, codec.CauseError, codec.CauseInvalid:
		return placement.OutcomeUnknown
	default: // nodes may send causes that the protocol does not define
		return placement.OutcomeUnknown
	}
}
