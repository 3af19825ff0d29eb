package gang

import (
	"slices"

	"grebeglade/placement"
)

const (
	// minStartTime is the time that a start needs. With less left, another attempt is wasted.
	minStartTime = placement.Millis(300)
	// minAnswerMargin is how long before the pending timeout the client is answered, at least.
	minAnswerMargin = placement.Millis(20)
	// answerMarginShare is the same as a share of the pending timeout: a request with a long timeout may have been
	// delayed for longer on its way here.
	answerMarginShare = placement.Millis(0.02)
)

// Start starts the gang: all parts are requested at once, so that they are placed by what is known at one time.
func (g *Gang) Start(now placement.Millis) []Action {
	if g.state != Pending {
		return nil
	}
	if g.expires-now < minStartTime {
		return g.endFailed()
	}
	g.state = Starting
	g.attempts++
	parts := make([]int, 0, len(g.parts))
	for part := range g.parts {
		g.parts[part] = PartRequested
		parts = append(parts, part)
	}
	slices.SortStableFunc(parts, g.compareSizes)
	return []Action{
		{
			Kind:     Attempt,
			Parts:    parts,
			MinParts: g.request.MinParts,
		},
		{Kind: SetTimer, At: g.answerBy()},
	}
}

// AttemptResult handles the result of an Attempt: the parts that were offered to nodes, in any order. There are enough
// of them for the gang, or none.
func (g *Gang) AttemptResult(offeredParts []int) []Action {
	if g.state != Starting {
		return nil
	}
	g.resetUnoffered(offeredParts)
	if g.canReachMinimum() {
		return nil
	}
	return g.endFailed() // as far as is known, it does not fit as a whole
}

// resetUnoffered has the requested parts that were not offered to a node count as never offered.
func (g *Gang) resetUnoffered(offeredParts []int) {
	offered := make([]bool, len(g.parts)) // by part
	for _, part := range offeredParts {
		offered[part] = true
	}
	for part, s := range g.parts {
		if s == PartRequested && !offered[part] {
			g.parts[part] = PartIdle
		}
	}
}

// completeStart ends the start once enough parts have started and none is on its way.
func (g *Gang) completeStart() []Action {
	if !g.hasMinimum() || g.CountParts(PartRequested) > 0 {
		return nil
	}
	g.state = Running
	return append([]Action{{Kind: ConfirmParts}, {Kind: AnswerPlaced}}, g.completeRun()...)
}

// startTimedOut ends a start whose time is over: if enough parts run the others are stopped, else all of them.
func (g *Gang) startTimedOut(now placement.Millis) []Action {
	if !g.hasMinimum() {
		g.recordRollback()
		return g.abandonStart(now)
	}
	var actions []Action
	for part, s := range g.parts {
		if s == PartRequested {
			actions = append(actions, g.stop(part))
		}
	}
	return append(actions, g.completeStart()...)
}

// failStart ends a start that too few parts are left for. If the gang may be started again, its client waits for that.
func (g *Gang) failStart(now placement.Millis) []Action {
	g.recordRollback()
	if g.mayRetry(now) {
		return g.rollBack(now, RollingBackToRetry)
	}
	return g.abandonStart(now)
}

// abandonStart ends a start that is not repeated, once the side effects of its parts are recorded. The client is
// answered at once, not when all parts have ended.
func (g *Gang) abandonStart(now placement.Millis) []Action {
	return append([]Action{g.failureAnswer()}, g.rollBack(now, RollingBackToEnd)...)
}

// answerBy is when the client is answered at the latest. The client counts its timeout from when it sent the request,
// and how long the request took to arrive is not known here. The margin is too short for a part to start in, so an
// answer before the timeout costs little.
func (g *Gang) answerBy() placement.Millis {
	return g.expires - max(minAnswerMargin, answerMarginShare*g.request.PendingTimeout)
}
