package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Rule 4: all allocators together stay within the warm-up budget of a node.
func TestSlowStart_OurShareOnARamp(t *testing.T) {
	s := newFleet(t, 1)
	s.settings.WarmUpDuration, s.settings.InitialRate = 10e3, 0.25
	s.slowStart.bindsPerWindow, s.slowStart.window, s.slowStart.startedAt = 8, 3000, -5000
	n := s.node(1)
	n.StartedAt = 0
	allowed := func(now Millis) (count int) {
		for n.warmUpBinds = nil; count < 99 && s.slowStart.allows(now, n); count++ {
			n.warmUpBinds = append(n.warmUpBinds, now)
		}
		return count
	}
	assert.Equal(t, 2, allowed(0))
	assert.Equal(t, 6, allowed(slowStartRamp/2))
	assert.Equal(t, 8, allowed(slowStartRamp))
	s.slowStart.startedAt = 9999
	n.warmUpBinds = nil
	assert.False(t, s.slowStart.allows(9999, n), "what was sent before a restart is unknown")
}

// Binds that a network partition holds up reach the node together with those that are sent as it ends.
func TestSlowStart_UnansweredBindsCountBeyondTheWindow(t *testing.T) {
	s := newFleet(t, 1)
	s.settings.WarmUpDuration, s.settings.InitialRate = 60e3, 1
	s.slowStart.bindsPerWindow, s.slowStart.window, s.slowStart.startedAt = 4, 2000, -5000
	n := s.node(1)
	n.StartedAt = 0
	for range 4 {
		n.binds = append(n.binds, &bind{workload: &workload{}, node: n, sentAt: 0})
	}
	assert.False(t, s.slowStart.allows(2500, n))
	n.binds[0].advance(bindConfirmed)
	assert.True(t, s.slowStart.allows(2500, n))
}

// A bind that was held up may have arrived just before its answer: from then on it counts for a window.
func TestCountArrival_FromTheAnswerOn(t *testing.T) {
	for kind, want := range map[ResultKind][]Millis{
		Confirmed: {2900}, RejectedByNode: {2900}, TimedOut: {2900}, NotDelivered: {100}, NotAttempted: {100},
	} {
		s := newFleet(t, 1)
		s.settings.WarmUpDuration, s.slowStart.window = 60e3, 2000
		n := s.node(1)
		n.StartedAt, n.warmUpBinds = 0, []Millis{100}
		s.slowStart.recordResult(2900, &bind{node: n, sentAt: 100}, kind)
		assert.Equal(t, want, n.warmUpBinds, "%v", kind)
	}
}

// Where a confirmation waits for the start, it tells nothing of the arrival. A timeout within the window once
// counted from when its bind was sent, and binds that a partition held up arrived together with later ones
// (seed 81, run 3835).
func TestCountArrival_WhereConfirmationsWaitForTheStart(t *testing.T) {
	for kind, want := range map[ResultKind]Millis{Confirmed: 100, RejectedByNode: 1600, TimedOut: 1600, OutcomeUnknown: 1600} {
		s := newFleet(t, 1)
		s.settings.WarmUpDuration, s.slowStart.window, s.settings.ConfirmsRunning = 60e3, 2000, true
		n := s.node(1)
		n.StartedAt, n.warmUpBinds = 0, []Millis{100}
		s.slowStart.recordResult(1600, &bind{node: n, sentAt: 100}, kind)
		assert.Equal(t, []Millis{want}, n.warmUpBinds, "%v", kind)
	}
}

// Rule 4 where allocators outnumber the warm-up budget: no window holds more than the budget.
func TestSlowStart_TurnsOfManyAllocatorsStayWithinTheBudget(t *testing.T) {
	const budget, window = 10, Millis(2000)
	var sent []Millis
	for ordinal := range 77 {
		s := New(Settings{
			Allocators: 77, Ordinal: ordinal, WarmUpBudget: budget, WarmUpDuration: 20e3, OverloadWindow: window,
		}, 1)
		s.slowStart.startedAt = -1
		n := &node{Node: Node{ID: 5, StartedAt: 0}}
		for now := Millis(0); now < 20e3; now += 10 {
			if s.slowStart.allows(now, n) {
				n.warmUpBinds = append(n.warmUpBinds, now)
				sent = append(sent, now)
			}
		}
	}
	slices.Sort(sent)
	assert.GreaterOrEqual(t, len(sent), 30, "nor does it stay idle")
	for i, at := range sent[budget:] {
		assert.Greater(t, at-sent[i], window)
	}
}

func TestNew_WarmUpBudgetIsSplitByAllocators(t *testing.T) {
	assert.InDelta(t, 7, New(Settings{Allocators: 3, WarmUpBudget: 23}, 1).slowStart.bindsPerWindow, 0)
}

func TestNew_OrdinalOutOfRangeCountsAsAnAllocator(t *testing.T) {
	beyond := New(Settings{Allocators: 3, Ordinal: 9, WarmUpBudget: 23}, 1)
	assert.InDelta(t, 2, beyond.slowStart.bindsPerWindow, 0, "an ordinal beyond the count raises the count")
	assert.Zero(t, New(Settings{Allocators: 3, Ordinal: -1}, 1).settings.Ordinal)
}
