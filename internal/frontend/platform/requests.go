package platform

import (
	"errors"
	"fmt"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

var (
	errUnknownClass = errors.New("the class is not among the settings' classes")
	errTooLarge     = errors.New("no kind of node has that many cores and that much memory")
	errTagInUse     = errors.New("the tag is that of another request on this connection")
)

// requestHandler handles the messages of clients, and sends them answers and notifications.
type requestHandler struct {
	*environment
	clients   *clientConns
	workloads *workloadTable
	lifecycle *lifecycle
	binder    *binder
	classes   map[string]placement.GroupID
}

func newRequestHandler(
	env *environment, clients *clientConns, workloads *workloadTable, lifecycle *lifecycle, binder *binder,
) *requestHandler {
	h := &requestHandler{
		environment: env,
		clients:     clients,
		workloads:   workloads,
		lifecycle:   lifecycle,
		binder:      binder,
		classes:     map[string]placement.GroupID{},
	}
	for i, name := range env.config.Settings.GroupNames {
		h.classes[name] = placement.GroupID(i)
	}
	return h
}

// received handles a message from a client.
func (h *requestHandler) received(now placement.Millis, c *clientConn, m codec.Message) {
	c.active = true
	tag := m.Envelope().Tag
	switch m := m.(type) {
	case *codec.PlaceRequest:
		h.place(now, c, m)
	case *codec.AdoptRequest:
		h.adopt(now, c, m)
	case *codec.Termination:
		w := h.workloads.tagged(tag)
		if w == nil || !w.running() && w.client != c.id {
			return
		}
		// A running workload is ended on any connection, a pending request only on its own.
		h.withdraw(now, w)
	case *codec.HealthCheck:
		h.lifecycle.checkHealth(c.id, tag)
	case *codec.HealthReply, *codec.Ignorable:
	case *codec.Invalid:
		h.rejectInvalid(now, c, tag, m.Err)
	default:
		h.rejectInvalid(now, c, tag, fmt.Errorf("%w: %T", codec.ErrUnexpected, m))
		return
	}
	h.clients.flushUndelivered(now, c)
}

// rejectInvalid answers a message that breaks the protocol, and closes the connection that it came on.
func (h *requestHandler) rejectInvalid(now placement.Millis, c *clientConn, tag codec.Tag, err error) {
	h.counters.Invalid++
	h.log.Debug("invalid message of a client", "workload", tag, "client", c.id, "error", err)
	h.net.Send(c.id, codec.NewTermination(tag, codec.CauseInvalid))
	h.clients.disconnect(now, c)
}

// place handles the request to place a workload.
func (h *requestHandler) place(now placement.Millis, c *clientConn, r *codec.PlaceRequest) {
	w, err := h.workloadOf(&r.Task)
	switch {
	case err != nil:
		h.rejectInvalid(now, c, r.Tag, err)
	case h.net.IsClosed(c.id):
		// The end of the client's connection was read and waits behind this message. A bind would take capacity from a
		// client that is there, and then be abandoned.
		h.counters.Withdrawn++
	case h.workloads.tagged(r.Tag) != nil:
		h.rejectTag(now, c, h.workloads.tagged(r.Tag))
	case h.lifecycle.rejecting(now) || h.workloads.full() || h.workloads.idsExhausted():
		h.net.Send(c.id, codec.NewTermination(r.Tag, codec.CauseNoCapacity))
	default:
		// The client's timeout runs from when it sent the request: what this waited to be handled is over.
		w.PendingTimeout = r.Timeout - max(0, now-h.net.ReceivedAt())
		added := h.workloads.addRequest(r.Tag, &r.Task, c.id)
		c.unanswered[added.id] = added
		h.counters.Requests++
		w.ID = added.id
		h.host.Engine().Schedule(now, w)
	}
}

// adopt handles the statement that a workload runs on a node already.
func (h *requestHandler) adopt(now placement.Millis, c *clientConn, r *codec.AdoptRequest) {
	w, err := h.workloadOf(&r.Task)
	switch {
	case err != nil:
		h.rejectInvalid(now, c, r.Tag, err)
	case h.workloads.tagged(r.Tag) != nil: // it is held already
	case h.workloads.idsExhausted():
		h.net.Send(c.id, codec.NewTermination(r.Tag, codec.CauseNoCapacity))
	default:
		added := h.workloads.addRunning(r.Tag, &r.Task, c.id)
		c.placed++
		h.counters.Adopted++
		w.ID = added.id
		h.binder.adopt(now, added, w, r.Node)
	}
}

// rejectTag rejects a request under the tag of another one. On the same connection their answers could not be told
// apart, so it is closed.
func (h *requestHandler) rejectTag(now placement.Millis, c *clientConn, held *workload) {
	if held.client == c.id && !held.answered {
		h.rejectInvalid(now, c, held.tag, errTagInUse)
		return
	}
	h.net.Send(c.id, codec.NewTermination(held.tag, codec.CauseInvalid))
}

// workloadOf returns a task as the engine knows it, without an id. A figure out of range must not reach the engine:
// it would stay in the sums that decisions are made by.
func (h *requestHandler) workloadOf(t *codec.Task) (placement.Workload, error) {
	class, known := h.classes[t.Class]
	if !known {
		return placement.Workload{}, fmt.Errorf("%w: %.40q", errUnknownClass, t.Class)
	}
	for _, kind := range h.config.Settings.NodeKinds {
		if t.Cores <= kind.Cores && t.Memory <= kind.Memory {
			return placement.Workload{
				Service: placement.ServiceID(t.Service),
				Group:   class,
				Cores:   t.Cores,
				Memory:  t.Memory,
				Retried: t.Retried,
			}, nil
		}
	}
	return placement.Workload{}, fmt.Errorf("%w: %v cores, %v of memory", errTooLarge, t.Cores, t.Memory)
}

// cancelAll withdraws requests, in the order of their ids.
func (h *requestHandler) cancelAll(now placement.Millis, unanswered map[placement.WorkloadID]*workload) {
	for _, w := range frontend.SortedValues(unanswered) {
		h.withdraw(now, w)
	}
}

// withdraw ends a workload or the request for it, as its client wants.
func (h *requestHandler) withdraw(now placement.Millis, w *workload) {
	h.counters.Withdrawn++
	h.markAnswered(w)
	h.host.Engine().Withdraw(now, w.id)
}

// markAnswered records that a request needs no answer any more.
func (h *requestHandler) markAnswered(w *workload) {
	if c := h.clients.get(w.client); c != nil {
		delete(c.unanswered, w.id)
	}
	h.workloads.markAnswered(w)
}

// answer sends the final answer to a request.
func (h *requestHandler) answer(w *workload, v allocator.Verdict) {
	h.markAnswered(w)
	h.counters.CountAnswer(v)
	switch v {
	case allocator.Placed:
		if c := h.clients.get(w.client); c != nil {
			c.placed++
		}
		h.net.Send(w.client, codec.NewConfirmation(w.tag, w.replyDescription))
	case allocator.Rejected:
		h.net.Send(w.client, codec.NewTermination(w.tag, codec.CauseNoCapacity))
	default:
		h.net.Send(w.client, codec.NewTermination(w.tag, codec.CauseReset))
	}
}

// notifyMigration notifies a client that its workload is migrated. The platform ends the workload at its node too,
// and the node then reports the end.
func (h *requestHandler) notifyMigration(w *workload) {
	w.migrate()
	h.clients.notify(w, codec.NewMigration(w.tag))
}

// notifyEnd notifies a client that its workload has ended, unless it was notified of a migration or ended it itself.
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
