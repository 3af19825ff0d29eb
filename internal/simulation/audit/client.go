package audit

import (
	"fmt"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// atClient handles a frame that a client sent or received.
func (a *Auditor) atClient(seen frame) {
	client := seen.process.Name
	switch body := seen.message.Body.(type) {
	case *pb.Frame_PlaceRequest:
		sent := body.PlaceRequest
		r := &request{ref: requestRef{client, sent.RequestId}, spec: sent}
		a.requestSent(r, sent.PendingTimeoutMs, seen)
	case *pb.Frame_GangRequest:
		sent := body.GangRequest
		r := &request{
			ref:  requestRef{client, sent.RequestId},
			spec: sent.Parts[0],
			gang: true,
		}
		a.requestSent(r, sent.PendingTimeoutMs, seen)
	case *pb.Frame_Withdraw:
		a.withdrawSent(a.requests.find(client, body.Withdraw.RequestId), seen)
	case *pb.Frame_Answer:
		a.answerReceived(a.requests.find(client, body.Answer.RequestId), seen)
	}
}

// requestSent records a request. An answer is due only if the allocator receives the request.
func (a *Auditor) requestSent(r *request, pendingTimeoutMs float64, seen frame) {
	r.deadline = seen.at + placement.Millis(pendingTimeoutMs) + a.terms.AnswerSlack
	if other, ok := a.connections.peerOf(seen); ok {
		r.allocator = other.name
	}
	r.frames = append(r.frames, seen)
	a.requests.add(r)
}

// withdrawSent records that a client has withdrawn a request and expects no answer. Clients also withdraw when the
// pending timeout expires, so a deadline less than clockTolerance ahead already counts as missed.
func (a *Auditor) withdrawSent(r *request, seen frame) {
	if r == nil || r.answered {
		return
	}
	r.frames = append(r.frames, seen)
	a.checkAnswered(seen.at+2*clockTolerance, r)
	r.noAnswerDue = true
}

// answerReceived checks an answer at the time at which the client receives it.
func (a *Auditor) answerReceived(req *request, seen frame) {
	now := seen.at
	if req == nil {
		a.report(ruleAnswer, now, 0, nil, "an answer for no ask", seen)
		return
	}
	req.frames = append(req.frames, seen)
	if req.answered {
		a.report(ruleAnswer, now, 0, req, "a second answer")
	}
	a.checkAnswered(now, req)
	if !req.answered && !req.noAnswerDue {
		allowed := max(1, placement.Millis(req.spec.PendingTimeoutMs)+a.terms.AnswerSlack)
		a.LimitUse.Answer = max(a.LimitUse.Answer, 1-float64((req.deadline-now)/allowed))
	}
	req.answered = true
}

// checkAnswered reports a request that has no answer more than clockTolerance after its deadline, unless its allocator
// was paused. Each request is reported at most once.
func (a *Auditor) checkAnswered(now placement.Millis, r *request) {
	if r.noAnswerDue || r.answered || !r.received {
		return
	}
	if now <= r.deadline+clockTolerance || a.allocator(r.allocator).wasPaused(r.deadline, now) {
		return
	}
	a.report(ruleAnswer, now, 0, r, fmt.Sprintf("no answer within %.0f ms", r.spec.PendingTimeoutMs))
	r.noAnswerDue = true
}
