package native

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	// leaseMargin is how long, in ms, a part whose gang was not confirmed runs beyond the timeout of its start.
	leaseMargin = placement.Millis(3e3)
	// maxGangParts is how many parts a gang may have.
	maxGangParts = 1000
)

// gangSeed is the seed of a gang's state machine.
func gangSeed(seed uint64, id requestID) uint64 { return seed ^ id.request }

// gangRequest is a client's request for a gang.
type gangRequest struct {
	id           requestID
	request      *pb.GangRequest
	machine      *gang.Gang             // nil while the gang is recovering, as gang.Recover takes all parts at once
	parts        []placement.WorkloadID // the workload of each part, 0 for one that is not requested now
	receivedAt   placement.Millis
	deadline     placement.Millis // until which the client waits for its answer
	answer       frontend.AnswerState
	confirmation gang.Confirmation // of one that is recovering, by the parts found so far
	tracedState  gang.State        // the last one that the trace has
}

// recovering reports whether parts of the gang were found on nodes after a restart, and others may follow.
func (g *gangRequest) recovering() bool { return g.machine == nil }

// stateName is the gang's state as operators are shown it. The names are part of the command line's output.
func (g *gangRequest) stateName() string {
	if g.recovering() {
		return "found"
	}
	return g.machine.State().String()
}

// runs reports whether enough of the gang's parts run, and its client has its answer.
func (g *gangRequest) runs() bool { return !g.recovering() && g.machine.State() == gang.Running }

// lacks reports whether the gang is recovering and the part was not found yet.
func (g *gangRequest) lacks(part int) bool {
	return g.recovering() && part < len(g.parts) && g.parts[part] == 0
}

// addFound adds a part of a recovering gang. Confirmed is whether the part's node was notified that the gang runs.
func (g *gangRequest) addFound(w *workload, confirmed bool) {
	g.parts[w.part] = w.id
	g.request.Parts[w.part] = w.request
	if confirmed {
		g.confirmation = gang.Confirmed
	}
}

// offerPart is the description of the gang in the offer of a part. The node ends the part after its lease, unless the
// gang is confirmed by then.
func (g *gangRequest) offerPart(now placement.Millis, part int) *pb.GangPart {
	lease := max(0, g.deadline-now) + leaseMargin
	if g.runs() {
		lease = placement.Millis(g.request.ReplaceTimeoutMs) + leaseMargin
	}
	return &pb.GangPart{
		Part:             uint32(part),
		Of:               uint32(len(g.parts)),
		MinParts:         g.request.MinParts,
		LeaseMs:          float64(lease),
		Replace:          g.request.Replace,
		ReplaceTimeoutMs: g.request.ReplaceTimeoutMs,
	}
}

// unrequestedParts counts the parts that have no workload now.
func (g *gangRequest) unrequestedParts() int {
	count := 0
	for _, id := range g.parts {
		if id == 0 {
			count++
		}
	}
	return count
}

// endReason is the reason that the client gets for the end of its running gang.
func (g *gangRequest) endReason() pb.Reason {
	if g.machine.CountParts(gang.PartFinished) < len(g.parts) {
		return pb.Reason_LOST
	}
	return pb.Reason_FINISHED
}
