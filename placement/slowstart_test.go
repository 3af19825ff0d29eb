package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// slowStartSettings are the settings of newWarmingNode.
type slowStartSettings struct {
	warmUpDuration Millis
	initialRate    float64
	bindsPerWindow float64
	window         Millis
}

// newWarmingNode returns a scheduler that started long ago, and its node, which starts at time 0.
func newWarmingNode(t *testing.T, settings slowStartSettings) (*Scheduler, *node) {
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

// Rule 4: all allocators together stay within the warm-up budget of a node.
func TestSlowStart_OurShareOnARamp(t *testing.T) {
	scheduler, warming := newWarmingNode(t, slowStartSettings{
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
		{"half way up: initial rate and half of the ramp", slowStartRamp / 2, 6},
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
	t.Run("after our own start: what was sent before it is unknown, so none", func(t *testing.T) {
		scheduler.slowStart.startedAt = 9999
		warming.warmUpBinds = nil
		assert.False(t, scheduler.slowStart.allows(9999, warming))
	})
}

// Binds that a network partition delays reach the node together with those that are sent as it ends.
func TestSlowStart_UnansweredBindsCountBeyondTheWindow(t *testing.T) {
	scheduler, warming := newWarmingNode(t, slowStartSettings{
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

// A bind that was delayed may have arrived just before its answer: from then on it counts for a window.
//
// Where a confirmation waits for the start of the workload, it does not show when the bind arrived. This guards against
// counting a bind that timed out within the window from when it was sent: binds that a partition delayed arrived
// together with later ones (seed 81, run 3835).
func TestRecordResult_FromTheAnswerOn(t *testing.T) {
	const sentAt = Millis(100)
	const lateAnswer = Millis(2900)  // after the window
	const earlyAnswer = Millis(1600) // within the window
	const onAcceptance = false       // Settings.ConfirmsRunning
	const onStart = true
	for _, c := range []struct {
		name            string
		confirmsRunning bool
		answeredAt      Millis
		kind            ResultKind
		want            Millis
	}{
		{"late, confirmed: from the answer", onStart, lateAnswer, Confirmed, lateAnswer},
		{"late, rejected: from the answer", onStart, lateAnswer, RejectedByNode, lateAnswer},
		{"late, timed out: from the timeout", onStart, lateAnswer, TimedOut, lateAnswer},
		{"late, not delivered: as sent", onStart, lateAnswer, NotDelivered, sentAt},
		{"late, not attempted: as sent", onStart, lateAnswer, NotAttempted, sentAt},
		{"early, confirmed on start: as sent", onStart, earlyAnswer, Confirmed, sentAt},
		{"early, confirmed on acceptance: from the answer", onAcceptance, earlyAnswer, Confirmed, earlyAnswer},
		{"early, rejected: from the answer", onStart, earlyAnswer, RejectedByNode, earlyAnswer},
		{"early, timed out: from the timeout", onStart, earlyAnswer, TimedOut, earlyAnswer},
		{"early, outcome unknown: from the result", onStart, earlyAnswer, OutcomeUnknown, earlyAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler, warming := newWarmingNode(t, slowStartSettings{warmUpDuration: 60e3, window: 2000})
			scheduler.settings.ConfirmsRunning = c.confirmsRunning
			warming.warmUpBinds = []Millis{sentAt}
			scheduler.slowStart.recordResult(c.answeredAt, &bind{node: warming, sentAt: sentAt}, c.kind)
			assert.Equal(t, []Millis{c.want}, warming.warmUpBinds)
		})
	}
}

// Rule 4 where allocators outnumber the warm-up budget: no window holds more than the budget.
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
	assert.GreaterOrEqual(t, len(sent), 30, "the budget must be used too")
	for i, at := range sent[budget:] {
		assert.Greater(t, at-sent[i], window)
	}
}

func TestNewSlowStart_WarmUpBudgetIsSplitByAllocators(t *testing.T) {
	scheduler := New(Settings{Allocators: 3, WarmUpBudget: 23}, 1)
	assert.InDelta(t, 7, scheduler.slowStart.bindsPerWindow, 0)
}
