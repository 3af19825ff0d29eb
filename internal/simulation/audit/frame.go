package audit

import (
	"fmt"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// frame is a frame as it was seen at one end.
type frame struct {
	at      placement.Millis
	process string
	sent    bool
	message *pb.Frame
}

// String describes the frame in a line: when, which process, which way, what.
func (f frame) String() string {
	direction := "gets"
	if f.sent {
		direction = "sends"
	}
	return fmt.Sprintf("%.1f ms %s %s %s", float64(f.at), f.process, direction, describe(f.message))
}

func describe(f *pb.Frame) string {
	switch b := f.Body.(type) {
	case *pb.Frame_PlaceRequest:
		return fmt.Sprintf("ask %d (%s, key %d, %.0f ms left)", b.PlaceRequest.RequestId, b.PlaceRequest.Group, b.PlaceRequest.Key, b.PlaceRequest.PendingTimeoutMs)
	case *pb.Frame_Withdraw:
		return fmt.Sprintf("withdraw %d", b.Withdraw.RequestId)
	case *pb.Frame_Answer:
		return fmt.Sprintf("answer %d %s node %d %q", b.Answer.RequestId, b.Answer.Verdict, b.Answer.Node, b.Answer.Reason)
	case *pb.Frame_Offer:
		return fmt.Sprintf("offer of %s/%d, to be accepted within %.0f ms", observer.KeyOf(b.Offer.Bind), b.Offer.Request.RequestId,
			b.Offer.AcceptWithinMs)
	case *pb.Frame_OfferReply:
		key := observer.KeyOf(b.OfferReply.Bind)
		if b.OfferReply.Accepted {
			return "yes to " + key.String()
		}
		return fmt.Sprintf("no to %s: %s %q", key, b.OfferReply.Reason, b.OfferReply.Text)
	case *pb.Frame_End:
		return fmt.Sprintf("end of %s: %s", observer.KeyOf(b.End.Bind), b.End.Reason)
	}
	return pb.FrameKind(f)
}
