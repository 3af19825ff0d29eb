// Package gang implements gangs: groups of workloads of which a minimum number must start together, or none.
//
// A Gang is the state machine of one gang, without I/O: each call reports an event and its time, and returns the
// actions to take. State documents the states and transitions. The nodes of the parts are chosen elsewhere. If an
// attempt finds no room for enough parts, the gang is rejected immediately and none of its parts is offered.
//
// The caller calls Start, then AttemptResult with the result of the Attempt; PartStarted, PartFailed and PartEnded
// for the parts; Withdraw if the client withdraws its request; and TimerFired at the time of each SetTimer. It makes
// no call after a Forget. For parts that are found running after a restart of the allocator, Recover replaces New and
// Start. Times are milliseconds on the caller's clock.
package gang

import (
	"slices"

	"grebeglade/placement"
)

// Gang is the state machine of one gang. It is not safe for concurrent use.
type Gang struct {
	state       State
	parts       []PartState
	request     Request
	deadline    placement.Millis // end of the client's pending timeout
	seed        uint64           // seed of the jitter in the retry delay
	attempts    int              // number of starts so far
	sideEffects sideEffects
	retryAt     placement.Millis // time of the next attempt; used in Pending
	stopRetryAt placement.Millis // time at which stops are repeated; used in both rollback states
}

// New returns a gang that has not been started. Gangs that compete for the same nodes need different seeds: these give
// them different retry delays, so that they do not repeatedly block each other.
func New(now placement.Millis, r Request, seed uint64) *Gang {
	r.MinParts = min(max(1, r.MinParts), len(r.Parts))
	return &Gang{
		parts:    make([]PartState, len(r.Parts)),
		request:  r,
		deadline: now + r.PendingTimeout,
		seed:     seed,
	}
}

// Confirmation records whether ConfirmParts was executed for a gang before a restart of the allocator.
type Confirmation uint8

// The values of Confirmation.
const (
	Unconfirmed Confirmation = iota // no node was notified that the gang runs
	Confirmed                       // at least one node was notified that the gang runs
)

// Recover returns the gang whose given parts were found running after a restart of the allocator, and the actions to
// take. A confirmed gang continues if enough of its parts run; any other gang is rolled back. The client gets no
// answer: it was answered before the restart, or its connection ended with the restart.
func Recover(
	now placement.Millis, r Request, runningParts []int, confirmation Confirmation, seed uint64,
) (*Gang, []Action) {
	g := New(now, r, seed)
	g.state = Running
	for part := range g.parts {
		g.parts[part] = PartLost
	}
	for _, part := range runningParts {
		g.parts[part] = PartRunning
	}
	if confirmation == Confirmed && g.CountParts(PartRunning) >= g.request.MinParts {
		return g, []Action{{Kind: ConfirmParts}}
	}
	return g, g.rollBack(now, RollingBackToEnd)
}

// State returns the gang's state.
func (g *Gang) State() State { return g.state }

// PartState returns the state of a part.
func (g *Gang) PartState(part int) PartState { return g.parts[part] }

// CountParts returns the number of parts that are in one of the given states.
func (g *Gang) CountParts(states ...PartState) int {
	count := 0
	for _, s := range g.parts {
		if slices.Contains(states, s) {
			count++
		}
	}
	return count
}

// Attempts returns how often the gang was started.
func (g *Gang) Attempts() int { return g.attempts }

// Withdraw handles the client's withdrawal of the gang. The client gets no answer afterwards.
func (g *Gang) Withdraw(now placement.Millis) []Action {
	switch g.state {
	case Pending:
		return g.end()
	case Starting, Running:
		return g.rollBack(now, RollingBackToEnd)
	case RollingBackToRetry:
		g.state = RollingBackToEnd
	case RollingBackToEnd, Ended:
		// The gang has ended, or ends after the rollback without an answer.
	}
	return nil
}

// TimerFired handles the firing of a timer set by SetTimer. It acts on what is due in the current state, whichever
// state the timer was set in. If nothing is due, it has no effect.
func (g *Gang) TimerFired(now placement.Millis) []Action {
	switch g.state {
	case Pending:
		if now >= g.retryAt {
			return g.Start(now)
		}
	case Starting:
		if now >= g.answerDeadline() {
			return g.startTimedOut(now)
		}
	case RollingBackToRetry:
		actions := g.answerIfDue(now)
		return append(actions, g.repeatStops(now)...)
	case RollingBackToEnd:
		return g.repeatStops(now)
	case Running, Ended:
		// Nothing is due in these states. The caller reports a replacement that times out with PartFailed.
	}
	return nil
}

// end ends a gang that has no active part and whose client needs no answer.
func (g *Gang) end() []Action {
	g.state = Ended
	return []Action{{Kind: Forget}}
}

// endFailed ends a gang that has no active part, and sends its client the failure answer.
func (g *Gang) endFailed() []Action {
	return append([]Action{g.failureAnswer()}, g.end()...)
}
