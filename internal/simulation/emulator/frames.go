package emulator

import pb "grebeglade/proto/grebeglade/v1"

// withdrawFrame returns the frame with which a client withdraws a request.
func withdrawFrame(requestID uint64) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{RequestId: requestID}}}
}

// offerReplyFrame returns the frame with which a node answers an offer.
func offerReplyFrame(reply *pb.OfferReply) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: reply}}
}

// healthReplyFrame returns the frame with which a node answers a health check.
func healthReplyFrame(checkID uint64, load *pb.Load) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_HealthReply{HealthReply: &pb.HealthReply{Id: checkID, Load: load}}}
}

// endFrame returns the frame with which a node reports the end of a workload.
func endFrame(end *pb.End) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_End{End: end}}
}

// drainFrame returns the frame with which a node announces whether it drains.
func drainFrame(draining bool) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}}
}

// updateFrame returns the frame with which the discovery service sends an update.
func updateFrame(update *pb.NodeListUpdate) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: update}}
}
