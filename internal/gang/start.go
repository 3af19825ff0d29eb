package gang

import (
	"slices"

	"grebeglade/placement"
)

const (
	// minStartTime is the least time for a start, in ms. With less time left, an attempt would only be rolled back.
	minStartTime = placement.Millis(300)
	// minAnswerMargin is the least time between the answer to the client and the end of the pending timeout, in ms.
	minAnswerMargin = placement.Millis(20)
	// answerMarginShare is the answer margin as a share of the pending timeout. The margin grows with the timeout
	// because a request with a long timeout may have been delayed longer in the network.
	answerMarginShare = placement.Millis(0.02)
)

// Start starts the gang. All parts are requested in one Attempt, so that they are placed on the same view of the nodes.
func (g *Gang) Start(now placement.Millis) []Action {
	if g.state != Pending {
		return nil
	}
	if g.deadline-now < minStartTime {
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
		{Kind: SetTimer, At: g.answerDeadline()},
	}
}

// AttemptResult handles the result of an Attempt: the parts that were offered to nodes, in any order. There are either
// at least MinParts of them, or none.
func (g *Gang) AttemptResult(offeredParts []int) []Action {
	if g.state != Starting {
		return nil
	}
	g.resetUnoffered(offeredParts)
	if g.canReachMinimum() {
		return nil
	}
	return g.endFailed() // too few parts fit on the nodes
}

// resetUnoffered resets the requested parts that were not offered to a node to PartIdle.
func (g *Gang) resetUnoffered(offeredParts []int) {
	offered := make([]bool, len(g.parts)) // index: part
	for _, part := range offeredParts {
		offered[part] = true
	}
	for part, s := range g.parts {
		if s == PartRequested && !offered[part] {
			g.parts[part] = PartIdle
		}
	}
}

// completeStart changes the state to Running once enough parts have started and no further part is requested.
func (g *Gang) completeStart() []Action {
	if !g.hasMinimum() || g.CountParts(PartRequested) > 0 {
		return nil
	}
	g.state = Running
	return append([]Action{{Kind: ConfirmParts}, {Kind: AnswerPlaced}}, g.completeRun()...)
}

// startTimedOut handles the answer deadline of a start: if enough parts run, the others are stopped; otherwise all are.
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

// failStart ends a start that can no longer reach MinParts. If the gang may be retried, the client keeps waiting.
func (g *Gang) failStart(now placement.Millis) []Action {
	g.recordRollback()
	if g.mayRetry(now) {
		return g.rollBack(now, RollingBackToRetry)
	}
	return g.abandonStart(now)
}

// abandonStart ends a start that is not retried. The side effects of its parts must already be recorded. The client is
// answered immediately, without waiting for the parts to end.
func (g *Gang) abandonStart(now placement.Millis) []Action {
	return append([]Action{g.failureAnswer()}, g.rollBack(now, RollingBackToEnd)...)
}

// answerDeadline returns the latest time for the final answer. The client's timeout starts when it sends the request,
// and the time that the request spent in the network is not available here, hence the margin. The margin is too short
// for a part to start in, so answering before the timeout costs little.
func (g *Gang) answerDeadline() placement.Millis {
	return g.deadline - max(minAnswerMargin, answerMarginShare*g.request.PendingTimeout)
}
