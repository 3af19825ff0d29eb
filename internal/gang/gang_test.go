package gang

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

// started returns a gang with parts of these idempotencies that was started, all of its parts offered.
func started(minParts int, r Request, parts ...placement.Idempotency) *Gang {
	for i, e := range parts {
		r.Parts = append(r.Parts, Part{Idempotency: e, Size: float64(i)})
	}
	r.MinParts = minParts
	if r.PendingTimeout == 0 {
		r.PendingTimeout = 10e3
	}
	g := New(0, r, 1)
	g.Start(0)
	g.AttemptResult(slices.Repeat([]bool{true}, len(parts)))
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
	var kinds []string
	names := []string{"attempt", "request", "stop", "placed", "rejected", "unschedulable", "confirm", "report end", "timer", "forget"}
	for _, a := range actions {
		name := names[a.Kind]
		if a.Kind == RequestPart || a.Kind == StopPart {
			name += fmt.Sprint(" ", a.Part)
		}
		kinds = append(kinds, name)
	}
	return kinds
}

func TestGang_AllPartsRunning_Placed(t *testing.T) {
	g := New(0, Request{Parts: []Part{{Size: 0.1}, {Size: 0.9}}, PendingTimeout: 5e3}, 1)
	actions := g.Start(0)
	assert.Equal(t, []int{1, 0}, actions[0].Parts, "larger parts first")
	assert.Equal(t, 1, New(0, Request{Parts: make([]Part, 2)}, 1).request.MinParts)
	g = started(2, Request{}, placement.Idempotent, placement.Idempotent)
	assert.Empty(t, g.PartStarted(1))
	assert.Equal(t, []string{"confirm", "placed"}, kinds(g.PartStarted(0)))
	assert.Empty(t, g.PartEnded(50, 0, true))
	assert.Equal(t, []string{"report end", "forget"}, kinds(g.PartEnded(60, 1, true)))
}

func TestGang_DoesNotFit_RejectedAtOnce(t *testing.T) {
	g := New(0, Request{Parts: make([]Part, 3), MinParts: 2, PendingTimeout: 5e3}, 1)
	g.Start(0)
	assert.Equal(t, []string{"rejected", "forget"}, kinds(g.AttemptResult([]bool{false, false, false})))
	g = New(0, Request{Parts: make([]Part, 2), MinParts: 2, PendingTimeout: 100}, 1)
	assert.Equal(t, []string{"rejected", "forget"}, kinds(g.Start(0)), "no time for a start")
}

func TestGang_LastPartRejected_RolledBackAndRetried(t *testing.T) {
	g := started(3, Request{}, placement.Idempotent, placement.Idempotent, placement.Idempotent)
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

func TestGang_MaxAttemptsReached_Rejected(t *testing.T) {
	g := started(2, Request{PendingTimeout: 100e3}, placement.Idempotent, placement.Idempotent)
	now := placement.Millis(0)
	for attempt := 1; ; attempt++ {
		actions := g.PartFailed(now, 0, false)
		if attempt == maxAttempts {
			assert.Equal(t, []string{"rejected", "stop 1", "timer"}, kinds(actions), "answered at once, not when all of it is rolled back")
			assert.Equal(t, []string{"forget"}, kinds(g.PartEnded(now, 1, false)))
			return
		}
		now = g.PartEnded(now, 1, false)[0].At
		g.TimerFired(now)
		g.AttemptResult([]bool{true, true})
	}
}

func TestGang_PartMayHaveRun(t *testing.T) {
	for _, idempotency := range []placement.Idempotency{placement.AtMostOnce, placement.IdempotentByKey} {
		t.Run(fmt.Sprintf("bind of idempotency %d unanswered: unschedulable", idempotency), func(t *testing.T) {
			g := started(2, Request{}, idempotency, placement.Idempotent)
			assert.Equal(t, []string{"unschedulable", "stop 1", "timer"}, kinds(g.PartFailed(20, 0, true)))
		})
	}
	t.Run("at-most-once started and stopped: unschedulable", func(t *testing.T) {
		g := started(2, Request{}, placement.AtMostOnce, placement.Idempotent)
		runParts(g, 0)
		assert.Equal(t, []string{"unschedulable", "stop 0", "timer"}, kinds(g.PartFailed(20, 1, false)))
	})
	t.Run("idempotent bind unanswered: retried", func(t *testing.T) {
		g := started(2, Request{}, placement.Idempotent, placement.Idempotent)
		assert.Equal(t, []string{"stop 1", "timer"}, kinds(g.PartFailed(20, 0, true)))
	})
	t.Run("at-most-once never ran: retried", func(t *testing.T) {
		g := started(2, Request{}, placement.AtMostOnce, placement.Idempotent)
		assert.Equal(t, []string{"stop 1", "timer"}, kinds(g.PartFailed(20, 0, false)))
	})
}

func TestGang_PartLost(t *testing.T) {
	t.Run("starting: rolled back", func(t *testing.T) {
		g := started(2, Request{}, placement.Idempotent, placement.Idempotent)
		runParts(g, 0)
		assert.Equal(t, []string{"stop 1", "timer"}, kinds(g.PartEnded(20, 0, false)))
	})
	t.Run("running, to be stopped on loss: ended and rolled back", func(t *testing.T) {
		g := started(2, Request{}, placement.Idempotent, placement.Idempotent)
		runParts(g, 0, 1)
		assert.Equal(t, []string{"report end", "stop 1", "timer"}, kinds(g.PartEnded(20, 0, false)))
	})
	t.Run("running, to be replaced on loss: part requested again", func(t *testing.T) {
		g := started(2, Request{OnLoss: ReplaceOnLoss, ReplaceTimeout: 3e3}, placement.Idempotent, placement.Idempotent)
		runParts(g, 0, 1)
		actions := g.PartEnded(20, 0, false)
		assert.Equal(t, []string{"request 0", "timer"}, kinds(actions))
		assert.InDelta(t, 3e3, float64(actions[0].Timeout), 0)
		assert.Equal(t, []string{"confirm"}, kinds(g.PartStarted(0)))
		g.PartEnded(1000, 1, false)
		assert.Equal(t, []string{"report end", "stop 0", "timer"}, kinds(g.PartFailed(1200, 1, false)))
	})
	t.Run("running, at-most-once, to be replaced on loss: ended, since it must not start twice", func(t *testing.T) {
		g := started(2, Request{OnLoss: ReplaceOnLoss, ReplaceTimeout: 3e3}, placement.AtMostOnce, placement.Idempotent)
		runParts(g, 0, 1)
		assert.Equal(t, []string{"report end", "stop 1", "timer"}, kinds(g.PartEnded(20, 0, false)))
	})
	t.Run("running with more parts than needed: goes on", func(t *testing.T) {
		g := started(1, Request{}, placement.Idempotent, placement.Idempotent)
		runParts(g, 0, 1)
		assert.Empty(t, g.PartEnded(20, 0, false))
	})
}

func TestGang_PendingTimeoutNear(t *testing.T) {
	t.Run("starting with too few parts: rejected", func(t *testing.T) {
		g := started(2, Request{PendingTimeout: 5e3}, placement.Idempotent, placement.Idempotent)
		runParts(g, 0)
		assert.Equal(t, []string{"rejected", "stop 1", "stop 0", "timer"}, kinds(g.TimerFired(4990)))
	})
	t.Run("rolling back: rejected, and stops go on", func(t *testing.T) {
		g := started(2, Request{PendingTimeout: 5e3}, placement.Idempotent, placement.Idempotent)
		runParts(g, 0)
		g.PartFailed(20, 1, false)
		assert.Equal(t, []string{"timer", "stop 0"}, kinds(g.TimerFired(2020)), "a stop without a result is repeated")
		assert.Equal(t, []string{"rejected", "timer", "stop 0"}, kinds(g.TimerFired(4990)))
		assert.Equal(t, []string{"forget"}, kinds(g.PartEnded(5100, 0, false)))
	})
	t.Run("starting with enough parts: others stopped, placed", func(t *testing.T) {
		g := started(1, Request{PendingTimeout: 5e3}, placement.Idempotent, placement.Idempotent)
		runParts(g, 0)
		assert.Equal(t, []string{"stop 1", "confirm", "placed"}, kinds(g.TimerFired(4990)))
		assert.Empty(t, g.PartEnded(5000, 1, false))
		assert.Equal(t, Running, g.State)
	})
}

func TestGang_Withdrawn_RolledBackWithoutAnswer(t *testing.T) {
	g := started(2, Request{}, placement.Idempotent, placement.Idempotent)
	runParts(g, 0)
	assert.Equal(t, []string{"stop 1", "stop 0", "timer"}, kinds(g.Withdraw(20)))
	assert.Empty(t, g.Withdraw(21))
	g.PartEnded(30, 0, false)
	assert.Equal(t, []string{"forget"}, kinds(g.PartEnded(31, 1, false)))
	g = started(2, Request{}, placement.Idempotent, placement.Idempotent)
	g.PartFailed(20, 0, false)
	g.PartEnded(21, 1, false)
	assert.Equal(t, Pending, g.State)
	assert.Equal(t, []string{"forget"}, kinds(g.Withdraw(30)))
}

func TestRecover_Confirmed_ContinuesElseRolledBack(t *testing.T) {
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
func TestGang_LongPendingTimeout_LargerAnswerMargin(t *testing.T) {
	for timeout, want := range map[placement.Millis]placement.Millis{500: 480, 8000: 7840} {
		g := New(1000, Request{PendingTimeout: timeout, MinParts: 1, Parts: []Part{{Size: 1}}}, 1)
		var timers []placement.Millis
		for _, a := range g.Start(1000) {
			if a.Kind == SetTimer {
				timers = append(timers, a.At)
			}
		}
		assert.Equal(t, []placement.Millis{1000 + want}, timers)
	}
}

func TestGang_PartFinished_RetriedOnlyIfIdempotent(t *testing.T) {
	for idempotency, retried := range map[placement.Idempotency]bool{placement.Idempotent: true, placement.IdempotentByKey: false} {
		g := New(0, Request{PendingTimeout: 8000, MinParts: 2, Parts: []Part{{Size: 1, Idempotency: idempotency}, {Size: 1, Idempotency: idempotency}}}, 1)
		g.Start(0)
		g.AttemptResult([]bool{true, true})
		g.PartStarted(0)
		g.PartEnded(500, 0, true)
		actions := g.PartFailed(600, 1, false)
		answered := slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == AnswerRejected || a.Kind == AnswerUnschedulable })
		assert.Equal(t, retried, !answered, "%v: %v", idempotency, actions)
	}
}
