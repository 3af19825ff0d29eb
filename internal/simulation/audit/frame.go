package audit

import (
	"fmt"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// frame is a frame as observed at one end of a connection.
type frame struct {
	at      placement.Millis // time at which it was sent, or delivered to the process
	arrived placement.Millis // time at which it arrived, before any wait for delivery
	process *observer.Process
	conn    transport.ConnID
	sent    bool // true if the process sent it, false if it received it
	message *pb.Frame
}

// String describes the frame in one line: time, process, direction and content.
func (f frame) String() string {
	direction := "gets"
	if f.sent {
		direction = "sends"
	}
	return fmt.Sprintf("%.1f ms %s %s %s", float64(f.at), f.process.Name, direction, describe(f.message))
}

// describe returns a summary of a frame, or only its kind if the rules do not depend on its content.
func describe(message *pb.Frame) string {
	switch body := message.Body.(type) {
	case *pb.Frame_PlaceRequest:
		request := body.PlaceRequest
		return fmt.Sprintf("ask %d (%s, key %d, %.0f ms left)",
			request.RequestId, request.Group, request.Key, request.PendingTimeoutMs)
	case *pb.Frame_Withdraw:
		return fmt.Sprintf("withdraw %d", body.Withdraw.RequestId)
	case *pb.Frame_Answer:
		answer := body.Answer
		return fmt.Sprintf("answer %d %s node %d %q", answer.RequestId, answer.Verdict, answer.Node, answer.Reason)
	case *pb.Frame_Offer:
		offer := body.Offer
		return fmt.Sprintf("offer of %s/%d, to be accepted within %.0f ms",
			observer.KeyOf(offer.Bind), offer.Request.RequestId, offer.AcceptWithinMs)
	case *pb.Frame_OfferReply:
		return describeReply(body.OfferReply)
	case *pb.Frame_End:
		return fmt.Sprintf("end of %s: %s", observer.KeyOf(body.End.Bind), body.End.Reason)
	}
	return pb.FrameKind(message)
}

func describeReply(reply *pb.OfferReply) string {
	key := observer.KeyOf(reply.Bind)
	if reply.Accepted {
		return "yes to " + key.String()
	}
	return fmt.Sprintf("no to %s: %s %q", key, reply.Reason, reply.Text)
}
