package gang

import "grebeglade/placement"

// sideEffects records whether parts of a failed gang may have changed something outside the gang. With possible side
// effects the gang is not started again, and its client is not answered that a retry is safe.
type sideEffects uint8

const (
	noSideEffects       sideEffects = iota // no part that must not run twice has run
	possibleSideEffects                    // a part that must not run twice may have run
)

// recordUnknownOutcome records that a part may be running although its placement failed. This includes parts that are
// idempotent by key, because their duplicates are dropped only within the key's scope and window.
func (g *Gang) recordUnknownOutcome(part int) {
	if g.request.Parts[part].Idempotency != placement.Idempotent {
		g.sideEffects = possibleSideEffects
	}
}

// recordLoss records that a part ended before its work was done.
func (g *Gang) recordLoss(part int) {
	if g.request.Parts[part].Idempotency == placement.AtMostOnce {
		g.sideEffects = possibleSideEffects
	}
}

// recordRollback records the side effects of the parts that are about to be stopped and of the finished parts.
func (g *Gang) recordRollback() {
	for part, s := range g.parts {
		if hasSideEffects(s, g.request.Parts[part].Idempotency) {
			g.sideEffects = possibleSideEffects
		}
	}
}

// hasSideEffects reports whether a part in state s prevents its gang from being started again. A finished part counts
// even if it is idempotent by key, because its duplicates are dropped only within the key's scope and window.
func hasSideEffects(s PartState, idempotency placement.Idempotency) bool {
	switch s {
	case PartFinished:
		return idempotency != placement.Idempotent
	case PartRequested, PartRunning:
		return idempotency == placement.AtMostOnce
	case PartIdle, PartStopping, PartLost:
		// The part has not run, or its side effects were recorded when it was stopped or lost.
	}
	return false
}

// failureAnswer returns the final answer for a gang that failed to start.
func (g *Gang) failureAnswer() Action {
	if g.sideEffects == possibleSideEffects {
		return Action{Kind: AnswerUnschedulable}
	}
	return Action{Kind: AnswerRejected}
}
