package native

import (
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// nodeSender sends frames to connected nodes. It drops frames to other nodes and does not queue them: when the node is
// connected again, it may be draining or restarted, and queueing offers brings no gain (docs/review-findings.md). A
// workload whose stop was not sent is listed in the node's next hello; see reconciler.
type nodeSender struct {
	*environment
	nodes *nodeTable
}

// send sends a frame, and reports whether the node is connected.
func (s *nodeSender) send(id placement.NodeID, frame *pb.Frame) bool {
	n, listed := s.nodes.get(id)
	if !listed || !n.connected() {
		return false
	}
	s.network.Send(n.session.conn, frame)
	return true
}

// offer sends an offer, and reports whether the node is connected.
func (s *nodeSender) offer(id placement.NodeID, offer *pb.Offer) bool {
	return s.send(id, &pb.Frame{Body: &pb.Frame_Offer{Offer: offer}})
}

// stop sends a node the stop of a workload, whether the node has accepted it or not.
func (s *nodeSender) stop(id placement.NodeID, bind *pb.BindID) {
	s.send(id, &pb.Frame{Body: &pb.Frame_Stop{Stop: &pb.Stop{Bind: bind}}})
}

// stopPending cancels an offer that the node has not accepted yet. An accepted workload continues to run.
func (s *nodeSender) stopPending(id placement.NodeID, bind *pb.BindID) {
	s.send(id, &pb.Frame{Body: &pb.Frame_Stop{Stop: &pb.Stop{Bind: bind, OnlyWaiting: true}}})
}

// confirmGang notifies a node that the gang of one of its parts runs, so that the part's lease no longer applies.
func (s *nodeSender) confirmGang(id placement.NodeID, bind *pb.BindID) {
	s.send(id, &pb.Frame{Body: &pb.Frame_ConfirmGang{ConfirmGang: &pb.ConfirmGang{Bind: bind}}})
}
