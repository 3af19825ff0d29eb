package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// slowStartSettings are the settings of newWarmUpNode. See Settings and slowStart for their meanings.
type slowStartSettings struct {
	warmUpDuration Millis
	initialRate    float64
	bindsPerWindow float64
	window         Millis
}

// newWarmUpNode returns a scheduler that started before time 0 and its only node, which starts at time 0.
func newWarmUpNode(t *testing.T, settings slowStartSettings) (*Scheduler, *node) {
	t.Helper()
	scheduler := newFleet(t, 1)
	scheduler.settings.WarmUpDuration = settings.warmUpDuration
	scheduler.settings.InitialRate = settings.initialRate
	scheduler.slowStart.bindsPerWindow = settings.bindsPerWindow
	scheduler.slowStart.window = settings.window
	scheduler.slowStart.startedAt = -5000
	warming := scheduler.node(1)
	warming.StartedAt = 0
	return scheduler, warming
}

// Rule 4 of internal/simulation/audit: all allocators together stay within the warm-up budget of a node.
func TestSlowStart_ShareRisesFromTheInitialRate(t *testing.T) {
	scheduler, warming := newWarmUpNode(t, slowStartSettings{
		warmUpDuration: 10e3,
		initialRate:    0.25,
		bindsPerWindow: 8,
		window:         3000,
	})
	for _, c := range []struct {
		name string
		now  Millis
		want int
	}{
		{"at the start: the initial rate", 0, 2},
		{"half of the ramp: initial rate plus half of the full rate", slowStartRamp / 2, 6},
		{"after the ramp: the whole share", slowStartRamp, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			warming.warmUpBinds = nil
			allowed := 0
			for allowed < 99 && scheduler.slowStart.allows(c.now, warming) {
				warming.warmUpBinds = append(warming.warmUpBinds, c.now)
				allowed++
			}
			assert.Equal(t, c.want, allowed)
		})
	}
	t.Run("just after the scheduler's start: earlier binds are unknown, so none", func(t *testing.T) {
		scheduler.slowStart.startedAt = 9999
		warming.warmUpBinds = nil
		assert.False(t, scheduler.slowStart.allows(9999, warming))
	})
}

// This guards against exceeding the budget when a network partition ends: binds that it delayed reach the node together
// with those sent at its end.
func TestSlowStart_UnansweredBindsCountBeyondTheWindow(t *testing.T) {
	scheduler, warming := newWarmUpNode(t, slowStartSettings{
		warmUpDuration: 60e3,
		initialRate:    1,
		bindsPerWindow: 4,
		window:         2000,
	})
	for range 4 {
		warming.binds = append(warming.binds, &bind{
			workload: &workload{},
			node:     warming,
			sentAt:   0,
		})
	}
	assert.False(t, scheduler.slowStart.allows(2500, warming))
	warming.binds[0].advance(bindConfirmed)
	assert.True(t, scheduler.slowStart.allows(2500, warming))
}

// A delayed bind may have arrived just before its result, so it counts for one window from the result on. This guards
// against counting a bind that timed out within the window from the time when it was sent: binds that a partition
// delays arrive together with later ones (seed 81, run 3835). With Settings.ConfirmsRunning, the time of a confirmation
// does not show when the bind arrived.
func TestRecordResult_CountsFromTheResult(t *testing.T) {
	const sentAt = Millis(100)
	const lateResult = Millis(2900)  // time after the window
	const earlyResult = Millis(1600) // time within the window
	const onAcceptance = false       // value of Settings.ConfirmsRunning
	const onStart = true
	for _, c := range []struct {
		name            string
		confirmsRunning bool
		resultAt        Millis
		kind            ResultKind
		want            Millis
	}{
		{"late, confirmed: from the result", onStart, lateResult, Confirmed, lateResult},
		{"late, rejected: from the result", onStart, lateResult, RejectedByNode, lateResult},
		{"late, timed out: from the result", onStart, lateResult, TimedOut, lateResult},
		{"late, not delivered: from the offer", onStart, lateResult, NotDelivered, sentAt},
		{"late, not attempted: from the offer", onStart, lateResult, NotAttempted, sentAt},
		{"early, confirmed on start: from the offer", onStart, earlyResult, Confirmed, sentAt},
		{"early, confirmed on acceptance: from the result", onAcceptance, earlyResult, Confirmed, earlyResult},
		{"early, rejected: from the result", onStart, earlyResult, RejectedByNode, earlyResult},
		{"early, timed out: from the result", onStart, earlyResult, TimedOut, earlyResult},
		{"early, outcome unknown: from the result", onStart, earlyResult, OutcomeUnknown, earlyResult},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler, warming := newWarmUpNode(t, slowStartSettings{warmUpDuration: 60e3, window: 2000})
			scheduler.settings.ConfirmsRunning = c.confirmsRunning
			warming.warmUpBinds = []Millis{sentAt}
			scheduler.slowStart.recordResult(c.resultAt, &bind{node: warming, sentAt: sentAt}, c.kind)
			assert.Equal(t, []Millis{c.want}, warming.warmUpBinds)
		})
	}
}

// Rule 4 of internal/simulation/audit if there are more allocators than binds in the warm-up budget: no window contains
// more binds than the budget.
func TestSlowStart_TurnsOfManyAllocatorsStayWithinTheBudget(t *testing.T) {
	const budget = 10
	const window = Millis(2000)
	const warmUpDuration = Millis(20e3)
	var sent []Millis
	for ordinal := range 77 {
		scheduler := New(Settings{
			Allocators:     77,
			Ordinal:        ordinal,
			WarmUpBudget:   budget,
			WarmUpDuration: warmUpDuration,
			OverloadWindow: window,
		}, 1)
		scheduler.slowStart.startedAt = -1
		warming := &node{Node: Node{ID: 5, StartedAt: 0}}
		for now := Millis(0); now < warmUpDuration; now += 10 {
			if scheduler.slowStart.allows(now, warming) {
				warming.warmUpBinds = append(warming.warmUpBinds, now)
				sent = append(sent, now)
			}
		}
	}
	slices.Sort(sent)
	assert.GreaterOrEqual(t, len(sent), 30, "the allocators must make use of the budget")
	for i, at := range sent[budget:] {
		assert.Greater(t, at-sent[i], window)
	}
}

func TestNewSlowStart_WarmUpBudgetIsSplitByAllocators(t *testing.T) {
	scheduler := New(Settings{Allocators: 3, WarmUpBudget: 23}, 1)
	assert.InDelta(t, 7, scheduler.slowStart.bindsPerWindow, 0)
}
