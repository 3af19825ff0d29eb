package native

import (
	"cmp"

	"grebeglade/internal/frontend"
	"grebeglade/internal/gang"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// defaultStatusLimit is the maximum number of entries in the answer to a query without a limit.
const defaultStatusLimit = 1000

// status answers the queries of operators.
type status struct {
	*environment
	workloads *workloadTable
	nodes     *nodeTable
	gangs     *gangTable
}

// received answers a query on the connection on which it was received.
func (s *status) received(now placement.Millis, conn transport.ConnID, query *pb.Query) {
	s.network.Send(conn, &pb.Frame{Body: &pb.Frame_State{State: s.answer(now, query)}})
}

// answer returns the answer to a query.
func (s *status) answer(now placement.Millis, query *pb.Query) *pb.State {
	state := &pb.State{Revision: s.eventLog.Revision()}
	limit := int(cmp.Or(query.Limit, defaultStatusLimit))
	switch query.Kind {
	case pb.Query_WORKLOADS:
		state.Workloads, state.LeftOut = s.workloadStates(now, limit)
	case pb.Query_GANGS:
		state.Gangs, state.LeftOut = s.gangStates(now, limit)
	case pb.Query_NODES:
		state.Nodes, state.LeftOut = s.nodeStates(now, limit)
	}
	return state
}

// workloadStates returns the first workloads by id, and how many more there are.
func (s *status) workloadStates(now placement.Millis, limit int) (states []*pb.WorkloadState, omitted uint32) {
	all := frontend.SortedValues(s.workloads.byID)
	for _, w := range all[:min(len(all), limit)] {
		states = append(states, workloadStateOf(now, w))
	}
	return states, uint32(max(0, len(all)-limit))
}

// gangStates returns the first gangs by client and request, and how many more there are.
func (s *status) gangStates(now placement.Millis, limit int) (states []*pb.GangStatus, omitted uint32) {
	all := s.gangs.sorted()
	for _, g := range all[:min(len(all), limit)] {
		states = append(states, gangStatusOf(now, g))
	}
	return states, uint32(max(0, len(all)-limit))
}

// nodeStates returns the first nodes by id, and how many more there are.
func (s *status) nodeStates(now placement.Millis, limit int) (states []*pb.NodeStatus, omitted uint32) {
	placed, inFlight := s.countByNode()
	all := s.nodes.sorted
	for _, n := range all[:min(len(all), limit)] {
		state := nodeStatusOf(now, n)
		state.Residents = placed[n.id]
		state.BindsInFlight = inFlight[n.id]
		states = append(states, state)
	}
	return states, uint32(max(0, len(all)-limit))
}

// countByNode counts the workloads by the node of their last bind: placed ones, and ones with a bind in flight.
func (s *status) countByNode() (placed, inFlight map[placement.NodeID]uint32) {
	placed = map[placement.NodeID]uint32{}
	inFlight = map[placement.NodeID]uint32{}
	for _, w := range s.workloads.byID {
		switch {
		case len(w.bindNodes) == 0:
		case w.state.accepted():
			placed[w.lastNode()]++
		default:
			inFlight[w.lastNode()]++
		}
	}
	return placed, inFlight
}

// workloadStateOf returns a workload's entry in the answer to a query.
func workloadStateOf(now placement.Millis, w *workload) *pb.WorkloadState {
	return &pb.WorkloadState{
		Workload:  uint64(w.id),
		Client:    w.client,
		RequestId: w.request.RequestId,
		Key:       w.request.Key,
		Service:   w.request.Service,
		Group:     w.request.Group,
		Cores:     w.request.Cores,
		Memory:    w.request.Memory,
		Binds:     uint32(len(w.bindNodes)),
		SinceMs:   float64(now - w.receivedAt),
		State:     w.state.String(),
		Node:      uint32(w.lastNode()),
	}
}

// nodeStatusOf returns a node's entry in the answer to a query, without the counts of its workloads.
func nodeStatusOf(now placement.Millis, n *node) *pb.NodeStatus {
	return &pb.NodeStatus{
		Id:            uint32(n.id),
		Kind:          n.kind,
		Zone:          n.zone,
		Address:       n.address,
		FreeCores:     n.entry.FreeCores,
		FreeMemory:    n.entry.FreeMemory,
		ListedMs:      float64(now - n.updatedAt),
		LastRejection: n.lastRejection,
		State:         nodeStateNames[n.state()],
		Connection:    n.session.state.String(),
	}
}

// nodeStateNames has the names of node states for operators. They are part of the command line's output.
var nodeStateNames = [...]string{
	placement.Ready:    "ready",
	placement.Draining: "draining",
	placement.Removed:  "gone",
}

// gangStatusOf returns a gang's entry in the answer to a query.
func gangStatusOf(now placement.Millis, g *gangRequest) *pb.GangStatus {
	shown := &pb.GangStatus{
		Client:    g.id.client,
		RequestId: g.id.request,
		State:     g.stateName(),
		Parts:     uint32(len(g.parts)),
		MinParts:  g.request.MinParts,
		SinceMs:   float64(now - g.receivedAt),
	}
	for _, id := range g.parts {
		shown.Workloads = append(shown.Workloads, uint64(id))
	}
	if g.recovering() {
		return shown
	}
	shown.Attempts = uint32(g.machine.Attempts())
	shown.Running = uint32(g.machine.CountParts(gang.PartRunning))
	return shown
}
