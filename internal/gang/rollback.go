package gang

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// stopRetryInterval is how long a stop may be without a result before it is repeated.
const stopRetryInterval = placement.Millis(2e3)

// rollBack stops all parts, in the given rollback state: first those that are only on their way, which costs least and
// frees the nodes' queues, then those that run, larger ones first.
func (g *Gang) rollBack(now placement.Millis, state State) []Action {
	g.state = state
	var actions []Action
	for _, part := range g.stopOrder() {
		actions = append(actions, g.stop(part))
	}
	actions = append(actions, g.setStopTimer(now))
	return append(actions, g.completeRollback(now)...)
}

// stopOrder returns the parts that a rollback stops, in their order.
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

// stop begins to stop a part.
func (g *Gang) stop(part int) Action {
	g.parts[part] = PartStopping
	return Action{Kind: StopPart, Part: part}
}

// setStopTimer sets the timer at which stops without a result are repeated.
func (g *Gang) setStopTimer(now placement.Millis) Action {
	g.stopRetryAt = now + stopRetryInterval
	return Action{Kind: SetTimer, At: g.stopRetryAt}
}

// repeatStops repeats the stops that have no result, once it is time.
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

// answerIfDue answers the client of a gang that waits for its retry, before the client gives up. The gang is not
// started again then.
func (g *Gang) answerIfDue(now placement.Millis) []Action {
	if now < g.answerBy() {
		return nil
	}
	g.state = RollingBackToEnd
	return []Action{g.failureAnswer()}
}

// completeRollback goes on once no part is active: the gang waits for its next attempt, or ends.
func (g *Gang) completeRollback(now placement.Millis) []Action {
	if g.hasActiveParts() {
		return nil
	}
	if g.state == RollingBackToRetry {
		return g.awaitRetry(now)
	}
	return g.end()
}
