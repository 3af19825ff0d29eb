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
			client.confirmed++
		}
		h.net.Send(w.client, codec.NewConfirmation(w.tag, w.texts.replyDescription))
	case allocator.Rejected:
		h.net.Send(w.client, codec.NewTermination(w.tag, codec.CauseNoCapacity))
	case allocator.Unschedulable:
		h.net.Send(w.client, codec.NewTermination(w.tag, codec.CauseReset))
	}
	h.workloads.dropTexts(w)
}

// notifyMigration notifies a client that its workload will be migrated. The platform itself ends the workload at its
// node, which then reports the end.
func (h *requestHandler) notifyMigration(w *workload) {
	w.migrate()
	h.clients.notify(w.client, codec.NewMigration(w.tag))
}

// notifyEnd notifies a client that its workload has ended, unless it was notified of a migration.
func (h *requestHandler) notifyEnd(w *workload) {
	if w.bind.state != bindMigrating {
		h.clients.notifyEnd(ended{
			client:     w.client,
			tag:        w.tag,
			cause:      w.bind.endCause,
			unverified: w.unverified(),
			released:   w.abandonedAt(w.bind.node),
		})
	}
}
