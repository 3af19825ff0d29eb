// Package gang decides about groups of workloads that start together or not at all.
//
// A Gang is the state machine of one group, without I/O: each call reports an event and its time, and returns the
// actions to take. Where a part is placed is not decided here. A gang that does not fit as a whole, as far as is known,
// is rejected at once, and none of its parts is sent.
//
// The calls are Start, then AttemptResult with what came of an Attempt; PartStarted, PartFailed and PartEnded for its
// parts; Withdraw; and TimerFired at the time of a SetTimer. A gang that has returned Forget is called no more. Times are
// milliseconds on the caller's clock.
package gang

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"grebeglade/placement"
)

const (
	maxAttempts       = 3                     // starts of a gang; each one that fails costs starts and stops of parts
	minRetryDelay     = placement.Millis(400) // ms before the next attempt; the random part on top of it doubles
	minStartTime      = placement.Millis(300) // ms that a start needs; with less left another attempt is waste
	minAnswerMargin   = placement.Millis(20)  // ms before the pending timeout by which the client is answered, at least
	answerMarginShare = 0.02                  // of the pending timeout, likewise: the request may have been delayed on its way here
	stopRetryInterval = placement.Millis(2e3) // ms after which a stop without a result is repeated
)

// Gang is one group of workloads. It belongs to one goroutine.
type Gang struct {
	State   State
	Parts   []PartState
	request Request
	expires placement.Millis // when the client gives up
	seed    uint64

	attempts      int
	answered      bool             // the client has its final answer, or wants none
	retry         bool             // it is started again once it is rolled back
	mayHaveEffect bool             // a part that must not run twice may have run
	retryAt       placement.Millis // of Pending, when the next attempt is due
	stopRetryAt   placement.Millis // of RollingBack, when stops are repeated
}

// New returns a gang that is yet to be started. The seed parts the retries of gangs that compete for the same nodes.
func New(now placement.Millis, r Request, seed uint64) *Gang {
	r.MinParts = min(max(1, r.MinParts), len(r.Parts))
	return &Gang{request: r, Parts: make([]PartState, len(r.Parts)), expires: now + r.PendingTimeout, seed: seed}
}

// Recover returns a gang of which some parts were found running after a restart of the allocator, and what is to be done.
// One that was confirmed to be running goes on if enough of its parts are there; any other is rolled back. Its client has
// its answer, or is gone.
func Recover(now placement.Millis, r Request, running []bool, confirmed bool, seed uint64) (*Gang, []Action) {
	g := New(now, r, seed)
	g.answered, g.State = true, Running
	for i, runs := range running {
		g.Parts[i] = PartLost
		if runs {
			g.Parts[i] = PartRunning
		}
	}
	if confirmed && g.count(PartRunning) >= g.request.MinParts {
		return g, []Action{{Kind: ConfirmParts}}
	}
	return g, g.rollBack(now, false)
}

// Attempts returns how often the gang was started.
func (g *Gang) Attempts() int { return g.attempts }

// count returns the number of parts in any of the states.
func (g *Gang) count(states ...PartState) int {
	n := 0
	for _, s := range g.Parts {
		if slices.Contains(states, s) {
			n++
		}
	}
	return n
}

// Start starts the gang: all parts are requested at once, so that they are placed by what is known at one time.
func (g *Gang) Start(now placement.Millis) []Action {
	if g.State != Pending {
		return nil
	}
	if g.expires-now < minStartTime {
		return g.end()
	}
	g.State, g.attempts = Starting, g.attempts+1
	parts := make([]int, 0, len(g.Parts))
	for i := range g.Parts {
		g.Parts[i] = PartRequested
		parts = append(parts, i)
	}
	slices.SortStableFunc(parts, g.largerFirst)
	return []Action{
		{Kind: Attempt, Parts: parts, MinParts: g.request.MinParts},
		{Kind: SetTimer, At: g.answerBy()},
	}
}

// largerFirst orders parts by their size.
func (g *Gang) largerFirst(x, y int) int {
	return cmp.Compare(g.request.Parts[y].Size, g.request.Parts[x].Size)
}

// answerBy is when the client is answered at the latest. It counts its timeout from when it sent the request, and how long
// that was under way is not known here. The margin is too small for a part to start in, so little is given away.
func (g *Gang) answerBy() placement.Millis {
	return g.expires - max(minAnswerMargin, placement.Millis(answerMarginShare)*g.request.PendingTimeout)
}

// AttemptResult handles the result of an Attempt: which parts were offered to nodes. Either these are enough for the gang,
// or none was sent.
func (g *Gang) AttemptResult(offered []bool) []Action {
	if g.State != Starting {
		return nil
	}
	for i, sent := range offered {
		if !sent && g.Parts[i] == PartRequested {
			g.Parts[i] = PartIdle
		}
	}
	if g.count(PartRequested, PartRunning, PartFinished) >= g.request.MinParts {
		return nil
	}
	return g.end() // it does not fit as a whole, as far as is known
}

// PartStarted handles the start of a part.
func (g *Gang) PartStarted(part int) []Action {
	if g.Parts[part] != PartRequested {
		return nil // it was cancelled meanwhile
	}
	g.Parts[part] = PartRunning
	switch g.State {
	case Starting:
		return g.completeStart()
	case Running:
		return []Action{{Kind: ConfirmParts}} // it replaces one that was lost
	}
	return nil
}

// completeStart ends the start once enough parts run and none is on its way.
func (g *Gang) completeStart() []Action {
	if g.count(PartRunning, PartFinished) < g.request.MinParts || g.count(PartRequested) > 0 {
		return nil
	}
	g.State, g.answered = Running, true
	return append([]Action{{Kind: ConfirmParts}, {Kind: AnswerPlaced}}, g.completeRun()...)
}

// completeRun ends a running gang once all its parts have ended.
func (g *Gang) completeRun() []Action {
	if g.count(PartRequested, PartRunning, PartStopping) > 0 {
		return nil
	}
	g.State = Ended
	return []Action{{Kind: ReportEnd}, {Kind: Forget}}
}

// PartFailed handles a part that was not placed; mayRun is set if it may run all the same.
func (g *Gang) PartFailed(now placement.Millis, part int, mayRun bool) []Action {
	if mayRun && g.request.Parts[part].Idempotency != placement.Idempotent {
		g.mayHaveEffect = true
	}
	before := g.Parts[part]
	g.Parts[part] = PartIdle
	if mayRun {
		g.Parts[part] = PartLost
	}
	return g.continueWithout(now, before)
}

// PartEnded handles the end of a running part: it has finished, or was stopped, evicted or lost.
func (g *Gang) PartEnded(now placement.Millis, part int, finished bool) []Action {
	before := g.Parts[part]
	switch {
	case before == PartRunning && finished:
		g.Parts[part] = PartFinished
	case before == PartRunning || before == PartStopping || before == PartRequested:
		if g.request.Parts[part].Idempotency == placement.AtMostOnce {
			g.mayHaveEffect = true
		}
		g.Parts[part] = PartLost
	default:
		return nil
	}
	return g.continueWithout(now, before)
}

// continueWithout goes on after a part that was in the given state is no longer on its way or running.
func (g *Gang) continueWithout(now placement.Millis, before PartState) []Action {
	switch g.State {
	case Starting:
		if g.count(PartRequested, PartRunning, PartFinished) < g.request.MinParts {
			return g.rollBack(now, true)
		}
		return g.completeStart()
	case Running:
		return g.handleLoss(now, before)
	case RollingBack:
		return g.completeRollback(now)
	}
	return nil
}

// handleLoss goes on with a running gang that lost a part, or whose part could not be replaced.
func (g *Gang) handleLoss(now placement.Millis, before PartState) []Action {
	if g.count(PartFinished) > 0 || g.count(PartRequested, PartRunning) >= g.request.MinParts {
		return g.completeRun() // its work comes to its end, or enough of it is left
	}
	lost := slices.Index(g.Parts, PartLost)
	if g.request.OnLoss == ReplaceOnLoss && before == PartRunning && lost >= 0 && g.request.Parts[lost].Idempotency != placement.AtMostOnce {
		g.Parts[lost] = PartRequested
		timeout := g.request.ReplaceTimeout
		return []Action{{Kind: RequestPart, Part: lost, Timeout: timeout}, {Kind: SetTimer, At: now + timeout}}
	}
	return append([]Action{{Kind: ReportEnd}}, g.rollBack(now, false)...)
}

// rollBack stops all parts: first those that are only on their way, which costs least and frees the nodes' queues, then
// those that run, larger ones first. The client of a gang that may be started again waits; any other is answered at once.
func (g *Gang) rollBack(now placement.Millis, mayRetry bool) []Action {
	g.State = RollingBack
	var stop []int
	for i, s := range g.Parts {
		if g.cannotRepeat(s, g.request.Parts[i].Idempotency) {
			g.mayHaveEffect = true
		}
		if s == PartRequested || s == PartRunning {
			stop = append(stop, i)
		}
	}
	slices.SortStableFunc(stop, func(x, y int) int {
		return cmp.Or(cmp.Compare(g.Parts[x], g.Parts[y]), g.largerFirst(x, y))
	})
	g.retry = mayRetry && !g.answered && !g.mayHaveEffect && g.attempts < maxAttempts &&
		g.expires-now > minRetryDelay+minStartTime
	var actions []Action
	if !g.retry {
		actions = g.answerFailed()
	}
	for _, i := range stop {
		g.Parts[i] = PartStopping
		actions = append(actions, Action{Kind: StopPart, Part: i})
	}
	g.stopRetryAt = now + stopRetryInterval
	actions = append(actions, Action{Kind: SetTimer, At: g.stopRetryAt})
	return append(actions, g.completeRollback(now)...)
}

// cannotRepeat reports whether a part in that state keeps its gang from being started again. One that finished has had its
// effect: even where a repeat is dropped by its idempotency key, that holds only on some nodes and for some time.
func (g *Gang) cannotRepeat(s PartState, effect placement.Idempotency) bool {
	switch s {
	case PartFinished:
		return effect != placement.Idempotent
	case PartRequested, PartRunning:
		return effect == placement.AtMostOnce
	}
	return false
}

// completeRollback goes on once all parts have ended: the gang waits for its next attempt, or ends.
func (g *Gang) completeRollback(now placement.Millis) []Action {
	if g.count(PartRequested, PartRunning, PartStopping) > 0 {
		return nil
	}
	delay := g.retryDelay()
	if !g.retry || g.mayHaveEffect || g.expires-now < delay+minStartTime {
		return g.end()
	}
	for i := range g.Parts {
		g.Parts[i] = PartIdle
	}
	g.State, g.retry, g.retryAt = Pending, false, now+delay
	return []Action{{Kind: SetTimer, At: g.retryAt}}
}

// retryDelay is how long a gang waits until its next attempt. Gangs that compete fail together; a random part, which
// doubles, gives one of them the time to start. Of two such gangs the one with more parts tends to come first: it is the
// harder one to place, and capacity that it does not get at once soon goes to others.
func (g *Gang) retryDelay() placement.Millis {
	h := fnv.New64a()
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], g.seed)
	binary.BigEndian.PutUint64(b[8:], uint64(g.attempts))
	h.Write(b[:])
	random := float64(h.Sum64()>>11%1024) / 1024
	longest := minRetryDelay * placement.Millis(int(1)<<min(g.attempts, 8)) / placement.Millis(min(len(g.Parts), 4))
	return minRetryDelay + longest*placement.Millis(random)
}

// end ends a gang of which no part is left, and answers its client.
func (g *Gang) end() []Action {
	g.State = Ended
	return append(g.answerFailed(), Action{Kind: Forget})
}

// answerFailed is the final answer of a gang that does not run, unless its client has one.
func (g *Gang) answerFailed() []Action {
	if g.answered {
		return nil
	}
	g.answered = true
	if g.mayHaveEffect {
		return []Action{{Kind: AnswerUnschedulable}}
	}
	return []Action{{Kind: AnswerRejected}}
}

// Withdraw handles the client's withdrawal of the gang. The client gets no answer after it.
func (g *Gang) Withdraw(now placement.Millis) []Action {
	g.answered, g.retry = true, false
	switch g.State {
	case Pending:
		return g.end()
	case Starting, Running:
		return g.rollBack(now, false)
	}
	return nil
}

// TimerFired handles the time of a SetTimer. Timers of an earlier state do nothing.
func (g *Gang) TimerFired(now placement.Millis) []Action {
	switch g.State {
	case Pending:
		if now >= g.retryAt {
			return g.Start(now)
		}
	case Starting:
		if now >= g.answerBy() {
			return g.startTimedOut(now)
		}
	case RollingBack:
		return g.rollbackTimer(now)
	}
	return nil
}

// startTimedOut ends a start whose time is over: if enough parts run the others are stopped, else all of them.
func (g *Gang) startTimedOut(now placement.Millis) []Action {
	if g.count(PartRunning, PartFinished) < g.request.MinParts {
		return g.rollBack(now, false)
	}
	var actions []Action
	for i, s := range g.Parts {
		if s == PartRequested {
			g.Parts[i] = PartStopping
			actions = append(actions, Action{Kind: StopPart, Part: i})
		}
	}
	return append(actions, g.completeStart()...)
}

// rollbackTimer answers the client before it gives up, and repeats stops that have no result.
func (g *Gang) rollbackTimer(now placement.Millis) []Action {
	var actions []Action
	if !g.answered && now >= g.answerBy() {
		g.retry = false
		actions = g.answerFailed()
	}
	if now < g.stopRetryAt {
		return actions
	}
	g.stopRetryAt = now + stopRetryInterval
	actions = append(actions, Action{Kind: SetTimer, At: g.stopRetryAt})
	for i, s := range g.Parts {
		if s == PartStopping {
			actions = append(actions, Action{Kind: StopPart, Part: i})
		}
	}
	return actions
}
