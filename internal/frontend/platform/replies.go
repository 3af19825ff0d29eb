package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// replyHandler passes to the engine what nodes send: replies to offers, ends of workloads, load reports and
// measurements.
type replyHandler struct {
	*environment
	workloads *workloadTable
	conns     *nodeConns
	binder    *binder
	checks    *healthChecker
}

// received handles a message from a node.
func (h *replyHandler) received(now placement.Millis, c *nodeConn, message codec.Message) {
	if invalid, ok := message.(*codec.Invalid); ok {
		h.conns.disconnect(now, c, invalid.Err)
		return
	}
	load := message.Envelope().Load
	if !h.handle(now, c, message) && load != nil {
		h.host.Engine().ReportLoad(now, c.node.id, *load)
	}
	h.conns.closeReplaced(c)
}

// handle handles a message about a health check or a bind. It returns whether nothing is left to do with the message's
// load report: it was passed to the engine, or the connection was closed.
func (h *replyHandler) handle(now placement.Millis, c *nodeConn, message codec.Message) (loadHandled bool) {
	if reply, ok := message.(*codec.HealthReply); ok {
		return h.checks.completed(now, c.node, reply)
	}
	w := h.workloads.tagged(message.Envelope().Tag)
	if w == nil || !w.concernedBy(c) {
		return false // unknown, ended before, or about an abandoned bind
	}
	switch message := message.(type) {
	case *codec.Confirmation:
		return h.confirmed(now, c, w, message)
	case *codec.Termination:
		return h.terminated(now, w, message)
	case *codec.Note:
		if w.running() {
			h.host.Engine().ReportUsage(now, w.id, w.bind.number, message.Kind, message.Value)
		}
	}
	return false
}

// confirmed handles the confirmation of an offer. One without a description breaks the protocol, and the connection is
// closed. It returns as handle does.
func (h *replyHandler) confirmed(
	now placement.Millis, c *nodeConn, w *workload, confirmation *codec.Confirmation,
) (loadHandled bool) {
	if w.bind.state != bindSent {
		return false
	}
	description, present := confirmation.Description.Text()
	if !present {
		h.conns.disconnect(now, c, errNoDescription)
		return true
	}
	w.replyDescription = description
	w.confirm(now)
	h.host.Engine().BindConfirmed(now, w.id, w.bind.number, confirmation.Load)
	return true
}

// terminated handles the end of a running workload, or the rejection of an offer. It returns as handle does.
func (h *replyHandler) terminated(
	now placement.Millis, w *workload, termination *codec.Termination,
) (loadHandled bool) {
	running := w.running()
	switch {
	case running:
		w.bind.endCause = termination.Cause
	case w.bind.state == bindSent:
		w.endBind()
	default:
		return false
	}
	h.binder.reportEnd(now, w, placement.Result{
		Kind:   resultOf(termination.Cause),
		Reason: termination.Reason,
		Final:  running,
		Load:   termination.Load,
	})
	return true
}

// resultOf returns the result of an open offer that a termination of that cause ends.
func resultOf(cause codec.Cause) placement.ResultKind {
	switch cause {
	case codec.CauseNoCapacity:
		return placement.RejectedByNode
	case codec.CauseNotDelivered:
		return placement.NotAttempted
	case codec.CauseNone, codec.CauseNormal, codec.CauseCancelled,
		codec.CauseReset, codec.CauseError, codec.CauseInvalid:
		return placement.OutcomeUnknown
	default: // nodes may send causes that the protocol does not name
		return placement.OutcomeUnknown
	}
}
