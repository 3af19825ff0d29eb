package audit

import (
	"fmt"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// atClient handles a frame at a client's end.
func (a *Auditor) atClient(now placement.Millis, p *observer.Process, c transport.ConnID, seen frame) {
	switch b := seen.message.Body.(type) {
	case *pb.Frame_PlaceRequest:
		a.addRequest(now, p, c, seen, &request{ref: requestRef{p.Name, b.PlaceRequest.RequestId}, ask: b.PlaceRequest}, b.PlaceRequest.PendingTimeoutMs)
	case *pb.Frame_GangRequest:
		r := &request{ref: requestRef{p.Name, b.GangRequest.RequestId}, ask: b.GangRequest.Parts[0], gang: true}
		a.addRequest(now, p, c, seen, r, b.GangRequest.PendingTimeoutMs)
	case *pb.Frame_Withdraw:
		if r := a.requests[requestRef{p.Name, b.Withdraw.RequestId}]; r != nil && !r.answered {
			r.frames = append(r.frames, seen)
			a.checkAnswered(now+2*clockTolerance, r) // a client also withdraws as the pending timeout ends
			r.excused = true
		}
	case *pb.Frame_Answer:
		a.answerReceived(now, a.requests[requestRef{p.Name, b.Answer.RequestId}], seen)
	}
}

func (a *Auditor) addRequest(now placement.Millis, p *observer.Process, c transport.ConnID, seen frame, r *request, timeoutMs float64) {
	r.deadline = now + placement.Millis(timeoutMs) + a.terms.AnswerSlack
	if other := a.peers[p][c]; other != nil {
		r.allocator = other.name
	}
	r.frames = append(r.frames, seen)
	a.requests[r.ref] = r
	a.requestOrder = append(a.requestOrder, r)
}

// answerReceived checks an answer as it reaches the client.
func (a *Auditor) answerReceived(now placement.Millis, r *request, seen frame) {
	if r == nil {
		a.report(1, now, 0, nil, "an answer for no ask", seen)
		return
	}
	r.frames = append(r.frames, seen)
	if r.answered {
		a.report(1, now, 0, r, "a second answer")
	}
	a.checkAnswered(now, r)
	if !r.answered && !r.excused {
		allowed := max(1, placement.Millis(r.ask.PendingTimeoutMs)+a.terms.AnswerSlack)
		a.LimitUse.Answer = max(a.LimitUse.Answer, 1-float64((r.deadline-now)/allowed))
	}
	r.answered = true
}

// checkAnswered reports a request that has no answer although its deadline has passed.
func (a *Auditor) checkAnswered(now placement.Millis, r *request) {
	if r.excused || r.answered || !r.received || now <= r.deadline+clockTolerance {
		return
	}
	for _, p := range a.allocator(r.allocator).pauses {
		if r.deadline > p.from-pauseTolerance && r.deadline < p.until+pauseTolerance && now <= p.until+pauseTolerance {
			return // a paused allocator answers as soon as it runs again
		}
	}
	a.report(1, now, 0, r, fmt.Sprintf("no answer within %.0f ms", r.ask.PendingTimeoutMs))
	r.excused = true
}
