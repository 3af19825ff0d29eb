// Package gang decides about groups of workloads that start together or not at all.
//
// A Gang is the state machine of one group, without I/O: each call reports an event and its time, and returns the
// actions to take. Its states and transitions are listed at State. Where a part is placed is not decided here. A gang
// that, as far as is known, does not fit as a whole is rejected at once, and none of its parts is sent.
//
// The caller calls Start, then AttemptResult with the result of the Attempt; PartStarted, PartFailed and PartEnded
// for the parts; Withdraw if the client withdraws its request; and TimerFired at the time of each SetTimer. It makes
// no call after a Forget. Where parts are found after a restart of the allocator, Recover takes the place of New and
// Start. Times are milliseconds on the caller's clock.
package gang

import (
	"slices"

	"grebeglade/placement"
)

// Gang is one group of workloads. It is not safe for concurrent use.
type Gang struct {
	state       State
	parts       []PartState
	request     Request
	expires     placement.Millis // when the client gives up
	seed        uint64           // of the random part of the retry delay
	attempts    int
	sideEffects sideEffects
	retryAt     placement.Millis // of Pending: when the next attempt is due
	stopRetryAt placement.Millis // of both rollback states: when stops are repeated
}

// New returns a gang that is yet to be started. Gangs with different seeds retry at different times, so that those
// that compete for the same nodes do not fail together again.
func New(now placement.Millis, r Request, seed uint64) *Gang {
	r.MinParts = min(max(1, r.MinParts), len(r.Parts))
	return &Gang{
		parts:   make([]PartState, len(r.Parts)),
		request: r,
		expires: now + r.PendingTimeout,
		seed:    seed,
	}
}

// Confirmation is whether ConfirmParts was carried out for a gang before a restart of the allocator.
type Confirmation uint8

// The confirmations.
const (
	Unconfirmed Confirmation = iota // no node of its parts was notified that the gang runs
	Confirmed                       // a node of one of its parts was
)

// Recover returns a gang of which the given parts were found running after a restart of the allocator, and the actions
// to take. A gang that was confirmed to be running goes on if enough of its parts run; any other is rolled back. Its
// client gets no answer: it has one, or is gone.
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

// CountParts returns the number of parts in any of the states.
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

// Withdraw handles the client's withdrawal of the gang. The client gets no answer after it.
func (g *Gang) Withdraw(now placement.Millis) []Action {
	switch g.state {
	case Pending:
		return g.end()
	case Starting, Running:
		return g.rollBack(now, RollingBackToEnd)
	case RollingBackToRetry:
		g.state = RollingBackToEnd
	case RollingBackToEnd, Ended:
		// It has ended, or will without an answer.
	}
	return nil
}

// TimerFired handles the time of a SetTimer. Timers of an earlier state do nothing.
func (g *Gang) TimerFired(now placement.Millis) []Action {
	switch g.state {
	case Pending:
		if now >= g.retryAt {
			return g.Start(now)
		}
	case Starting:
		if now >= g.answerBy() {
			return g.startTimedOut(now)
		}
	case RollingBackToRetry:
		actions := g.answerIfDue(now)
		return append(actions, g.repeatStops(now)...)
	case RollingBackToEnd:
		return g.repeatStops(now)
	case Running, Ended:
		// Neither waits for a time: the engine reports a replacement that takes too long.
	}
	return nil
}

// end ends a gang that has no active part and whose client is due no answer.
func (g *Gang) end() []Action {
	g.state = Ended
	return []Action{{Kind: Forget}}
}

// endFailed ends a gang that has no active part, and answers its client.
func (g *Gang) endFailed() []Action {
	return append([]Action{g.failureAnswer()}, g.end()...)
}
