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
	PartIdle      PartState = iota // never offered, or known never to have run
	PartRequested                  // to be placed, or on its way to a node
	PartRunning
	PartFinished // it completed by itself
	PartStopping // being stopped; its end is not confirmed yet
	PartLost     // it ended before its time, or may have run and is out of reach
)

// active reports whether the part is on its way, runs or is being stopped.
func (s PartState) active() bool { return s == PartRequested || s == PartRunning || s == PartStopping }

// PartStarted handles the start of a part.
func (g *Gang) PartStarted(part int) []Action {
	if g.parts[part] != PartRequested {
		return nil // it was cancelled meanwhile
	}
	g.parts[part] = PartRunning
	switch g.state {
	case Starting:
		return g.completeStart()
	case Running:
		return []Action{{Kind: ConfirmParts}} // it replaces one that was lost
	case Pending, RollingBackToRetry, RollingBackToEnd, Ended:
		// No part is PartRequested in these states.
	}
	return nil
}

// FailureOutcome is what is known of a part that was not placed.
type FailureOutcome uint8

// The outcomes.
const (
	NeverRan FailureOutcome = iota
	MayRun                  // a bind of it has an unknown outcome: it may have run, and may run still
)

// PartFailed handles a part that was not placed.
func (g *Gang) PartFailed(now placement.Millis, part int, outcome FailureOutcome) []Action {
	before := g.parts[part]
	g.parts[part] = PartIdle
	if outcome == MayRun {
		g.parts[part] = PartLost
		g.recordUnknownOutcome(part)
	}
	return g.continueWithout(now, before)
}

// PartEnd is how a part ended.
type PartEnd uint8

// The ends.
const (
	EndedEarly PartEnd = iota // it was stopped, evicted or lost
	Finished                  // its work was done
)

// PartEnded handles the end of a running part.
func (g *Gang) PartEnded(now placement.Millis, part int, end PartEnd) []Action {
	before := g.parts[part]
	if !before.active() {
		return nil // it has ended already
	}
	if end == Finished && before == PartRunning {
		g.parts[part] = PartFinished
	} else {
		g.parts[part] = PartLost
		g.recordLoss(part)
	}
	return g.continueWithout(now, before)
}

// continueWithout goes on after a part that was in the given state is no longer on its way or running.
func (g *Gang) continueWithout(now placement.Millis, before PartState) []Action {
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
		// No part is active. A report that comes late changes the part's state at most.
	}
	return nil
}

// hasActiveParts reports whether any part is active.
func (g *Gang) hasActiveParts() bool { return slices.ContainsFunc(g.parts, PartState.active) }

// hasMinimum reports whether enough parts have started.
func (g *Gang) hasMinimum() bool {
	return g.CountParts(PartRunning, PartFinished) >= g.request.MinParts
}

// canReachMinimum reports whether enough parts have started, or may start without a further request.
func (g *Gang) canReachMinimum() bool {
	return g.CountParts(PartRequested, PartRunning, PartFinished) >= g.request.MinParts
}

// compareSizes orders parts by their size, larger ones first.
func (g *Gang) compareSizes(x, y int) int {
	return cmp.Compare(g.request.Parts[y].Size, g.request.Parts[x].Size)
}
