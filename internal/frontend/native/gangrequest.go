package native

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	// leaseMargin is the time, in ms, by which the lease of a part exceeds the time left for the gang's start or, once
	// the gang runs, the replace timeout.
	leaseMargin = placement.Millis(3e3)
	// maxGangParts is the maximum number of parts of a gang.
	maxGangParts = 1000
)

// gangSeed is the seed of a gang's state machine.
func gangSeed(seed uint64, id requestID) uint64 { return seed ^ id.request }

// gangRequest is a gang with the client's request for it.
type gangRequest struct {
	id           requestID
	request      *pb.GangRequest
	machine      *gang.Gang             // nil while recovering: gang.Recover needs all parts together
	parts        []placement.WorkloadID // workload of each part; 0 if the part is not requested
	receivedAt   placement.Millis
	deadline     placement.Millis // time until which the client waits for its answer
	answer       frontend.AnswerState
	confirmation gang.Confirmation // whether any found part is confirmed; recovery only
	tracedState  gang.State        // state after the last execute; only changes are traced
}

// awaitedBy reports whether the client waits for the answer to the request.
func (g *gangRequest) awaitedBy(client string) bool {
	return g.id.client == client && g.answer == frontend.AnswerDue
}

// recovering reports whether parts of the gang were found on nodes after a restart, and others may follow.
func (g *gangRequest) recovering() bool { return g.machine == nil }

// stateName returns the gang's state for operators. The names are part of the command line's output.
func (g *gangRequest) stateName() string {
	if g.recovering() {
		return "found"
	}
	return g.machine.State().String()
}

// isRunning reports whether the gang runs: enough parts run and its client was answered.
func (g *gangRequest) isRunning() bool { return !g.recovering() && g.machine.State() == gang.Running }

// isPartMissing reports whether the gang is recovering and the part has not been found.
func (g *gangRequest) isPartMissing(part int) bool {
	return g.recovering() && part < len(g.parts) && g.parts[part] == 0
}

// addFound adds a part to a recovering gang. confirmed is true if the part's node was notified that the gang runs.
func (g *gangRequest) addFound(w *workload, confirmed bool) {
	g.parts[w.part] = w.id
	g.request.Parts[w.part] = w.request
	if confirmed {
		g.confirmation = gang.Confirmed
	}
}

// partDescription is the description of the gang in the offer of a part. The node ends the part after its lease, unless
// the gang is confirmed by then.
func (g *gangRequest) partDescription(now placement.Millis, part int) *pb.GangPart {
	lease := max(0, g.deadline-now) + leaseMargin
	if g.isRunning() {
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

// unrequestedParts returns the number of parts that have no workload.
func (g *gangRequest) unrequestedParts() int {
	count := 0
	for _, id := range g.parts {
		if id == 0 {
			count++
		}
	}
	return count
}

// endReason returns the reason in the notification of a running gang's end.
func (g *gangRequest) endReason() pb.Reason {
	if g.machine.CountParts(gang.PartFinished) < len(g.parts) {
		return pb.Reason_LOST
	}
	return pb.Reason_FINISHED
}
