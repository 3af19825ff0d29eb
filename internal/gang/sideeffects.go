package gang

import "grebeglade/placement"

// sideEffects is whether parts of a gang that does not run may have changed something outside of it. With possible
// side effects the gang is not started again, and its client is not answered that a retry does no harm.
type sideEffects uint8

const (
	noSideEffects       sideEffects = iota // no part that must not run twice has run
	possibleSideEffects                    // a part that must not run twice may have run
)

// recordUnknownOutcome records that a part may run although it was not placed. A part that is idempotent by key counts
// too: a repeat of it is dropped only on some nodes and for some time.
func (g *Gang) recordUnknownOutcome(part int) {
	if g.request.Parts[part].Idempotency != placement.Idempotent {
		g.sideEffects = possibleSideEffects
	}
}

// recordLoss records that a part ended before its time.
func (g *Gang) recordLoss(part int) {
	if g.request.Parts[part].Idempotency == placement.AtMostOnce {
		g.sideEffects = possibleSideEffects
	}
}

// recordRollback records the side effects of the parts that are about to be stopped, and of those that have finished.
func (g *Gang) recordRollback() {
	for part, s := range g.parts {
		if hasSideEffects(s, g.request.Parts[part].Idempotency) {
			g.sideEffects = possibleSideEffects
		}
	}
}

// hasSideEffects reports whether a part in that state keeps its gang from being started again. A part that finished
// has had its effect: even where a repeat is dropped by its idempotency key, that holds only on some nodes and for
// some time.
func hasSideEffects(s PartState, idempotency placement.Idempotency) bool {
	switch s {
	case PartFinished:
		return idempotency != placement.Idempotent
	case PartRequested, PartRunning:
		return idempotency == placement.AtMostOnce
	case PartIdle, PartStopping, PartLost:
		// It has not run, or its side effects were recorded when it was stopped or lost.
	}
	return false
}

// failureAnswer is the final answer for a gang that does not run.
func (g *Gang) failureAnswer() Action {
	if g.sideEffects == possibleSideEffects {
		return Action{Kind: AnswerUnschedulable}
	}
	return Action{Kind: AnswerRejected}
}
