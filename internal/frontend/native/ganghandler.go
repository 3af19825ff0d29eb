package native

import (
	"slices"

	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangHandler handles requests for gangs and their withdrawals: it admits a request and starts its gang, or answers
// immediately why the gang is not started.
type gangHandler struct {
	*environment
	clients   *clientSessions
	durable   *durableBinds
	validator *requestValidator
	catalog   *catalog
	gangs     *gangTable
	executor  *gangExecutor
}

// request starts a gang, or answers immediately why it is not started. It ignores duplicate requests.
func (h *gangHandler) request(now placement.Millis, session *clientSession, request *pb.GangRequest) {
	h.counters.Requests++
	delay := h.clients.requestDelay(now, session, request.SentMs)
	id := requestID{session.name, request.RequestId}
	if _, exists := h.gangs.get(id); exists || session.history.contains(id.request) {
		h.counters.DuplicateRequests++
		return
	}
	completeGangRequest(request)
	if err := h.validator.validateGang(request); err != nil {
		h.counters.NotAdmitted++
		h.answer(id, pb.Verdict_REJECTED, err.Error())
		return
	}
	if h.hasRecoveredBind(now, request) {
		h.counters.AnsweredFromJournal++
		h.answer(id, pb.Verdict_UNSCHEDULABLE, reasonPartKeyBound)
		return
	}
	h.start(now, id, request, placement.Millis(request.PendingTimeoutMs)-delay)
}

// completeGangRequest sets the default of MinParts, and copies the request's id and timeout to each part.
func completeGangRequest(request *pb.GangRequest) {
	if request.MinParts == 0 {
		request.MinParts = uint32(len(request.Parts))
	}
	for _, part := range request.Parts {
		part.RequestId = request.RequestId
		part.PendingTimeoutMs = request.PendingTimeoutMs
	}
}

// hasRecoveredBind reports whether an earlier incarnation left a bind of a part's key.
func (h *gangHandler) hasRecoveredBind(now placement.Millis, request *pb.GangRequest) bool {
	return slices.ContainsFunc(request.Parts, func(part *pb.PlaceRequest) bool {
		return h.durable.hasRecoveredBind(now, part.Key)
	})
}

// answer answers a request for a gang that is not started.
func (h *gangHandler) answer(id requestID, v pb.Verdict, reason string) {
	h.clients.answer(id.client, &pb.Answer{
		RequestId: id.request,
		Verdict:   v,
		Reason:    reason,
	})
}

// start starts an admitted gang. The timeout, in ms from now, is the remainder of the client's timeout.
func (h *gangHandler) start(now placement.Millis, id requestID, request *pb.GangRequest, timeout placement.Millis) {
	g := &gangRequest{
		id:         id,
		request:    request,
		machine:    gang.New(now, h.catalog.gangRequest(request, timeout), gangSeed(h.config.Seed, id)),
		parts:      make([]placement.WorkloadID, len(request.Parts)),
		receivedAt: now,
		deadline:   now + timeout,
	}
	h.gangs.addRequested(g)
	h.counters.Gangs++
	h.recorder.gangRequest(now, g, timeout)
	h.executor.execute(now, g, g.machine.Start(now))
}

// withdrawRequest handles a client's withdrawal of a request, and reports whether the gang table has a gang for it.
func (h *gangHandler) withdrawRequest(now placement.Millis, id requestID) bool {
	g, exists := h.gangs.get(id)
	if exists {
		h.withdraw(now, g)
	}
	return exists
}

// withdraw rolls back a gang for its client. It has no effect on a recovering gang: gangRecovery decides about all of
// its parts together when gangRecoveryTime has elapsed.
func (h *gangHandler) withdraw(now placement.Millis, g *gangRequest) {
	if g.recovering() {
		return
	}
	h.counters.Withdrawn++
	h.executor.execute(now, g, g.machine.Withdraw(now))
}

// clientDisconnected withdraws a client's unanswered gangs, since no answer can be sent to it.
func (h *gangHandler) clientDisconnected(now placement.Millis, client string) {
	for _, g := range h.gangs.sorted() {
		if h.gangs.contains(g) && g.awaitedBy(client) {
			h.withdraw(now, g)
		}
	}
}

// hasUnanswered reports whether a client waits for the answer to a request for a gang.
func (h *gangHandler) hasUnanswered(client string) bool {
	for _, g := range h.gangs.byRequest {
		if g.awaitedBy(client) {
			return true
		}
	}
	return false
}
