package native

import (
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangRecoveryTime is how long, in ms, parts that are found on nodes after a restart wait for the other parts.
const gangRecoveryTime = placement.Millis(1500)

// gangRecovery restores gangs that an earlier incarnation started, from the parts that are found on nodes.
type gangRecovery struct {
	*environment
	workloads *workloadTable
	catalog   *catalog
	gangs     *gangTable
	executor  *gangExecutor
}

// partFound handles a part that an earlier incarnation started. Once all nodes had time to connect, its gang goes
// on if it was confirmed to run, or all of it is stopped.
func (r *gangRecovery) partFound(now placement.Millis, found *workload, running *pb.RunningWorkload) {
	id := requestID{found.client, found.request.RequestId}
	recovered, known := r.gangs.get(id)
	if !known {
		recovered = r.begin(now, id, running.Offer.Gang)
	}
	part := int(running.Offer.Gang.Part)
	if !recovered.lacks(part) {
		// It was found too late, or twice.
		r.workloads.markWithdrawn(found)
		r.host.Engine().Withdraw(now, found.id)
		return
	}
	found.partOfGang = partOfGang{gang: recovered, part: part}
	recovered.addFound(found, running.Confirmed)
}

// begin begins to recover a gang, of which the given part was found first.
func (r *gangRecovery) begin(now placement.Millis, id requestID, part *pb.GangPart) *gangRequest {
	parts := min(max(part.Of, part.Part+1), maxGangParts)
	recovered := &gangRequest{
		id: id,
		request: &pb.GangRequest{
			RequestId:        id.request,
			MinParts:         part.MinParts,
			Replace:          part.Replace,
			ReplaceTimeoutMs: part.ReplaceTimeoutMs,
			Parts:            make([]*pb.PlaceRequest, parts),
		},
		parts:      make([]placement.WorkloadID, parts),
		receivedAt: now,
	}
	r.gangs.addFound(recovered)
	r.host.Schedule(now+gangRecoveryTime, func(now placement.Millis) { r.finish(now, recovered) })
	return recovered
}

// finish decides about a gang by the parts that were found.
func (r *gangRecovery) finish(now placement.Millis, recovered *gangRequest) {
	if !r.gangs.holds(recovered) {
		return
	}
	var running []int
	for part, id := range recovered.parts {
		if _, held := r.workloads.get(id); held {
			running = append(running, part)
		}
		if recovered.request.Parts[part] == nil {
			recovered.request.Parts[part] = &pb.PlaceRequest{}
		}
	}
	request := r.catalog.gangRequest(recovered.request, 0)
	seed := gangSeed(r.config.Seed, recovered.id)
	machine, decided := gang.Recover(now, request, running, recovered.confirmation, seed)
	recovered.machine = machine
	r.executor.execute(now, recovered, decided)
}
