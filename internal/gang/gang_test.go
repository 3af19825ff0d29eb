package gang

import (
	"fmt"
	"slices"
	"testing"

	"grebeglade/placement"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// started returns a gang with parts of these effects that was started, all of its parts offered.
func started(need int, w Request, effects ...placement.Idempotency) *Gang {
	for i, e := range effects {
		w.Parts = append(w.Parts, Part{Idempotency: e, Size: float64(i)})
	}
	w.MinParts = need
	if w.PendingTimeout == 0 {
		w.PendingTimeout = 10e3
	}
	g := New(0, w, 1)
	g.Start(0)
	g.AttemptResult(slices.Repeat([]bool{true}, len(effects)))
	return g
}

// runParts has parts start to run.
func runParts(g *Gang, parts ...int) {
	for _, p := range parts {
		g.PartStarted(p)
	}
}

// kinds are the names of the actions' kinds, with the part where there is one.
func kinds(actions []Action) []string {
	var words []string
	names := []string{"attempt", "request", "stop", "placed", "rejected", "unschedulable", "confirm", "report end", "timer", "forget"}
	for _, a := range actions {
		word := names[a.Kind]
		if a.Kind == RequestPart || a.Kind == StopPart {
			word += fmt.Sprint(" ", a.Part)
		}
		words = append(words, word)
	}
	return words
}

const repeatable = placement.Idempotent

func TestGang_RunsOnceAllPartsRun(t *testing.T) {
	g := New(0, Request{Parts: []Part{{Size: 0.1}, {Size: 0.9}}, PendingTimeout: 5e3}, 1)
	actions := g.Start(0)
	assert.Equal(t, []int{1, 0}, actions[0].Parts, "larger parts first")
	assert.Equal(t, 1, New(0, Request{Parts: make([]Part, 2)}, 1).request.MinParts)
	g = started(2, Request{}, repeatable, repeatable)
	assert.Empty(t, g.PartStarted(1))
	assert.Equal(t, []string{"confirm", "placed"}, kinds(g.PartStarted(0)))
	assert.Empty(t, g.PartEnded(50, 0, true))
	assert.Equal(t, []string{"report end", "forget"}, kinds(g.PartEnded(60, 1, true)))
}

func TestGang_RejectedAtOnceWhenItDoesNotFit(t *testing.T) {
	g := New(0, Request{Parts: make([]Part, 3), MinParts: 2, PendingTimeout: 5e3}, 1)
	g.Start(0)
	assert.Equal(t, []string{"rejected", "forget"}, kinds(g.AttemptResult([]bool{false, false, false})))
	g = New(0, Request{Parts: make([]Part, 2), MinParts: 2, PendingTimeout: 100}, 1)
	assert.Equal(t, []string{"rejected", "forget"}, kinds(g.Start(0)), "no time for a start")
}

func TestGang_RolledBackAndRetriedWhenLastPartIsRejected(t *testing.T) {
	g := started(3, Request{}, repeatable, repeatable, repeatable)
	runParts(g, 0)
	actions := g.PartFailed(20, 2, false)
	assert.Equal(t, []string{"stop 1", "stop 0", "timer"}, kinds(actions), "parts that are on their way before those that run")
	assert.Empty(t, g.PartStarted(1), "its stop is on the way")
	assert.Empty(t, g.PartEnded(30, 0, false))
	actions = g.PartEnded(40, 1, false)
	require.Equal(t, []string{"timer"}, kinds(actions))
	assert.Greater(t, actions[0].At, placement.Millis(40)+minRetryDelay-1)
	assert.Equal(t, []string{"attempt", "timer"}, kinds(g.TimerFired(actions[0].At)))
	assert.Equal(t, 2, g.Attempts())
}

func TestGang_RejectedAfterMaxAttempts(t *testing.T) {
	g := started(2, Request{PendingTimeout: 100e3}, repeatable, repeatable)
	now := placement.Millis(0)
	for try := 1; ; try++ {
		actions := g.PartFailed(now, 0, false)
		if try == maxAttempts {
			assert.Equal(t, []string{"rejected", "stop 1", "timer"}, kinds(actions), "answered at once, not when all of it is rolled back")
			assert.Equal(t, []string{"forget"}, kinds(g.PartEnded(now, 1, false)))
			return
		}
		now = g.PartEnded(now, 1, false)[0].At
		g.TimerFired(now)
		g.AttemptResult([]bool{true, true})
	}
}

func TestGang_UnschedulableWhenUnrepeatablePartMayHaveRun(t *testing.T) {
	for _, effect := range []placement.Idempotency{placement.AtMostOnce, placement.IdempotentByKey} {
		g := started(2, Request{}, effect, repeatable)
		assert.Equal(t, []string{"unschedulable", "stop 1", "timer"}, kinds(g.PartFailed(20, 0, true)))
	}
	// It was started and stopped, so it has run.
	g := started(2, Request{}, placement.AtMostOnce, repeatable)
	runParts(g, 0)
	assert.Equal(t, []string{"unschedulable", "stop 0", "timer"}, kinds(g.PartFailed(20, 1, false)))
	// An idempotent one may run twice. One that never ran may be retried.
	g = started(2, Request{}, repeatable, repeatable)
	assert.Equal(t, []string{"stop 1", "timer"}, kinds(g.PartFailed(20, 0, true)))
	g = started(2, Request{}, placement.AtMostOnce, repeatable)
	assert.Equal(t, []string{"stop 1", "timer"}, kinds(g.PartFailed(20, 0, false)), "it never ran")
}

func TestGang_LostPartIsHandledByLossPolicy(t *testing.T) {
	g := started(2, Request{}, repeatable, repeatable)
	runParts(g, 0)
	assert.Equal(t, []string{"stop 1", "timer"}, kinds(g.PartEnded(20, 0, false)))
	// Of a running gang its policy says.
	g = started(2, Request{}, repeatable, repeatable)
	runParts(g, 0, 1)
	assert.Equal(t, []string{"report end", "stop 1", "timer"}, kinds(g.PartEnded(20, 0, false)))
	g = started(2, Request{OnLoss: ReplaceOnLoss, ReplaceTimeout: 3e3}, repeatable, repeatable)
	runParts(g, 0, 1)
	actions := g.PartEnded(20, 0, false)
	assert.Equal(t, []string{"request 0", "timer"}, kinds(actions))
	assert.InDelta(t, 3e3, float64(actions[0].Timeout), 0)
	assert.Equal(t, []string{"confirm"}, kinds(g.PartStarted(0)))
	g.PartEnded(1000, 1, false)
	assert.Equal(t, []string{"report end", "stop 0", "timer"}, kinds(g.PartFailed(1200, 1, false)))
	g = started(2, Request{OnLoss: ReplaceOnLoss, ReplaceTimeout: 3e3}, placement.AtMostOnce, repeatable)
	runParts(g, 0, 1)
	assert.Equal(t, []string{"report end", "stop 1", "timer"}, kinds(g.PartEnded(20, 0, false)), "it must not start twice")
	// Of more parts than needed one may end.
	g = started(1, Request{}, repeatable, repeatable)
	runParts(g, 0, 1)
	assert.Empty(t, g.PartEnded(20, 0, false))
}

func TestGang_AnsweredBeforePendingTimeoutInEachState(t *testing.T) {
	g := started(2, Request{PendingTimeout: 5e3}, repeatable, repeatable)
	runParts(g, 0)
	assert.Equal(t, []string{"rejected", "stop 1", "stop 0", "timer"}, kinds(g.TimerFired(4990)))
	// While rolling back: the client is answered, and the stops go on.
	g = started(2, Request{PendingTimeout: 5e3}, repeatable, repeatable)
	runParts(g, 0)
	g.PartFailed(20, 1, false)
	assert.Equal(t, []string{"timer", "stop 0"}, kinds(g.TimerFired(2020)), "a stop without a result is repeated")
	assert.Equal(t, []string{"rejected", "timer", "stop 0"}, kinds(g.TimerFired(4990)))
	assert.Equal(t, []string{"forget"}, kinds(g.PartEnded(5100, 0, false)))
	// Enough parts run when the time is over: the others are stopped, and the gang runs.
	g = started(1, Request{PendingTimeout: 5e3}, repeatable, repeatable)
	runParts(g, 0)
	assert.Equal(t, []string{"stop 1", "confirm", "placed"}, kinds(g.TimerFired(4990)))
	assert.Empty(t, g.PartEnded(5000, 1, false))
	assert.Equal(t, Running, g.State)
}

func TestGang_WithdrawnIsRolledBackWithoutAnswer(t *testing.T) {
	g := started(2, Request{}, repeatable, repeatable)
	runParts(g, 0)
	assert.Equal(t, []string{"stop 1", "stop 0", "timer"}, kinds(g.Withdraw(20)))
	assert.Empty(t, g.Withdraw(21))
	g.PartEnded(30, 0, false)
	assert.Equal(t, []string{"forget"}, kinds(g.PartEnded(31, 1, false)))
	g = started(2, Request{}, repeatable, repeatable)
	g.PartFailed(20, 0, false)
	g.PartEnded(21, 1, false)
	assert.Equal(t, Pending, g.State)
	assert.Equal(t, []string{"forget"}, kinds(g.Withdraw(30)))
}

func TestRecover_ContinuesConfirmedGangOrRollsBack(t *testing.T) {
	w := Request{Parts: make([]Part, 3), MinParts: 2}
	_, actions := Recover(0, w, []bool{true, true, false}, true, 1)
	assert.Equal(t, []string{"confirm"}, kinds(actions))
	_, actions = Recover(0, w, []bool{true, true, true}, false, 1)
	assert.Equal(t, []string{"stop 0", "stop 1", "stop 2", "timer"}, kinds(actions))
	g, actions := Recover(0, w, []bool{false, true, false}, true, 1)
	assert.Equal(t, []string{"stop 1", "timer"}, kinds(actions))
	assert.Equal(t, []string{"forget"}, kinds(g.PartEnded(10, 1, false)))
}

// A gang whose request the network delayed was answered after its client had given up, so the margin grows with the time.
func TestGang_AnswerMarginGrowsWithPendingTimeout(t *testing.T) {
	for left, want := range map[placement.Millis]placement.Millis{500: 480, 8000: 7840} {
		g := New(1000, Request{PendingTimeout: left, MinParts: 1, Parts: []Part{{Size: 1}}}, 1)
		var wakes []placement.Millis
		for _, a := range g.Start(1000) {
			if a.Kind == SetTimer {
				wakes = append(wakes, a.At)
			}
		}
		assert.Equal(t, []placement.Millis{1000 + want}, wakes)
	}
}

func TestGang_FinishedPartAllowsRetryOnlyIfIdempotent(t *testing.T) {
	for effect, again := range map[placement.Idempotency]bool{placement.Idempotent: true, placement.IdempotentByKey: false} {
		g := New(0, Request{PendingTimeout: 8000, MinParts: 2, Parts: []Part{{Size: 1, Idempotency: effect}, {Size: 1, Idempotency: effect}}}, 1)
		g.Start(0)
		g.AttemptResult([]bool{true, true})
		g.PartStarted(0)
		g.PartEnded(500, 0, true)
		actions := g.PartFailed(600, 1, false)
		refused := slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == AnswerRejected || a.Kind == AnswerUnschedulable })
		assert.Equal(t, again, !refused, "%v: %v", effect, actions)
	}
}
