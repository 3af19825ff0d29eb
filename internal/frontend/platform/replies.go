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

// loadUse says what became of the load report of a node's message while the message was handled.
type loadUse uint8

const (
	loadUnused loadUse = iota // the engine still has to be passed it
	loadUsed                  // the engine was passed it with an event
	loadVoid                  // it does not count, since the connection was closed for the message
)

// received handles a message from a node.
func (h *replyHandler) received(now placement.Millis, c *nodeConn, message codec.Message) {
	if invalid, ok := message.(*codec.Invalid); ok {
		h.conns.disconnect(now, c, invalid.Err)
		return
	}
	load := message.Envelope().Load
	if h.handle(now, c, message) == loadUnused && load != nil {
		h.host.Engine().ReportLoad(now, c.node.id, *load)
	}
	h.conns.closeReplaced(c)
}

// handle handles a message about a health check or a bind.
func (h *replyHandler) handle(now placement.Millis, c *nodeConn, message codec.Message) loadUse {
	if reply, ok := message.(*codec.HealthReply); ok {
		return h.healthReplied(now, c, reply)
	}
	w := h.workloads.tagged(message.Envelope().Tag)
	if w == nil || !w.concernedBy(c) {
		return loadUnused // unknown, ended before, or about an abandoned bind
	}
	switch message := message.(type) {
	case *codec.Confirmation:
		return h.confirmed(now, c, w, message)
	case *codec.Termination:
		return h.terminated(now, w, message)
	case *codec.UsageReport:
		if w.running() {
			h.host.Engine().ReportUsage(now, w.id, w.bind.number, message.Kind, message.Value)
		}
	}
	return loadUnused
}

// healthReplied handles the reply to a health check.
func (h *replyHandler) healthReplied(now placement.Millis, c *nodeConn, reply *codec.HealthReply) loadUse {
	if h.checks.completed(now, c.node, reply) {
		return loadUsed
	}
	return loadUnused
}

// confirmed handles the confirmation of an offer. One without a description breaks the protocol, and the connection is
// closed.
func (h *replyHandler) confirmed(
	now placement.Millis, c *nodeConn, w *workload, confirmation *codec.Confirmation,
) loadUse {
	if w.bind.state != bindSent {
		return loadUnused
	}
	description, present := confirmation.Description.Text()
	if !present {
		h.conns.disconnect(now, c, errNoDescription)
		return loadVoid
	}
	w.replyDescription = description
	w.confirm(now)
	h.host.Engine().BindConfirmed(now, w.id, w.bind.number, confirmation.Load)
	return loadUsed
}

// terminated handles the end of a running workload, or the rejection of an offer.
func (h *replyHandler) terminated(now placement.Millis, w *workload, termination *codec.Termination) loadUse {
	running := w.running()
	switch {
	case running:
		w.bind.endCause = termination.Cause
	case w.bind.state == bindSent:
		w.endBind()
	default:
		return loadUnused
	}
	h.binder.reportEnd(now, w, placement.Result{
		Kind:   resultOf(termination.Cause),
		Reason: termination.Reason,
		Final:  running,
		Load:   termination.Load,
	})
	return loadUsed
}

// resultOf returns the result of an offer that a node answers with a termination of that cause. It is used for the end
// of a running workload too, where it has no effect: the engine takes any end of a placed workload as placement.Ended.
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
