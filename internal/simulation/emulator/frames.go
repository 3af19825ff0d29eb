package emulator

import pb "grebeglade/proto/grebeglade/v1"

// withdrawFrame returns a client's withdrawal of a request.
func withdrawFrame(requestID uint64) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{RequestId: requestID}}}
}

// offerReplyFrame returns a node's answer to an offer.
func offerReplyFrame(reply *pb.OfferReply) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: reply}}
}

// healthReplyFrame returns a node's answer to a health check.
func healthReplyFrame(checkID uint64, load *pb.Load) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_HealthReply{HealthReply: &pb.HealthReply{Id: checkID, Load: load}}}
}

// endFrame returns a node's report that a workload has ended.
func endFrame(end *pb.End) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_End{End: end}}
}

// drainFrame returns a node's announcement of the start or end of a drain.
func drainFrame(draining bool) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}}
}

// updateFrame returns an update of the discovery service.
func updateFrame(update *pb.NodeListUpdate) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: update}}
}
