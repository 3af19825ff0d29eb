package native

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/internal/recovery"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Reasons for which any request may be rejected, whatever its contents. Their texts are the reasons of the answers.
var (
	errDraining     = errors.New("the allocator is stopping; ask another")
	errKeyHeld      = errors.New("a workload of that key is held here already")
	errIDsExhausted = errors.New("the allocator has named all its workloads; restart it")

	errNoReplaceTimeout = errors.New("replace_within_ms must be above 0 where parts are to be replaced")
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

// requests handles the frames of clients: it admits requests to the engine, or rejects them at once, and sends the
// final answers.
type requests struct {
	*core
	connections *connections
	clients     *clientSessions
	workloads   *workloadTable
	nodes       *nodeTable
	durable     *durableBinds
	gangs       *gangs
	admission   *gangAdmission
	catalog     *catalog
	draining    bool // no further request is admitted
}

// received handles a frame of a client.
func (r *requests) received(now placement.Millis, session *clientSession, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_PlaceRequest:
		r.request(now, session, b.PlaceRequest)
	case *pb.Frame_GangRequest:
		r.admission.request(now, session, b.GangRequest)
	case *pb.Frame_Withdraw:
		r.withdrawRequest(now, session, b.Withdraw.RequestId)
	default:
		r.connections.refuse(session.conn, fmt.Errorf("an owner may not send %s", pb.FrameKind(f)))
	}
}

// request hands a request to the engine, or rejects it at once with the reason.
func (r *requests) request(now placement.Millis, session *clientSession, a *pb.PlaceRequest) {
	r.counters.Requests++
	delay := r.delay(now, session, a.SentMs)
	if r.workloads.hasRequest(requestID{session.name, a.RequestId}) || session.history.contains(a.RequestId) {
		r.counters.DuplicateRequests++ // its one answer is or was sent for the first one
		return
	}
	if err := r.validate(a); err != nil {
		r.counters.NotAdmitted++
		r.reject(now, session, a, pb.Verdict_REJECTED, err.Error())
		return
	}
	if r.answeredFromJournal(now, session, a) {
		return
	}
	wl := r.workloads.add(now, session.name, a)
	r.recorder.request(now, wl)
	w := r.catalog.workload(wl.id, a)
	w.PendingTimeout -= delay
	r.Engine().Schedule(now, w)
}

// delay is how much of a request's time was over when it was received: what the network delayed it as far as is known, or
// what it may have waited while this process was stopped.
func (r *requests) delay(now placement.Millis, session *clientSession, sent float64) placement.Millis {
	return max(session.transit.delay(now, sent), r.RecentStall())
}

// reject answers a request that does not reach the engine.
func (r *requests) reject(now placement.Millis, session *clientSession, a *pb.PlaceRequest, v pb.Verdict, reason string) {
	r.eventLog.Add(eventlog.Event{At: now, Kind: eventlog.NotAdmitted})
	r.clients.answer(session.name, &pb.Answer{RequestId: a.RequestId, Verdict: v, Reason: reason})
}

// answeredFromJournal answers a request whose key the journal knows, or that it has no capacity for, and reports whether it
// did. The answer is final at once, since the outcome of an earlier bind cannot be found out.
func (r *requests) answeredFromJournal(now placement.Millis, session *clientSession, a *pb.PlaceRequest) bool {
	var verdict pb.Verdict
	var reason string
	switch r.durable.admit(now, a) {
	case recovery.Admit:
		return false
	case recovery.RegistryFull:
		verdict, reason = pb.Verdict_REJECTED, reasonRegistryFull
	default:
		verdict, reason = pb.Verdict_UNSCHEDULABLE, reasonKeyBound
	}
	r.counters.AnsweredFromJournal++
	r.reject(now, session, a, verdict, reason)
	return true
}

// validate returns why a request cannot be admitted, or nil.
func (r *requests) validate(a *pb.PlaceRequest) error {
	if r.draining {
		return errDraining
	}
	if !r.catalog.hasGroup(a.Group) {
		return fmt.Errorf("group %q is not known here; known are %q", a.Group, r.catalog.groupNames)
	}
	if err := validateAmounts(a); err != nil {
		return err
	}
	held := r.workloads.count()
	switch {
	case r.workloads.hasKey(a.Key):
		return errKeyHeld
	case r.config.MaxWorkloads > 0 && held >= r.config.MaxWorkloads:
		return fmt.Errorf("the allocator holds %d workloads, the most it may", held)
	case r.workloads.idsExhausted():
		return errIDsExhausted
	}
	return nil
}

// validateAmounts returns which amount of a request is none, or nil.
func validateAmounts(a *pb.PlaceRequest) error {
	amounts := []struct {
		field string
		value float64
	}{{"cores", a.Cores}, {"memory", a.Memory}, {"left_ms", a.PendingTimeoutMs}}
	for _, amount := range amounts {
		if !(amount.value > 0 && amount.value <= math.MaxFloat32) {
			return fmt.Errorf("%s is %v; it must be above 0", amount.field, amount.value)
		}
	}
	return nil
}

// answer sends the engine's final answer for a workload to its client.
func (r *requests) answer(wl *workload, v allocator.Verdict, node placement.NodeID) {
	r.counters.CountAnswer(v)
	reason := r.answerReason(wl, v)
	r.recorder.answer(r.Now(), wl, v, node, reason)
	r.clients.answer(wl.client, &pb.Answer{RequestId: wl.request.RequestId, Verdict: verdictOf(v), Node: uint32(node), Reason: reason})
}

// answerReason says why a workload was not placed, or "" for one that was.
func (r *requests) answerReason(wl *workload, v allocator.Verdict) string {
	known := r.nodes.count()
	switch {
	case v == allocator.Placed:
		return ""
	case v == allocator.Unschedulable:
		return reasonMayHaveRun
	case known == 0:
		return reasonNoNodes
	case !r.catalog.fitsSomeKind(wl.request):
		return reasonTooLarge
	case len(wl.bindNodes) > 0:
		return fmt.Sprintf("no node is feasible after %d binds", len(wl.bindNodes))
	}
	return fmt.Sprintf("none of %d nodes is feasible", known)
}

// withdrawRequest handles a client's withdrawal. A request that arrives after it has no effect.
func (r *requests) withdrawRequest(now placement.Millis, session *clientSession, request uint64) {
	session.history.add(request, true)
	id := requestID{session.name, request}
	if g, ok := r.gangs.get(id); ok {
		r.gangs.withdraw(now, g)
		return
	}
	if wl, ok := r.workloads.requested(id); ok {
		r.withdraw(now, wl)
	}
}

func (r *requests) withdraw(now placement.Millis, wl *workload) {
	if wl.state.withdrawn() {
		return
	}
	r.counters.Withdrawn++
	r.workloads.markWithdrawn(wl)
	r.Engine().Withdraw(now, wl.id)
}

// clientDisconnected withdraws what a client had pending, since it can be sent no answer. What is placed runs on.
func (r *requests) clientDisconnected(now placement.Millis, client string) {
	pending := r.workloads.ofClient(client, func(wl *workload) bool {
		return wl.state == workloadPending && wl.gang == nil
	})
	for _, wl := range pending {
		r.withdraw(now, wl)
	}
	r.gangs.clientDisconnected(now, client)
}

// running are a client's placed workloads, in the order of the ids of their binds.
func (r *requests) running(now placement.Millis, client string) []*pb.RunningWorkload {
	var running []*pb.RunningWorkload
	placed := r.workloads.ofClient(client, func(wl *workload) bool { return wl.state == workloadPlaced })
	for _, wl := range placed {
		running = append(running, &pb.RunningWorkload{Offer: r.workloads.offer(now, wl)})
	}
	slices.SortStableFunc(running, func(x, y *pb.RunningWorkload) int {
		return cmp.Compare(x.Offer.Bind.Workload, y.Offer.Bind.Workload)
	})
	return running
}
