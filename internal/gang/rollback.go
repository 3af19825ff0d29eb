package gang

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// stopRetryInterval is the time after which a stop without a result is repeated, in ms.
const stopRetryInterval = placement.Millis(2e3)

// rollBack enters the given rollback state and stops all parts: first the requested ones, which costs least and frees
// the nodes' queues, then the running ones. Within both groups larger parts come first.
func (g *Gang) rollBack(now placement.Millis, state State) []Action {
	g.state = state
	var actions []Action
	for _, part := range g.stopOrder() {
		actions = append(actions, g.stop(part))
	}
	actions = append(actions, g.setStopTimer(now))
	return append(actions, g.completeRollback(now)...)
}

// stopOrder returns the parts that a rollback stops, in the order in which it stops them.
func (g *Gang) stopOrder() []int {
	var parts []int
	for part, s := range g.parts {
		if s == PartRequested || s == PartRunning {
			parts = append(parts, part)
		}
	}
	slices.SortStableFunc(parts, func(x, y int) int {
		return cmp.Or(cmp.Compare(g.parts[x], g.parts[y]), g.compareSizes(x, y))
	})
	return parts
}

// stop marks a part as being stopped and returns the action that stops it.
func (g *Gang) stop(part int) Action {
	g.parts[part] = PartStopping
	return Action{Kind: StopPart, Part: part}
}

// setStopTimer sets the timer for repeating stops without a result.
func (g *Gang) setStopTimer(now placement.Millis) Action {
	g.stopRetryAt = now + stopRetryInterval
	return Action{Kind: SetTimer, At: g.stopRetryAt}
}

// repeatStops repeats the stops without a result if stopRetryInterval has passed.
func (g *Gang) repeatStops(now placement.Millis) []Action {
	if now < g.stopRetryAt {
		return nil
	}
	actions := []Action{g.setStopTimer(now)}
	for part, s := range g.parts {
		if s == PartStopping {
			actions = append(actions, Action{Kind: StopPart, Part: part})
		}
	}
	return actions
}

// answerIfDue answers the client of a gang that is rolled back for a retry once the answer deadline has passed. The
// gang is then not retried.
func (g *Gang) answerIfDue(now placement.Millis) []Action {
	if now < g.answerDeadline() {
		return nil
	}
	g.state = RollingBackToEnd
	return []Action{g.failureAnswer()}
}

// completeRollback ends the rollback once no part is active: the gang waits for its next attempt, or ends.
func (g *Gang) completeRollback(now placement.Millis) []Action {
	if g.hasActiveParts() {
		return nil
	}
	if g.state == RollingBackToRetry {
		return g.awaitRetry(now)
	}
	return g.end()
}
