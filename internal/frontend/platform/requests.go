package platform

import (
	"errors"
	"fmt"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// Reasons why a request is invalid.
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
	classes   frontend.GroupIDs
}

// newRequestHandler returns a handler of requests for the classes of the settings.
func newRequestHandler(
	env *environment, clients *clientConns, workloads *workloadTable, lifecycle *lifecycle, binder *binder,
) *requestHandler {
	return &requestHandler{
		environment: env,
		clients:     clients,
		workloads:   workloads,
		lifecycle:   lifecycle,
		binder:      binder,
		classes:     frontend.NewGroupIDs(env.config.Settings.GroupNames),
	}
}

// received handles a message from a client. One that breaks the protocol ends its connection.
func (h *requestHandler) received(now placement.Millis, client *clientConn, message codec.Message) {
	client.active = true
	tag := message.Envelope().Tag
	switch message := message.(type) {
	case *codec.PlaceRequest:
		h.place(now, client, message)
	case *codec.AdoptRequest:
		h.adopt(now, client, message)
	case *codec.Termination:
		if !h.terminate(now, client, tag) {
			return // a message without effect does not show that the client expects notifications
		}
	case *codec.HealthCheck:
		h.lifecycle.checkHealth(client.id, tag)
	case *codec.HealthReply, *codec.Ignorable:
	case *codec.Invalid:
		h.rejectInvalid(now, client, tag, message.Err)
	default:
		h.rejectInvalid(now, client, tag, fmt.Errorf("%w: %T", codec.ErrUnexpected, message))
	}
	h.clients.flushUndelivered(now, client)
}

// terminate withdraws a workload that its client terminates: a running workload on any connection, a pending request
// only on its own. It returns false if there is no such workload.
func (h *requestHandler) terminate(now placement.Millis, client *clientConn, tag codec.Tag) bool {
	w := h.workloads.tagged(tag)
	if w == nil || !w.running() && w.client != client.id {
		return false
	}
	h.withdraw(now, w)
	return true
}

// rejectInvalid answers a message that breaks the protocol, and closes the connection that it was received on.
func (h *requestHandler) rejectInvalid(now placement.Millis, client *clientConn, tag codec.Tag, err error) {
	h.counters.Invalid++
	h.log.Debug("invalid message of a client", "workload", tag, "client", client.id, "error", err)
	h.net.Send(client.id, codec.NewTermination(tag, codec.CauseInvalid))
	h.clients.disconnect(now, client)
}

// place handles the request to place a workload.
func (h *requestHandler) place(now placement.Millis, client *clientConn, request *codec.PlaceRequest) {
	requested, err := h.engineWorkload(&request.Task)
	earlier := h.workloads.tagged(request.Tag)
	switch {
	case err != nil:
		h.rejectInvalid(now, client, request.Tag, err)
	case h.net.IsClosed(client.id):
		// The end of the client's connection was read and is queued behind this message. A bind would take capacity
		// from other clients, only to be abandoned.
		h.counters.Withdrawn++
	case earlier != nil:
		h.rejectTagInUse(now, client, earlier)
	case h.lifecycle.rejecting(now) || h.workloads.full() || h.workloads.idsExhausted():
		h.net.Send(client.id, codec.NewTermination(request.Tag, codec.CauseNoCapacity))
	default:
		h.schedule(now, client, request, requested)
	}
}

// schedule adds the workload of a request that is admitted, and hands it to the engine.
func (h *requestHandler) schedule(
	now placement.Millis, client *clientConn, request *codec.PlaceRequest, requested placement.Workload,
) {
	// The client's timeout runs from when it sent the request, so the time in the queue counts.
	requested.PendingTimeout = request.Timeout - max(0, now-h.net.ReceivedAt())
	added := h.workloads.addRequest(request.Tag, &request.Task, client.id)
	client.unanswered[added.id] = added
	h.counters.Requests++
	requested.ID = added.id
	h.host.Engine().Schedule(now, requested)
}

// adopt handles a client's statement that a workload runs on a node already.
func (h *requestHandler) adopt(now placement.Millis, client *clientConn, request *codec.AdoptRequest) {
	running, err := h.engineWorkload(&request.Task)
	switch {
	case err != nil:
		h.rejectInvalid(now, client, request.Tag, err)
	case h.workloads.tagged(request.Tag) != nil:
		// A workload of that tag is held: a second statement about it changes nothing.
	case h.workloads.idsExhausted():
		h.net.Send(client.id, codec.NewTermination(request.Tag, codec.CauseNoCapacity))
	default:
		added := h.workloads.addRunning(request.Tag, &request.Task, client.id)
		client.placed++
		h.counters.Adopted++
		running.ID = added.id
		h.binder.adopt(now, added, running, request.Node)
	}
}

// rejectTagInUse rejects a request under the tag of an earlier one. If both are unanswered on one connection, their
// answers could not be distinguished, so the connection is closed.
func (h *requestHandler) rejectTagInUse(now placement.Millis, client *clientConn, earlier *workload) {
	if earlier.client == client.id && earlier.answer == frontend.AnswerDue {
		h.rejectInvalid(now, client, earlier.tag, errTagInUse)
		return
	}
	h.net.Send(client.id, codec.NewTermination(earlier.tag, codec.CauseInvalid))
}

// engineWorkload returns a task as the engine knows it, without an id. A value out of range must not reach the
// engine: it would stay in the sums that decisions depend on.
func (h *requestHandler) engineWorkload(task *codec.Task) (placement.Workload, error) {
	class, known := h.classes.Lookup(task.Class)
	if !known {
		return placement.Workload{}, fmt.Errorf("%w: %.40q", errUnknownClass, task.Class)
	}
	if !frontend.FitsSomeKind(h.config.Settings.NodeKinds, task.Cores, task.Memory) {
		return placement.Workload{}, fmt.Errorf("%w: %v cores, %v of memory", errTooLarge, task.Cores, task.Memory)
	}
	return placement.Workload{
		Service: placement.ServiceID(task.Service),
		Group:   class,
		Cores:   task.Cores,
		Memory:  task.Memory,
		Retried: task.Retried,
	}, nil
}

// cancelAll withdraws requests, in the order of their ids.
func (h *requestHandler) cancelAll(now placement.Millis, unanswered map[placement.WorkloadID]*workload) {
	for _, w := range frontend.SortedValues(unanswered) {
		h.withdraw(now, w)
	}
}

// withdraw ends a workload, or the request for it, on behalf of its client.
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
