package native

import (
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangRecoveryTime is how long, in ms, a recovering gang waits for further parts to be found on nodes. It starts when
// the first part is found.
const gangRecoveryTime = placement.Millis(1500)

// gangRecovery restores gangs of earlier incarnations from their parts that are found on nodes.
type gangRecovery struct {
	*environment
	workloads *workloadTable
	catalog   *catalog
	gangs     *gangTable
	executor  *gangExecutor
}

// partFound handles a part that an earlier incarnation started. After gangRecoveryTime, its gang continues if it was
// confirmed and enough of its parts run; otherwise all its parts are stopped.
func (r *gangRecovery) partFound(now placement.Millis, found *workload, running *pb.RunningWorkload) {
	id := requestID{found.client, found.request.RequestId}
	recovered, exists := r.gangs.get(id)
	if !exists {
		recovered = r.begin(now, id, running.Offer.Gang)
	}
	part := int(running.Offer.Gang.Part)
	if !recovered.isPartMissing(part) {
		// The part was found after gangRecoveryTime or twice, or its index is out of range.
		r.workloads.markWithdrawn(found)
		r.host.Engine().Withdraw(now, found.id)
		return
	}
	found.partOfGang = partOfGang{gang: recovered, part: part}
	recovered.addFound(found, running.Confirmed)
}

// begin starts the recovery of a gang from the first part that was found.
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

// finish creates a gang's state machine from the parts that were found, and executes its decision.
func (r *gangRecovery) finish(now placement.Millis, recovered *gangRequest) {
	if !r.gangs.contains(recovered) {
		return
	}
	var running []int
	for part, id := range recovered.parts {
		if _, exists := r.workloads.get(id); exists {
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
