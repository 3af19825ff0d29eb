package native

import (
	"fmt"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/internal/frontend"
	"grebeglade/internal/recovery"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Reasons of answers that need no details.
const (
	reasonMayHaveRun     = "a bind was not answered; it may have run"
	reasonKeyBound       = "a bind of this key went out before; it may have run"
	reasonRegistryFull   = "the state directory knows as many keys as it may; raise state.most, or ask another"
	reasonNoNodes        = "no node is known"
	reasonTooLarge       = "it is larger than any kind of node"
	reasonPartOfGang     = "a part of a gang"
	reasonPartKeyBound   = "a bind of one of its parts went out before; it may have run"
	reasonPartMayHaveRun = "a part that must not run twice may have run"
)

// requestHandler handles the frames of clients: it passes requests to the engine or answers them immediately, and sends
// the engine's final answers. It passes requests for gangs to the gangHandler.
type requestHandler struct {
	*environment
	connections *connections
	clients     *clientSessions
	workloads   *workloadTable
	nodes       *nodeTable
	durable     *durableBinds
	validator   *requestValidator
	catalog     *catalog
	gangs       *gangHandler
}

// received handles a frame of a client.
func (h *requestHandler) received(now placement.Millis, session *clientSession, frame *pb.Frame) {
	switch body := frame.Body.(type) {
	case *pb.Frame_PlaceRequest:
		h.place(now, session, body.PlaceRequest)
	case *pb.Frame_GangRequest:
		h.gangs.request(now, session, body.GangRequest)
	case *pb.Frame_Withdraw:
		h.withdrawRequest(now, session, body.Withdraw.RequestId)
	default:
		h.connections.refuse(session.conn, fmt.Errorf("an owner may not send %s", pb.FrameKind(frame)))
	}
}

// place passes a request to the engine, or answers immediately why it is not placed. It ignores duplicate requests.
func (h *requestHandler) place(now placement.Millis, session *clientSession, request *pb.PlaceRequest) {
	h.counters.Requests++
	delay := h.clients.requestDelay(now, session, request.SentMs)
	id := requestID{session.name, request.RequestId}
	if h.workloads.hasRequest(id) || session.history.contains(id.request) {
		h.counters.DuplicateRequests++ // only the first copy of a request is answered
		return
	}
	if err := h.validator.validate(request); err != nil {
		h.counters.NotAdmitted++
		h.reject(now, id, pb.Verdict_REJECTED, err.Error())
		return
	}
	if h.answeredFromJournal(now, id, request) {
		return
	}
	added := h.workloads.add(now, session.name, request)
	h.recorder.request(now, added)
	w := h.catalog.workload(added.id, request)
	w.PendingTimeout -= delay
	h.host.Engine().Schedule(now, w)
}

// reject answers a request that is not passed to the engine.
func (h *requestHandler) reject(now placement.Millis, id requestID, v pb.Verdict, reason string) {
	h.eventLog.Add(eventlog.Event{At: now, Kind: eventlog.NotAdmitted})
	h.clients.answer(id.client, &pb.Answer{
		RequestId: id.request,
		Verdict:   v,
		Reason:    reason,
	})
}

// answeredFromJournal answers a request if a recorded bind of its key may have run or the limit on keys is reached, and
// reports whether it did. The answer is final, since the outcome of an earlier bind cannot be determined.
func (h *requestHandler) answeredFromJournal(
	now placement.Millis, id requestID, request *pb.PlaceRequest,
) bool {
	switch h.durable.admit(now, request) {
	case recovery.Admit:
		return false
	case recovery.RegistryFull:
		h.reject(now, id, pb.Verdict_REJECTED, reasonRegistryFull)
	case recovery.MayHaveRun:
		h.reject(now, id, pb.Verdict_UNSCHEDULABLE, reasonKeyBound)
	}
	h.counters.AnsweredFromJournal++
	return true
}

// answer sends the engine's final answer for a workload to its client.
func (h *requestHandler) answer(w *workload, v allocator.Verdict, node placement.NodeID) {
	h.counters.CountAnswer(v)
	reason := h.answerReason(w, v)
	h.recorder.answer(h.host.Now(), w, v, node, reason)
	h.clients.answer(w.client, &pb.Answer{
		RequestId: w.request.RequestId,
		Verdict:   verdictOf(v),
		Node:      uint32(node),
		Reason:    reason,
	})
}

// answerReason returns the reason why a workload was not placed, or "" if it was placed.
func (h *requestHandler) answerReason(w *workload, v allocator.Verdict) string {
	nodeCount := h.nodes.count()
	switch {
	case v == allocator.Placed:
		return ""
	case v == allocator.Unschedulable:
		return reasonMayHaveRun
	case nodeCount == 0:
		return reasonNoNodes
	case !h.catalog.fitsSomeKind(w.request):
		return reasonTooLarge
	case len(w.bindNodes) > 0:
		return fmt.Sprintf("no node is feasible after %d binds", len(w.bindNodes))
	}
	return fmt.Sprintf("none of %d nodes is feasible", nodeCount)
}

// withdrawRequest handles a client's withdrawal. A request that is received after its withdrawal has no effect.
func (h *requestHandler) withdrawRequest(now placement.Millis, session *clientSession, request uint64) {
	session.history.add(request, requestWithdrawn)
	id := requestID{session.name, request}
	if h.gangs.withdrawRequest(now, id) {
		return
	}
	if w, ok := h.workloads.getByRequest(id); ok {
		h.withdraw(now, w)
	}
}

// withdraw ends a workload on behalf of its client. A repeated withdrawal has no effect and is not counted.
func (h *requestHandler) withdraw(now placement.Millis, w *workload) {
	if w.state.withdrawn() {
		return
	}
	h.counters.Withdrawn++
	h.workloads.markWithdrawn(w)
	h.host.Engine().Withdraw(now, w.id)
}

// clientDisconnected withdraws a client's unanswered requests, since no answer can be sent to it. Placed workloads
// continue to run.
func (h *requestHandler) clientDisconnected(now placement.Millis, client string) {
	for _, w := range h.unanswered(client) {
		h.withdraw(now, w)
	}
	h.gangs.clientDisconnected(now, client)
}

// hasUnanswered reports whether a client waits for the answer to a request for a workload or a gang.
func (h *requestHandler) hasUnanswered(client string) bool {
	return len(h.unanswered(client)) > 0 || h.gangs.hasUnanswered(client)
}

// unanswered returns a client's workloads whose answer is due.
func (h *requestHandler) unanswered(client string) []*workload {
	return h.workloads.ofClient(client, func(w *workload) bool { return w.answer == frontend.AnswerDue })
}
