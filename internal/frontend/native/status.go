package native

import (
	"cmp"

	"grebeglade/internal/frontend"
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// defaultStatusLimit is how many entries an operator's query returns at most, unless it says otherwise.
const defaultStatusLimit = 1000

// status answers the queries of operators.
type status struct {
	*core
	workloads *workloadTable
	nodes     *nodeTable
	gangs     *gangs
}

// answer answers a query.
func (s *status) answer(now placement.Millis, q *pb.Query) *pb.State {
	state := &pb.State{Revision: s.eventLog.Revision()}
	limit := int(cmp.Or(q.Limit, defaultStatusLimit))
	switch q.Kind {
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
	for _, wl := range all[:min(len(all), limit)] {
		states = append(states, workloadStateOf(now, wl))
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
	placed, unanswered := s.countByNode()
	all := s.nodes.sorted
	for _, n := range all[:min(len(all), limit)] {
		state := nodeStatusOf(now, n)
		state.Residents, state.BindsInFlight = placed[n.id], unanswered[n.id]
		states = append(states, state)
	}
	return states, uint32(max(0, len(all)-limit))
}

// countByNode counts the workloads by the node of their last bind: those that are placed there, and those that are not.
func (s *status) countByNode() (placed, unanswered map[placement.NodeID]uint32) {
	placed, unanswered = map[placement.NodeID]uint32{}, map[placement.NodeID]uint32{}
	for _, wl := range s.workloads.byID {
		switch {
		case len(wl.bindNodes) == 0:
		case wl.state.accepted():
			placed[wl.lastNode()]++
		default:
			unanswered[wl.lastNode()]++
		}
	}
	return placed, unanswered
}

func workloadStateOf(now placement.Millis, wl *workload) *pb.WorkloadState {
	s := &pb.WorkloadState{
		Workload: uint64(wl.id), Client: wl.client, RequestId: wl.request.RequestId, Key: wl.request.Key, Service: wl.request.Service,
		Group: wl.request.Group, Cores: wl.request.Cores, Memory: wl.request.Memory, Binds: uint32(len(wl.bindNodes)),
		SinceMs: float64(now - wl.receivedAt), State: "pending", Node: uint32(wl.lastNode()),
	}
	switch {
	case wl.state.withdrawn():
		s.State = "stopping"
	case wl.state == workloadPlaced:
		s.State = "placed"
	}
	return s
}

func nodeStatusOf(now placement.Millis, n *node) *pb.NodeStatus {
	return &pb.NodeStatus{
		Id: uint32(n.id), Kind: n.kind, Zone: n.zone, Address: n.address, FreeCores: n.entry.FreeCores,
		FreeMemory: n.entry.FreeMemory, ListedMs: float64(now - n.updatedAt), LastRejection: n.lastRefusal,
		State:      [...]string{"ready", "draining", "gone"}[n.state()],
		Connection: [...]string{"none", "dialling", "open"}[n.session.state],
	}
}

func gangStatusOf(now placement.Millis, g *gangRequest) *pb.GangStatus {
	s := &pb.GangStatus{
		Client: g.id.client, RequestId: g.id.request, State: "found", Parts: uint32(len(g.parts)), MinParts: g.request.MinParts,
		SinceMs: float64(now - g.receivedAt),
	}
	for _, id := range g.parts {
		s.Workloads = append(s.Workloads, uint64(id))
	}
	if g.recovering() {
		return s
	}
	s.State, s.Attempts = g.state.State.String(), uint32(g.state.Attempts())
	for _, part := range g.state.Parts {
		if part == gang.PartRunning {
			s.Running++
		}
	}
	return s
}
