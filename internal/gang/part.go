package gang

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// PartState is the state of a part.
type PartState uint8

// The states of a part.
const (
	PartIdle      PartState = iota // not requested, not offered, or failed without having run
	PartRequested                  // being placed, or offered to a node that has not confirmed it
	PartRunning
	PartFinished // ended because its work was done
	PartStopping // being stopped; the end is not confirmed yet
	PartLost     // ended early or while being stopped, not found by Recover, or its bind has an unknown outcome
)

// active reports whether the part is requested, running or being stopped.
func (s PartState) active() bool { return s == PartRequested || s == PartRunning || s == PartStopping }

// PartStarted handles a node's confirmation that a part has started.
func (g *Gang) PartStarted(part int) []Action {
	if g.parts[part] != PartRequested {
		return nil // the part is running already, is being stopped, or has failed or ended
	}
	g.parts[part] = PartRunning
	switch g.state {
	case Starting:
		return g.completeStart()
	case Running:
		return []Action{{Kind: ConfirmParts}} // the part replaces a lost one
	case Pending, RollingBackToRetry, RollingBackToEnd, Ended:
		// No part is PartRequested in these states.
	}
	return nil
}

// FailureOutcome is whether a part that could not be placed may have run.
type FailureOutcome uint8

// The outcomes of a part that could not be placed.
const (
	NeverRan FailureOutcome = iota
	MayRun                  // a bind has an unknown outcome: the part may have run and may still be running
)

// PartFailed handles the failure to place a part.
func (g *Gang) PartFailed(now placement.Millis, part int, outcome FailureOutcome) []Action {
	before := g.parts[part]
	g.parts[part] = PartIdle
	if outcome == MayRun {
		g.parts[part] = PartLost
		g.recordUnknownOutcome(part)
	}
	return g.handlePartInactive(now, before)
}

// PartEnd is the way in which a part ended.
type PartEnd uint8

// The ways in which a part ends.
const (
	EndedEarly PartEnd = iota // stopped, evicted or lost before the part's work was done
	Finished                  // the part's work was done
)

// PartEnded handles the end of a running part.
func (g *Gang) PartEnded(now placement.Millis, part int, end PartEnd) []Action {
	before := g.parts[part]
	if !before.active() {
		return nil // the end is already recorded
	}
	if end == Finished && before == PartRunning {
		g.parts[part] = PartFinished
	} else {
		g.parts[part] = PartLost
		g.recordLoss(part)
	}
	return g.handlePartInactive(now, before)
}

// handlePartInactive advances the gang after a part has failed or ended. The part's previous state is before.
func (g *Gang) handlePartInactive(now placement.Millis, before PartState) []Action {
	switch g.state {
	case Starting:
		if !g.canReachMinimum() {
			return g.failStart(now)
		}
		return g.completeStart()
	case Running:
		return g.handleLoss(now, before)
	case RollingBackToRetry, RollingBackToEnd:
		return g.completeRollback(now)
	case Pending, Ended:
		// No part is active, so a late report does not change the gang's state.
	}
	return nil
}

// hasActiveParts reports whether any part is active.
func (g *Gang) hasActiveParts() bool { return slices.ContainsFunc(g.parts, PartState.active) }

// hasMinimum reports whether enough parts have started.
func (g *Gang) hasMinimum() bool {
	return g.CountParts(PartRunning, PartFinished) >= g.request.MinParts
}

// canReachMinimum reports whether enough parts have started or are requested.
func (g *Gang) canReachMinimum() bool {
	return g.CountParts(PartRequested, PartRunning, PartFinished) >= g.request.MinParts
}

// compareSizes orders parts by their size, larger ones first.
func (g *Gang) compareSizes(x, y int) int {
	return cmp.Compare(g.request.Parts[y].Size, g.request.Parts[x].Size)
}
