package native

import (
	"fmt"
	"slices"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangAdmission admits requests for gangs, or rejects them at once.
type gangAdmission struct {
	*core
	requests  *requests
	clients   *clientSessions
	workloads *workloadTable
	durable   *durableBinds
	gangs     *gangs
}

// request starts a gang, or rejects it at once with the reason.
func (a *gangAdmission) request(now placement.Millis, session *clientSession, r *pb.GangRequest) {
	a.counters.Requests++
	id, delay := requestID{session.name, r.RequestId}, a.requests.delay(now, session, r.SentMs)
	if _, held := a.gangs.get(id); held || session.history.contains(r.RequestId) {
		a.counters.DuplicateRequests++
		return
	}
	if r.MinParts == 0 {
		r.MinParts = uint32(len(r.Parts))
	}
	if err := a.validate(r); err != nil {
		a.counters.NotAdmitted++
		a.clients.answer(session.name, &pb.Answer{RequestId: r.RequestId, Verdict: pb.Verdict_REJECTED, Reason: err.Error()})
		return
	}
	if slices.ContainsFunc(r.Parts, func(part *pb.PlaceRequest) bool { return a.durable.boundBefore(now, part.Key) }) {
		a.counters.AnsweredFromJournal++
		a.clients.answer(session.name, &pb.Answer{RequestId: r.RequestId, Verdict: pb.Verdict_UNSCHEDULABLE, Reason: reasonPartKeyBound})
		return
	}
	a.gangs.start(now, id, r, placement.Millis(r.PendingTimeoutMs)-delay)
}

// validate returns why a gang cannot be admitted, or nil. It completes the parts by what is said of the whole.
func (a *gangAdmission) validate(r *pb.GangRequest) error {
	held, limit := a.workloads.count()+a.gangs.unrequestedParts(), a.config.MaxWorkloads
	switch {
	case len(r.Parts) == 0 || len(r.Parts) > maxGangParts:
		return fmt.Errorf("a gang of %d parts; it must have 1 to %d", len(r.Parts), maxGangParts)
	case int(r.MinParts) > len(r.Parts):
		return fmt.Errorf("need is %d of %d parts", r.MinParts, len(r.Parts))
	case !validSpread(r.Spread):
		return fmt.Errorf(`spread is %q; it must be "node", "cell", "zone" or nothing`, r.Spread)
	case r.Replace && r.ReplaceTimeoutMs <= 0:
		return errNoReplaceTimeout
	case limit > 0 && held+len(r.Parts) > limit:
		return fmt.Errorf("the allocator holds %d workloads and may hold %d", held, limit)
	}
	return a.validateParts(r)
}

func (a *gangAdmission) validateParts(r *pb.GangRequest) error {
	keys := make(map[uint64]bool, len(r.Parts))
	for i, part := range r.Parts {
		part.RequestId, part.PendingTimeoutMs = r.RequestId, r.PendingTimeoutMs
		if err := a.requests.validate(part); err != nil {
			return fmt.Errorf("part %d: %w", i, err)
		}
		if keys[part.Key] {
			return fmt.Errorf("part %d has the key of another part", i)
		}
		keys[part.Key] = true
	}
	return nil
}
