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
	case *pb.Frame_Ask:
		return fmt.Sprintf("ask %d (%s, key %d, %.0f ms left)", b.Ask.Ask, b.Ask.Group, b.Ask.Key, b.Ask.LeftMs)
	case *pb.Frame_Withdraw:
		return fmt.Sprintf("withdraw %d", b.Withdraw.Ask)
	case *pb.Frame_Answer:
		return fmt.Sprintf("answer %d %s node %d %q", b.Answer.Ask, b.Answer.Verdict, b.Answer.Node, b.Answer.Reason)
	case *pb.Frame_Offer:
		return fmt.Sprintf("offer of %s/%d, to be accepted within %.0f ms", observer.KeyOf(b.Offer.Bind), b.Offer.Ask.Ask,
			b.Offer.AcceptWithinMs)
	case *pb.Frame_OfferAnswer:
		key := observer.KeyOf(b.OfferAnswer.Bind)
		if b.OfferAnswer.Accepted {
			return "yes to " + key.String()
		}
		return fmt.Sprintf("no to %s: %s %q", key, b.OfferAnswer.Why, b.OfferAnswer.Text)
	case *pb.Frame_End:
		return fmt.Sprintf("end of %s: %s", observer.KeyOf(b.End.Bind), b.End.Why)
	}
	return fmt.Sprintf("%T", f.Body)
}
