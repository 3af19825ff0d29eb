package platform

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend/platform/codec"
)

// answer sends a client the final answer to its request.
func (h *requestHandler) answer(w *workload, verdict allocator.Verdict) {
	h.markAnswered(w)
	h.counters.CountAnswer(verdict)
	switch verdict {
	case allocator.Placed:
		if client := h.clients.get(w.client); client != nil {
			client.placed++
		}
		h.net.Send(w.client, codec.NewConfirmation(w.tag, w.replyDescription))
	case allocator.Rejected:
		h.net.Send(w.client, codec.NewTermination(w.tag, codec.CauseNoCapacity))
	case allocator.Unschedulable:
		h.net.Send(w.client, codec.NewTermination(w.tag, codec.CauseReset))
	}
}

// notifyMigration notifies a client that its workload will be migrated. The platform itself ends the workload at its
// node, which then reports the end.
func (h *requestHandler) notifyMigration(w *workload) {
	w.migrate()
	h.clients.notify(w, codec.NewMigration(w.tag))
}

// notifyEnd notifies a client that its workload has ended. It sends nothing if the client was notified of a migration
// or ended the workload itself.
func (h *requestHandler) notifyEnd(w *workload) {
	cause := w.bind.endCause
	if cause == codec.CauseNone {
		cause = codec.CauseReset
	}
	if w.bind.state == bindMigrating || cause == codec.CauseCancelled {
		return
	}
	h.counters.Released++
	h.log.Debug("workload ended", "workload", w.tag, "client", w.client, "cause", uint8(cause))
	h.clients.notify(w, codec.NewTermination(w.tag, cause))
}
