package platform

import (
	"errors"
	"fmt"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// Reasons for which a request is rejected as invalid. They are only logged.
var (
	errUnknownClass = errors.New("class not defined in the settings")
	errTooLarge     = errors.New("cores and memory do not fit any kind of node")
	errTagInUse     = errors.New("tag in use by an unanswered request on this connection")
)

// requestHandler handles messages from clients, and sends answers and notifications to them.
type requestHandler struct {
	*environment
	clients   *clientConns
	workloads *workloadTable
	lifecycle *lifecycle
	adoptions *adoptions
	classes   frontend.GroupIDs
}

// newRequestHandler returns a handler that accepts requests for the classes of the settings.
func newRequestHandler(
	env *environment, clients *clientConns, workloads *workloadTable, lifecycle *lifecycle, adoptions *adoptions,
) *requestHandler {
	return &requestHandler{
		environment: env,
		clients:     clients,
		workloads:   workloads,
		lifecycle:   lifecycle,
		adoptions:   adoptions,
		classes:     frontend.NewGroupIDs(env.config.Settings.GroupNames),
	}
}

// received handles a message from a client. An invalid message closes the connection.
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
			return // no effect, hence no sign that the client expects notifications on this connection
		}
		client.accepted = true
		client.prove(proven)
	case *codec.HealthCheck:
		client.accepted = true
		h.lifecycle.checkHealth(client.id, tag)
	case *codec.HealthReply, *codec.Ignorable:
	case *codec.Invalid:
		h.rejectInvalid(now, client, tag, message.Err)
	default:
		h.rejectInvalid(now, client, tag, fmt.Errorf("%w: %T", codec.ErrUnexpected, message))
	}
	h.clients.flushUndelivered(now, client)
}

// terminate withdraws a workload at its client's request. A running workload may be terminated on any connection, an
// unanswered request only on the connection that it was received on. It returns false if there is no such workload.
func (h *requestHandler) terminate(now placement.Millis, client *clientConn, tag codec.Tag) bool {
	w := h.workloads.getByTag(tag)
	if w == nil {
		return h.adoptions.withdraw(now, tag)
	}
	if !w.running() && w.client != client.id {
		return false
	}
	h.withdraw(now, w)
	return true
}

// rejectInvalid replies to an invalid message with CauseInvalid and closes its connection, once the client's requests
// on it are answered.
func (h *requestHandler) rejectInvalid(now placement.Millis, client *clientConn, tag codec.Tag, err error) {
	h.counters.Invalid++
	h.log.Debug("invalid message from client", "workload", tag, "client", client.id, "error", err)
	h.net.Send(client.id, codec.NewTermination(tag, codec.CauseInvalid))
	h.clients.endOnceAnswered(now, client, err)
}

// place handles a request to place a workload.
func (h *requestHandler) place(now placement.Millis, client *clientConn, request *codec.PlaceRequest) {
	requested, err := h.engineWorkload(&request.Task)
	if err == nil {
		client.prove(proven)
		client.accepted = true
	}
	earlier := h.workloads.getByTag(request.Tag)
	switch {
	case err != nil:
		h.rejectInvalid(now, client, request.Tag, err)
	case h.net.IsClosed(client.id):
		// The end of the connection was already read and is queued behind this message. A bind would use capacity that
		// other clients need, and would be abandoned as soon as the end is handled.
		h.counters.Withdrawn++
	case earlier != nil:
		h.rejectTagInUse(now, client, earlier)
	case h.adoptions.handovers.contains(request.Tag):
		h.net.Send(client.id, codec.NewTermination(request.Tag, codec.CauseInvalid))
	case h.lifecycle.rejecting(now) || h.workloads.full() || h.workloads.idsExhausted():
		h.net.Send(client.id, codec.NewTermination(request.Tag, codec.CauseNoCapacity))
	default:
		h.schedule(now, client, request, requested)
	}
}

// schedule adds the workload of an accepted request to the table and passes it to the engine.
func (h *requestHandler) schedule(
	now placement.Millis, client *clientConn, request *codec.PlaceRequest, requested placement.Workload,
) {
	// The client's timeout begins when it sends the request, so the time in the event queue is subtracted.
	requested.PendingTimeout = request.Timeout - max(0, now-h.net.ReceivedAt())
	added := h.workloads.addRequest(request.Tag, &request.Task, client.id)
	client.unanswered[added.id] = added
	h.counters.Requests++
	requested.ID = added.id
	h.host.Engine().Schedule(now, requested)
}

// adopt handles a request to adopt a workload that already runs on a node.
func (h *requestHandler) adopt(now placement.Millis, client *clientConn, request *codec.AdoptRequest) {
	running, err := h.engineWorkload(&request.Task)
	if err == nil {
		err = h.adoptions.checkNode(request.Node)
	}
	if err != nil {
		h.rejectInvalid(now, client, request.Tag, err)
		return
	}
	client.accepted = true
	h.adoptions.adopt(now, client, request, running)
}

// rejectTagInUse rejects a request with the tag of an earlier workload. If the earlier request is unanswered on the
// same connection, the client could not distinguish the two answers, so the rejection is that of both, and the
// connection is closed.
func (h *requestHandler) rejectTagInUse(now placement.Millis, client *clientConn, earlier *workload) {
	if earlier.client == client.id && earlier.answer == frontend.AnswerDue {
		h.withdraw(now, earlier)
		h.rejectInvalid(now, client, earlier.tag, errTagInUse)
		return
	}
	h.net.Send(client.id, codec.NewTermination(earlier.tag, codec.CauseInvalid))
}

// engineWorkload converts a task to the engine's form, without an id. It returns an error if the class is unknown or no
// kind of node is large enough: values out of range would corrupt the sums that placement decisions are based on.
func (h *requestHandler) engineWorkload(task *codec.Task) (placement.Workload, error) {
	class, ok := h.classes.Lookup(task.Class)
	if !ok {
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

// cancelAll implements requestCanceler: it withdraws requests in the order of their ids.
func (h *requestHandler) cancelAll(now placement.Millis, unanswered map[placement.WorkloadID]*workload) {
	for _, w := range frontend.SortedValues(unanswered) {
		h.withdraw(now, w)
	}
}

// withdraw ends a workload, or the request for it, because its client cancelled it or disconnected.
func (h *requestHandler) withdraw(now placement.Millis, w *workload) {
	h.counters.Withdrawn++
	h.markAnswered(w)
	h.host.Engine().Withdraw(now, w.id)
}

// endIfAnswered closes a connection that ends once its requests are answered, if they are: after the answer that is
// being sent.
func (h *requestHandler) endIfAnswered(c *clientConn) {
	if c.endReason != nil && len(c.unanswered) == 0 {
		h.host.Defer(func(now placement.Millis) { h.clients.endIfAnswered(now, c) })
	}
}

// markAnswered records that a request was answered or needs no answer.
func (h *requestHandler) markAnswered(w *workload) {
	if c := h.clients.get(w.client); c != nil {
		delete(c.unanswered, w.id)
		h.endIfAnswered(c)
	}
	h.workloads.markAnswered(w)
}
