package native

import (
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangRecoveryTime is how long, in ms, parts that are found on nodes after a restart wait for the other parts.
const gangRecoveryTime = placement.Millis(1500)

// gangRecovery puts gangs that an earlier incarnation started together again, from the parts that are found on nodes.
type gangRecovery struct {
	*core
	workloads *workloadTable
	gangs     *gangs
}

// partFound handles a part that an earlier incarnation started. Once all nodes had time to connect, its gang goes on if it
// was confirmed to run, or all of it is stopped.
func (r *gangRecovery) partFound(now placement.Millis, wl *workload, s *pb.RunningWorkload) {
	of := s.Offer.Gang
	id := requestID{wl.client, wl.request.RequestId}
	g, found := r.gangs.get(id)
	if !found {
		g = r.begin(now, id, of)
	}
	part := int(of.Part)
	if !g.recovering() || part >= len(g.parts) || g.parts[part] != 0 {
		// It was found too late, or twice.
		r.workloads.markWithdrawn(wl)
		r.Engine().Withdraw(now, wl.id)
		return
	}
	wl.gang, wl.part = g, part
	g.parts[part], g.request.Parts[part] = wl.id, wl.request
	g.confirmed = g.confirmed || s.Confirmed
}

// begin begins to recover a gang, of which the given part was found first.
func (r *gangRecovery) begin(now placement.Millis, id requestID, part *pb.GangPart) *gangRequest {
	parts := min(max(part.Of, part.Part+1), maxGangParts)
	g := &gangRequest{
		id: id, receivedAt: now, parts: make([]placement.WorkloadID, parts),
		request: &pb.GangRequest{
			RequestId: id.request, MinParts: part.MinParts, Replace: part.Replace, ReplaceTimeoutMs: part.ReplaceTimeoutMs,
			Parts: make([]*pb.PlaceRequest, parts),
		},
	}
	r.gangs.add(g)
	r.Schedule(now+gangRecoveryTime, func(now placement.Millis) { r.finish(now, g) })
	return g
}

// finish decides about a gang by the parts that were found.
func (r *gangRecovery) finish(now placement.Millis, g *gangRequest) {
	if !r.gangs.holds(g) {
		return
	}
	running := make([]bool, len(g.parts))
	for part, id := range g.parts {
		_, running[part] = r.workloads.get(id)
		if g.request.Parts[part] == nil {
			g.request.Parts[part] = &pb.PlaceRequest{}
		}
	}
	var decided []gang.Action
	g.state, decided = gang.Recover(now, r.gangs.stateRequest(g.request, 0), running, g.confirmed, r.gangs.seed(g.id.request))
	r.gangs.execute(now, g, decided)
}
