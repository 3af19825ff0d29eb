// Slow start decides whether a node that has just started may get one more bind of ours.
//
// Observed: the node's start time, the binds that we sent to it and when they were answered, the number of allocators
// and our ordinal among them, and when this scheduler started.
//
// All allocators together must stay within the warm-up budget of such a node, without agreement. Each has an equal
// share, which it ramps up to. Where allocators outnumber the budget they take turns of one bind, which all compute
// alike from the node, its start time and their ordinals. A window of the budget overlaps two turns at most, also
// with binds in flight, so each turn has half of it. What was sent before a restart of the allocator is unknown, so
// it waits for a window, or for the next turn. Binds that a network partition delays arrive together at its end: a
// bind counts until it is answered, and from its answer on for a window.
//
// Cost of an error: a bind too many overloads the node and breaks a rule that has no exception; one too few leaves
// capacity idle just after a deploy or a crash, as happens in turns of allocators without requests, and while
// answers are slow.

package placement

import (
	"math"
	"slices"
)

// allocatorCount is a whole number of allocators, or a position in their order, from 0.
type allocatorCount float64

// turn is a time of one slowStart.window in which some of the allocators may send one bind each to a node. The turns
// on a node follow one another from its start.
type turn struct {
	// index is the number of turns on the node before this one.
	index float64
	// start is when the turn starts.
	start Millis
}

// slowStart keeps what all allocators send to a node that has just started within its warm-up budget.
type slowStart struct {
	settings *Settings
	// window is the time over which we count binds against the budget.
	window Millis
	// bindsPerWindow is our share of the budget, in binds in one window. Below 1 allocators take turns.
	bindsPerWindow float64
	// allocatorsPerTurn is how many allocators may send one bind each in a turn, once the node takes its full rate.
	allocatorsPerTurn allocatorCount
	// startedAt is when this scheduler started: what was sent before is unknown.
	startedAt Millis
}

func newSlowStart(settings *Settings) *slowStart {
	return &slowStart{
		settings:          settings,
		window:            settings.OverloadWindow * warmUpWindowFactor,
		bindsPerWindow:    math.Floor(settings.WarmUpBudget / float64(settings.Allocators)),
		allocatorsPerTurn: allocatorCount(math.Floor(settings.WarmUpBudget / turnsPerWindow)),
		startedAt:         Millis(math.Inf(1)),
	}
}

// warmingUp reports whether n started so lately that its warm-up budget applies.
func (s *slowStart) warmingUp(now Millis, n *node) bool {
	return now-n.StartedAt < s.settings.WarmUpDuration
}

// allows reports whether n may get one more bind of ours.
func (s *slowStart) allows(now Millis, n *node) bool {
	if !s.warmingUp(now, n) {
		return true
	}
	if s.bindsPerWindow < 1 {
		return s.hasTurn(now, n)
	}
	return s.withinShare(now, n)
}

// ramp returns the part of its full rate of binds that n takes by now, from the initial rate up to 1.
func (s *slowStart) ramp(now Millis, n *node) float64 {
	return min(1, s.settings.InitialRate+float64((now-n.StartedAt)/slowStartRamp))
}

// hasTurn reports whether the current turn on n is ours and unused. What we sent in a turn that had begun before our
// own start is unknown, so none of that turn is ours.
func (s *slowStart) hasTurn(now Millis, n *node) bool {
	current := s.currentTurn(now, n)
	return s.startedAt <= current.start &&
		!n.hasWarmUpBindSince(current.start) &&
		s.positionInTurn(n, current) < s.sendersInTurn(now, n)
}

// currentTurn returns the turn on n at this time. It is the same for all allocators.
func (s *slowStart) currentTurn(now Millis, n *node) turn {
	index := math.Floor(float64((now - n.StartedAt) / s.window))
	return turn{index: index, start: n.StartedAt + Millis(index)*s.window}
}

// sendersInTurn returns how many allocators, from the first position on, may send a bind to n in its current turn.
func (s *slowStart) sendersInTurn(now Millis, n *node) allocatorCount {
	return allocatorCount(math.Floor(float64(s.allocatorsPerTurn) * s.ramp(now, n)))
}

// positionInTurn returns our position in the order in which allocators get a place in that turn on n. In the first turn
// it depends on a hash of the node. Each further turn moves all positions on by the places of a turn, so that every
// allocator comes to have one.
func (s *slowStart) positionInTurn(n *node, t turn) allocatorCount {
	offset := allocatorCount(hash(uint64(n.ID), 0) % turnOffsets)
	moved := offset + allocatorCount(t.index)*s.allocatorsPerTurn
	position := math.Mod(float64(moved)+float64(s.settings.Ordinal), float64(s.settings.Allocators))
	return allocatorCount(position)
}

// hasWarmUpBindSince reports whether a bind that counts against the budget of n was sent or answered since then.
func (n *node) hasWarmUpBindSince(start Millis) bool {
	return slices.ContainsFunc(n.warmUpBinds, func(at Millis) bool { return at >= start })
}

// withinShare reports whether our share of the budget allows one more bind.
func (s *slowStart) withinShare(now Millis, n *node) bool {
	windowStart := now - s.window
	counted := float64(n.countWarmUpBinds(windowStart))
	return s.startedAt < windowStart &&
		counted+1 <= s.bindsPerWindow &&
		counted < max(minWarmUpBinds, s.bindsPerWindow*s.ramp(now, n))
}

// countWarmUpBinds returns how many of our binds count against the budget of n in the window from windowStart.
func (n *node) countWarmUpBinds(windowStart Millis) int {
	counted := 0
	for _, at := range n.warmUpBinds {
		if at >= windowStart {
			counted++
		}
	}
	// Older binds without an answer may still arrive: after a network partition they did so with later ones.
	for _, b := range n.binds {
		if b.state == bindSent && b.sentAt < windowStart {
			counted++
		}
	}
	return counted
}

// recordSent counts a bind that is sent to n now, if its warm-up budget applies.
func (s *slowStart) recordSent(now Millis, n *node) {
	if s.warmingUp(now, n) {
		n.warmUpBinds = append(n.warmUpBinds, now)
	}
}

// recordResult counts a bind to a node that warms up from its result on: it may have arrived only then.
func (s *slowStart) recordResult(now Millis, b *bind, kind ResultKind) {
	n := b.node
	if b.state != bindSent || !s.warmingUp(now, n) || !s.mayHaveArrivedLate(now, b, kind) {
		return
	}
	if i := slices.Index(n.warmUpBinds, b.sentAt); i >= 0 {
		n.warmUpBinds[i] = now
	} else {
		n.warmUpBinds = append(n.warmUpBinds, now)
	}
}

// mayHaveArrivedLate reports whether the bind may have reached its node only just before this result. Where a
// confirmation waits for the start of the workload, only one later than the window counts as such: if all did, nodes
// would stay idle while answers are slow.
func (s *slowStart) mayHaveArrivedLate(now Millis, b *bind, kind ResultKind) bool {
	switch kind {
	case NotDelivered, NotAttempted: // it never arrived
		return false
	case Withdrawn: // not an answer of the node, which is still to come
		return false
	case Confirmed:
		withinWindow := now-b.sentAt <= s.window
		return !s.settings.ConfirmsRunning || !withinWindow
	case RejectedByNode, OutcomeUnknown, TimedOut, Ended, TimerFired:
		return true
	}
	return true
}
