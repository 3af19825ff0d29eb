package native

import (
	"fmt"
	"maps"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangs holds the gangs, hands each gang's state machine what happens to its parts, and carries out what it decides.
type gangs struct {
	*core
	workloads *workloadTable
	clients   *clientSessions
	nodes     *nodeTable
	binds     *binds
	catalog   *catalog

	byRequest  map[requestID]*gangRequest
	unanswered int // gangs whose client waits for its final answer
}

func (t *gangs) get(id requestID) (*gangRequest, bool) {
	g, ok := t.byRequest[id]
	return g, ok
}

func (t *gangs) add(g *gangRequest) { t.byRequest[g.id] = g }

// holds reports whether a gang is still held: another may have come under its request since.
func (t *gangs) holds(g *gangRequest) bool { return t.byRequest[g.id] == g }

// sorted returns the gangs in the order of their clients and requests.
func (t *gangs) sorted() []*gangRequest {
	all := make([]*gangRequest, 0, len(t.byRequest))
	for _, id := range slices.SortedFunc(maps.Keys(t.byRequest), compareRequestIDs) {
		all = append(all, t.byRequest[id])
	}
	return all
}

// unrequestedParts counts the parts that have no workload now. A gang that waits for its next attempt holds its place.
func (t *gangs) unrequestedParts() int {
	n := 0
	for _, g := range t.byRequest {
		n += g.unrequestedParts()
	}
	return n
}

// start starts a gang that was admitted. Its client waits for the given time from now.
func (t *gangs) start(now placement.Millis, id requestID, r *pb.GangRequest, timeout placement.Millis) {
	g := &gangRequest{
		id: id, request: r, parts: make([]placement.WorkloadID, len(r.Parts)), expires: now + timeout, receivedAt: now,
		answerDue: true, state: gang.New(now, t.stateRequest(r, timeout), t.seed(id.request)),
	}
	t.add(g)
	t.unanswered++
	t.counters.Gangs++
	t.recorder.gangRequest(now, g, timeout)
	t.execute(now, g, g.state.Start(now))
}

func (t *gangs) seed(request uint64) uint64 { return t.config.Seed ^ request }

// stateRequest is a request as the gang's state machine takes it.
func (t *gangs) stateRequest(r *pb.GangRequest, timeout placement.Millis) gang.Request {
	request := gang.Request{
		MinParts: int(r.MinParts), PendingTimeout: timeout, ReplaceTimeout: placement.Millis(r.ReplaceTimeoutMs),
	}
	if r.Replace {
		request.OnLoss = gang.ReplaceOnLoss
	}
	for _, part := range r.Parts {
		request.Parts = append(request.Parts, t.catalog.gangPart(part))
	}
	return request
}

// execute carries out what a gang's state machine decided.
func (t *gangs) execute(now placement.Millis, g *gangRequest, decided []gang.Action) {
	for _, a := range decided {
		switch a.Kind {
		case gang.Attempt:
			t.attempt(now, g, a)
		case gang.RequestPart:
			t.Engine().Schedule(now, t.requestPart(now, g, a.Part, a.Timeout))
		case gang.StopPart:
			t.stopPart(now, g, a.Part)
		case gang.AnswerPlaced, gang.AnswerRejected, gang.AnswerUnschedulable:
			t.answer(g, a.Kind)
		case gang.ConfirmParts:
			t.confirmParts(g)
		case gang.ReportEnd:
			t.clients.send(g.id.client, &pb.Frame{Body: &pb.Frame_WorkloadEnded{WorkloadEnded: &pb.WorkloadEnded{RequestId: g.id.request, Reason: g.endReason()}}})
		case gang.SetTimer:
			t.setTimer(now, g, a.At)
		case gang.Forget:
			t.markAnswered(g)
			delete(t.byRequest, g.id)
		}
	}
	// A trace holds the state's text, and some states share one.
	if g.tracedState.String() != g.state.State.String() {
		t.recorder.gangState(now, g)
	}
	g.tracedState = g.state.State
}

// requestPart makes the workload of a part for the engine, with the time until the engine must have placed it.
func (t *gangs) requestPart(now placement.Millis, g *gangRequest, part int, timeout placement.Millis) placement.Workload {
	wl := t.workloads.addPart(now, g, part)
	g.parts[part] = wl.id
	t.recorder.request(now, wl)
	w := t.catalog.workload(wl.id, wl.request)
	w.PendingTimeout = timeout
	w.Retried = w.Retried || g.state.Attempts() > 1
	w.Group = spreadVariant(w.Group, g.request.Spread, len(t.catalog.groupNames))
	return w
}

// attempt requests the parts of a gang together: at least MinParts of them are offered to nodes, or none.
func (t *gangs) attempt(now placement.Millis, g *gangRequest, a gang.Action) {
	requests := make([]placement.Workload, len(a.Parts))
	for k, part := range a.Parts {
		requests[k] = t.requestPart(now, g, part, g.expires-now)
	}
	sent := t.Engine().ScheduleGang(now, requests, a.MinParts)
	offered := make([]bool, len(g.parts))
	for k, part := range a.Parts {
		offered[part] = sent[k]
		if !sent[k] {
			g.parts[part] = 0
		}
	}
	t.execute(now, g, g.state.AttemptResult(offered))
}

// stopPart has a part stopped. One that the engine has let go of has ended already.
func (t *gangs) stopPart(now placement.Millis, g *gangRequest, part int) {
	id := g.parts[part]
	wl, held := t.workloads.get(id)
	switch {
	case !held:
		t.deferEvent(g, id, part, func(now placement.Millis) []gang.Action { return g.state.PartEnded(now, part, false) })
	case wl.state.withdrawn():
		t.binds.repeatStop(wl)
	default:
		t.workloads.markWithdrawn(wl)
		t.counters.GangPartStops++
		t.Engine().Withdraw(now, id)
	}
}

// confirmParts notifies the nodes of the running parts that their gang runs.
func (t *gangs) confirmParts(g *gangRequest) {
	for part, id := range g.parts {
		if wl, held := t.workloads.get(id); held && g.state.Parts[part] == gang.PartRunning {
			t.binds.confirmGang(wl.lastNode(), t.workloads.bindID(wl))
		}
	}
}

// repeatConfirmation notifies a node again that a part's gang runs, if the first notification was lost with the last
// connection.
func (t *gangs) repeatConfirmation(n *node, wl *workload, r *pb.RunningWorkload) {
	if wl.gang != nil && !r.Confirmed && wl.gang.runs() {
		t.binds.confirmGang(n.id, r.Offer.Bind)
	}
}

// setTimer has a gang's state machine called at the given time, if the gang is held by then. A timer is set for a minute at
// most, as in the engine, so that those of gangs that have ended are bounded.
func (t *gangs) setTimer(now placement.Millis, g *gangRequest, at placement.Millis) {
	t.Schedule(max(now, min(at, now+allocator.MaxTimerDelay)), func(now placement.Millis) {
		switch {
		case !t.holds(g):
		case now < at:
			t.setTimer(now, g, at)
		default:
			t.execute(now, g, g.state.TimerFired(now))
		}
	})
}

// markAnswered notes that the client no longer waits for an answer.
func (t *gangs) markAnswered(g *gangRequest) {
	if g.answerDue {
		g.answerDue = false
		t.unanswered--
	}
}

// answer sends a gang's final answer to its client.
func (t *gangs) answer(g *gangRequest, kind gang.ActionKind) {
	answer := &pb.Answer{RequestId: g.id.request}
	switch kind {
	case gang.AnswerPlaced:
		t.counters.GangsPlaced++
		answer.Verdict = pb.Verdict_PLACED
	case gang.AnswerRejected:
		t.counters.GangsAbandoned++
		answer.Verdict, answer.Reason = pb.Verdict_REJECTED, t.rejectionReason(g)
	default:
		t.counters.GangsAbandoned++
		answer.Verdict, answer.Reason = pb.Verdict_UNSCHEDULABLE, reasonPartMayHaveRun
	}
	t.markAnswered(g)
	for part, id := range g.parts {
		node := placement.NodeID(0)
		if wl, held := t.workloads.get(id); kind == gang.AnswerPlaced && held && g.state.Parts[part] == gang.PartRunning {
			node = wl.lastNode()
		}
		answer.Nodes = append(answer.Nodes, uint32(node))
	}
	t.clients.answer(g.id.client, answer)
}

func (t *gangs) rejectionReason(g *gangRequest) string {
	if g.state.Attempts() <= 1 && g.unrequestedParts() == len(g.parts) {
		return fmt.Sprintf("%d of %d parts do not fit together on the %d nodes known",
			g.request.MinParts, len(g.parts), t.nodes.count())
	}
	return fmt.Sprintf("it fell apart, %d times begun", g.state.Attempts())
}

// partEvent hands a gang's state machine what happened to a part, once the engine is idle.
func (t *gangs) partEvent(wl *workload, event func(now placement.Millis) []gang.Action) {
	t.deferEvent(wl.gang, wl.id, wl.part, event)
}

// deferEvent calls event once the engine is idle, unless the gang is recovering or has ended, or the part has another
// workload by then.
func (t *gangs) deferEvent(g *gangRequest, id placement.WorkloadID, part int, event func(now placement.Millis) []gang.Action) {
	t.Defer(func(now placement.Millis) {
		if !g.recovering() && t.holds(g) && g.parts[part] == id {
			t.execute(now, g, event(now))
		}
	})
}

// partAnswered handles the engine's final answer for a part.
func (t *gangs) partAnswered(wl *workload, v allocator.Verdict) {
	t.recorder.answer(t.Now(), wl, v, wl.lastNode(), reasonPartOfGang)
	switch v {
	case allocator.Placed:
		if t.config.Settings.ConfirmsRunning {
			t.partRunning(wl)
		}
	case allocator.Rejected:
		t.partEvent(wl, func(now placement.Millis) []gang.Action { return wl.gang.state.PartFailed(now, wl.part, false) })
	default:
		t.partMayRun(wl)
	}
}

// partMayRun handles a part that may run where its last bind went, though its answer is unknown. The gang is rolled back, so
// the part must not run on. Its bind is stopped, unless it was: the stop of an at-most-once workload that timed out leaves
// it alone where the node has accepted it, so that one is stopped again.
func (t *gangs) partMayRun(wl *workload) {
	node, bind := wl.lastNode(), t.workloads.bindID(wl)
	stopped := wl.bindState == bindStopRequested && t.catalog.effect(wl.request.Group) != placement.AtMostOnce
	t.partEvent(wl, func(now placement.Millis) []gang.Action {
		if !stopped {
			t.binds.stop(node, bind, false)
		}
		return wl.gang.state.PartFailed(now, wl.part, true)
	})
}

// partRunning handles that a workload runs, if it is a part of a gang.
func (t *gangs) partRunning(wl *workload) {
	if wl.gang != nil {
		t.partEvent(wl, func(placement.Millis) []gang.Action { return wl.gang.state.PartStarted(wl.part) })
	}
}

// partEnded handles that a part runs no more, or never will.
func (t *gangs) partEnded(wl *workload, finished bool) {
	t.partEvent(wl, func(now placement.Millis) []gang.Action { return wl.gang.state.PartEnded(now, wl.part, finished) })
}

// withdraw handles a client's withdrawal. Of a gang that is recovering it has no effect: its parts are decided about
// together, once the others had time to be found.
func (t *gangs) withdraw(now placement.Millis, g *gangRequest) {
	if g.recovering() {
		return
	}
	t.counters.Withdrawn++
	t.execute(now, g, g.state.Withdraw(now))
}

// clientDisconnected withdraws the gangs of a client that have no answer yet, since it can be sent none.
func (t *gangs) clientDisconnected(now placement.Millis, client string) {
	for _, g := range t.sorted() {
		if t.holds(g) && g.id.client == client && g.answerDue {
			t.withdraw(now, g)
		}
	}
}
