package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// allocatorState is the information that an allocator has received so far, and its binds that have not ended.
type allocatorState struct {
	name        string
	incarnation uint64 // value in the hello it sent
	pauses      []pause
	nodes       map[uint32]*nodeView
	openBinds   map[observer.BindKey]*bind
	epoch       uint64 // epoch of the last discovery update that was applied
	revision    uint64 // revision of the same update
}

// pause is an interval in which a process did not run.
type pause struct{ from, until placement.Millis }

// allocator returns the state of an allocator, which it adds if there is none.
func (a *Auditor) allocator(name string) *allocatorState {
	s := a.allocators[name]
	if s == nil {
		s = &allocatorState{name: name}
		s.reset()
		a.allocators[name] = s
	}
	return s
}

// reset clears the state that an allocator loses when it is killed.
func (s *allocatorState) reset() {
	s.nodes = map[uint32]*nodeView{}
	s.openBinds = map[observer.BindKey]*bind{}
}

// wasPaused reports whether the allocator was paused at a deadline and the pause has not ended before now: an answer
// due during a pause is sent after it. Pauses count as pauseTolerance longer at both ends.
func (s *allocatorState) wasPaused(deadline, now placement.Millis) bool {
	for _, p := range s.pauses {
		from := p.from - pauseTolerance
		until := p.until + pauseTolerance
		if deadline > from && deadline < until && now <= until {
			return true
		}
	}
	return false
}

// closeBinds records that the node sends no more replies for the binds that were sent to it.
func (s *allocatorState) closeBinds(node uint32) {
	for _, b := range s.openBinds {
		if b.node == node {
			b.closed = true
		}
	}
}

// endBinds ends the binds on a node, except the given ones.
func (s *allocatorState) endBinds(node uint32, kept map[observer.BindKey]bool) {
	for key, b := range s.openBinds {
		if b.node == node && !kept[key] {
			delete(s.openBinds, key)
		}
	}
}

// reconcileNode handles a node's hello, which lists the workloads that run on the node: all other binds have ended.
func (s *allocatorState) reconcileNode(now placement.Millis, hello *pb.Hello) {
	view := s.view(hello.Node)
	view.incarnation = max(view.incarnation, hello.Incarnation)
	// A closed connection does not end a drain. Only the node ends it, by this hello or by a new incarnation.
	view.setReportedDraining(now, hello.Draining)
	for _, running := range hello.RunningWorkloads {
		s.adopt(now, hello.Node, running.Offer)
	}
	s.endBinds(hello.Node, runningBinds(hello))
}

// adopt adds a workload that an earlier incarnation of the allocator placed. It counts towards the spread limit of its
// service in the current incarnation.
func (s *allocatorState) adopt(now placement.Millis, node uint32, offer *pb.Offer) {
	key := observer.KeyOf(offer.Bind)
	if s.openBinds[key] != nil || key.Incarnation >= s.incarnation {
		return
	}
	s.openBinds[key] = &bind{
		key:      key,
		node:     node,
		sentAt:   now,
		closed:   true,
		accepted: true,
		request: &request{
			ref:        requestRef{offer.Client, offer.Request.RequestId},
			spec:       offer.Request,
			allocator:  s.name,
			clientView: clientView{noAnswerDue: true},
		},
	}
}

// runningBinds returns the binds of the workloads that a node's hello lists.
func runningBinds(hello *pb.Hello) map[observer.BindKey]bool {
	binds := map[observer.BindKey]bool{}
	for _, running := range hello.RunningWorkloads {
		binds[observer.KeyOf(running.Offer.Bind)] = true
	}
	return binds
}

// atAllocator handles a frame that an allocator sent or received.
func (a *Auditor) atAllocator(seen frame) {
	state := a.allocator(seen.process.Name)
	other, _ := a.connections.peerOf(seen)
	switch body := seen.message.Body.(type) {
	case *pb.Frame_Hello:
		state.incarnation = body.Hello.Incarnation // sent hello; Auditor.Frame handles received ones
	case *pb.Frame_PlaceRequest:
		state.requestReceived(a.requests.find(other.name, body.PlaceRequest.RequestId), seen)
	case *pb.Frame_GangRequest:
		state.requestReceived(a.requests.find(other.name, body.GangRequest.RequestId), seen)
	case *pb.Frame_Withdraw:
		state.withdrawReceived(a.requests.find(other.name, body.Withdraw.RequestId), seen)
	case *pb.Frame_Answer:
		a.answerSent(a.requests.find(other.name, body.Answer.RequestId), body.Answer, seen)
	case *pb.Frame_NodeListUpdate:
		a.discoveryUpdate(body.NodeListUpdate, seen)
	case *pb.Frame_Drain:
		state.view(other.node).setReportedDraining(seen.at, body.Drain.Draining)
	case *pb.Frame_Offer:
		a.offerSent(state, other.node, body.Offer, seen)
	case *pb.Frame_Stop:
		a.gangs.stopSeen(body.Stop, seen)
		state.stopSeen(body.Stop)
	case *pb.Frame_OfferReply:
		state.replyReceived(body.OfferReply, seen)
	case *pb.Frame_End:
		state.bindEnded(body.End, seen)
	}
}

func (s *allocatorState) requestReceived(r *request, seen frame) {
	if r != nil {
		r.received = true
		r.allocator = s.name
		r.frames = append(r.frames, seen)
	}
}

func (s *allocatorState) withdrawReceived(r *request, seen frame) {
	if r != nil {
		r.withdrawn = true
		r.frames = append(r.frames, seen)
	}
}

// stopSeen handles a stop. A workload of an earlier incarnation does not count towards the spread limit after its stop.
func (s *allocatorState) stopSeen(stop *pb.Stop) {
	b := s.openBinds[observer.KeyOf(stop.Bind)]
	if b != nil && b.key.Incarnation < s.incarnation {
		b.accepted = false
	}
}

// replyReceived handles a node's reply to an offer. An acceptance after the offer's timeout does not count: the
// allocator has abandoned that bind, and sends a stop.
func (s *allocatorState) replyReceived(reply *pb.OfferReply, seen frame) {
	b := s.openBinds[observer.KeyOf(reply.Bind)]
	if b == nil {
		return
	}
	b.request.frames = append(b.request.frames, seen)
	b.closed = true
	b.accepted = reply.Accepted && seen.at <= b.sentAt+b.timeout
	if !reply.Accepted {
		b.neverRan = true
		delete(s.openBinds, b.key)
	}
}

func (s *allocatorState) bindEnded(end *pb.End, seen frame) {
	b := s.openBinds[observer.KeyOf(end.Bind)]
	if b == nil {
		return
	}
	b.request.frames = append(b.request.frames, seen)
	b.closed = true
	delete(s.openBinds, b.key)
}

// answerSent checks an answer at the time at which the allocator sends it.
func (a *Auditor) answerSent(req *request, answer *pb.Answer, seen frame) {
	now := seen.at
	if req == nil {
		a.report(ruleAnswer, now, 0, nil, "an answer for no ask", seen)
		return
	}
	req.frames = append(req.frames, seen)
	if req.verdict != pb.Verdict_VERDICT_UNSPECIFIED {
		a.report(ruleAnswer, now, 0, req, "a second answer")
	}
	req.verdict = answer.Verdict
	switch {
	case req.gang:
		a.gangs.answered(now, req)
	case req.verdict == pb.Verdict_REJECTED:
		a.checkRejection(now, req)
	}
}

// checkRejection reports a rejection of a workload that may have run and must not run again on any node: a rejection
// means that a retry is safe.
func (a *Auditor) checkRejection(now placement.Millis, r *request) {
	group := a.terms.Groups[r.spec.Group]
	keyRecognizedEverywhere := group.Idempotency == placement.IdempotentByKey && group.KeyScope == placement.ScopeAll
	if group.Idempotency == placement.Idempotent || keyRecognizedEverywhere {
		return
	}
	if b := r.bindThatMayHaveRun(); b != nil {
		a.report(ruleIdempotency, now, b.node, r, "rejected although a bind may have run")
	}
}
