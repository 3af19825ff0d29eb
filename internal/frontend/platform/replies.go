package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// replyHandler hands the engine what nodes send: replies to offers, the ends of workloads, load reports and
// measurements.
type replyHandler struct {
	*environment
	workloads *workloadTable
	conns     *nodeConns
	binder    *binder
	checks    *healthChecker
}

// received handles a message from a node.
func (h *replyHandler) received(now placement.Millis, c *nodeConn, m codec.Message) {
	if invalid, ok := m.(*codec.Invalid); ok {
		h.conns.disconnect(now, c, invalid.Err)
		return
	}
	load := m.Envelope().Load
	if !h.handle(now, c, m) && load != nil {
		h.host.Engine().ReportLoad(now, c.node.id, *load)
	}
	h.conns.closeReplaced(c)
}

// handle hands the engine a message about a health check or a bind. It returns whether the message's load report was
// handed over with it, or is not wanted.
func (h *replyHandler) handle(now placement.Millis, c *nodeConn, m codec.Message) bool {
	if reply, ok := m.(*codec.HealthReply); ok {
		return h.checks.completed(now, c.node, reply)
	}
	w := h.workloads.tagged(m.Envelope().Tag)
	if w == nil || !w.concernedBy(c) {
		return false // unknown, ended before, or about an abandoned bind
	}
	switch m := m.(type) {
	case *codec.Confirmation:
		return h.confirmed(now, c, w, m)
	case *codec.Termination:
		return h.terminated(now, w, m)
	case *codec.Note:
		if w.running() {
			h.host.Engine().ReportUsage(now, w.id, w.bind.number, m.Kind, m.Value)
		}
	}
	return false
}

func (h *replyHandler) confirmed(now placement.Millis, c *nodeConn, w *workload, m *codec.Confirmation) bool {
	if w.bind.state != bindSent {
		return false
	}
	description, present := m.Description.Text()
	if !present {
		h.conns.disconnect(now, c, errNoDescription)
		return true
	}
	w.replyDescription = description
	w.confirm(now)
	h.host.Engine().BindConfirmed(now, w.id, w.bind.number, m.Load)
	return true
}

func (h *replyHandler) terminated(now placement.Millis, w *workload, m *codec.Termination) bool {
	running := w.running()
	switch {
	case running:
		w.bind.endCause = m.Cause
	case w.bind.state == bindSent:
		w.endBind()
	default:
		return false
	}
	h.binder.settle(now, w, placement.Result{
		Kind:   resultOf(m.Cause),
		Reason: m.Reason,
		Final:  running,
		Load:   m.Load,
	})
	return true
}

// resultOf returns what the cause of a termination means for an offer that is out.
func resultOf(c codec.Cause) placement.ResultKind {
	switch c {
	case codec.CauseNoCapacity:
		return placement.RejectedByNode
	case codec.CauseNotDelivered:
		return placement.NotAttempted
	default:
		return placement.OutcomeUnknown
	}
}
