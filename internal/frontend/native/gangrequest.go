package native

import (
	"slices"

	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	leaseMargin  = placement.Millis(3e3) // ms beyond a start's timeout for which a part runs whose gang was not confirmed
	maxGangParts = 1000
)

// gangRequest is a client's request for a gang.
type gangRequest struct {
	id          requestID
	request     *pb.GangRequest
	state       *gang.Gang             // nil while the gang is recovering; see recovering
	parts       []placement.WorkloadID // the workload of each part, 0 for one that is not requested now
	receivedAt  placement.Millis
	expires     placement.Millis // when the client gives up
	answerDue   bool             // the client waits for its final answer
	confirmed   bool             // of one that is recovering: a part's node knew that the gang runs
	tracedState gang.State       // the last one that the trace has
}

// recovering reports whether parts of the gang were found on nodes after a restart, and others may follow.
func (g *gangRequest) recovering() bool { return g.state == nil }

// runs reports whether enough of the gang's parts run, and its client has its answer.
func (g *gangRequest) runs() bool { return !g.recovering() && g.state.State == gang.Running }

// offerPart is the description of the gang in the offer of a part. The node ends the part after its lease, unless the
// gang is confirmed by then.
func (g *gangRequest) offerPart(now placement.Millis, part int) *pb.GangPart {
	lease := max(0, g.expires-now) + leaseMargin
	if g.runs() {
		lease = placement.Millis(g.request.ReplaceTimeoutMs) + leaseMargin
	}
	return &pb.GangPart{
		Part: uint32(part), Of: uint32(len(g.parts)), MinParts: g.request.MinParts, LeaseMs: float64(lease),
		Replace: g.request.Replace, ReplaceTimeoutMs: g.request.ReplaceTimeoutMs,
	}
}

// unrequestedParts counts the parts that have no workload now.
func (g *gangRequest) unrequestedParts() int {
	n := 0
	for _, id := range g.parts {
		if id == 0 {
			n++
		}
	}
	return n
}

// endReason is the reason that the client gets for the end of its running gang.
func (g *gangRequest) endReason() pb.Reason {
	if slices.ContainsFunc(g.state.Parts, func(s gang.PartState) bool { return s != gang.PartFinished }) {
		return pb.Reason_LOST
	}
	return pb.Reason_FINISHED
}
