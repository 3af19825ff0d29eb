// Slow start decides whether a node that has just started may get one more bind from this allocator.
//
// Inputs: the node's start time, the binds that this allocator sent to the node and the times of their results, the
// number of allocators, this allocator's ordinal, and the start time of this scheduler.
//
// All allocators together must stay within the warm-up budget of the node without communicating. Each has an equal
// share of the budget; its rate rises from the initial rate to that share. If there are more allocators than binds in
// the budget, they take turns: in each turn, some of them may send one bind each. All compute the same order from the
// node, its start time and the ordinals. A window overlaps at most two turns, binds in flight included, so each turn
// gets half of the budget. Binds sent before a restart of the allocator are unknown, so after its start it waits for
// one window or for the next turn. Binds that a network partition delays arrive together when it ends; therefore a bind
// counts until it is answered, and for one window after that. mayHaveJustArrived lists the exceptions.
//
// Cost of an error: a bind too many overloads the node and violates a rule without exceptions; a bind too few leaves
// capacity idle just after a deployment or a crash. Capacity is also idle in the turns of allocators without requests,
// and while replies are slow.

package placement

import (
	"math"
	"slices"
)

// allocatorCount is a whole number of allocators, or a position in the order of allocators, from 0.
type allocatorCount float64

// turn is a period of the length of slowStart.window in which some of the allocators may send one bind each to a node.
// The first turn begins at the start of the node; each further one follows immediately.
type turn struct {
	// index is the number of the turn, from 0 at the start of the node.
	index float64
	// start is the time when the turn begins.
	start Millis
}

// slowStart limits the binds to nodes that have just started, so that all allocators together stay within the warm-up
// budget of a node.
type slowStart struct {
	settings *Settings
	// window is the time over which binds count against the budget.
	window Millis
	// bindsPerWindow is this allocator's share of the budget, in binds per window. Below 1, allocators take turns.
	bindsPerWindow float64
	// allocatorsPerTurn is the number of allocators that may send one bind each in a turn at the full rate.
	allocatorsPerTurn allocatorCount
	// startedAt is the time of the first call of Maintain, or infinity before it. Binds sent earlier are unknown.
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

// warmingUp reports whether n started less than Settings.WarmUpDuration ago, so that its warm-up budget applies.
func (s *slowStart) warmingUp(now Millis, n *node) bool {
	return now-n.StartedAt < s.settings.WarmUpDuration
}

// allows reports whether this allocator may send one more bind to n. It is always true if n is not warming up.
func (s *slowStart) allows(now Millis, n *node) bool {
	if !s.warmingUp(now, n) {
		return true
	}
	if s.bindsPerWindow < 1 {
		return s.hasTurn(now, n)
	}
	return s.withinShare(now, n)
}

// rateShare returns the current rate of binds to n as a share of its full rate, from the initial rate up to 1.
func (s *slowStart) rateShare(now Millis, n *node) float64 {
	return min(1, s.settings.InitialRate+float64((now-n.StartedAt)/slowStartRamp))
}

// hasTurn reports whether this allocator may send a bind in the current turn on n and has not done so. A turn that
// began before the start of this scheduler is not used, because the binds sent in it are unknown.
func (s *slowStart) hasTurn(now Millis, n *node) bool {
	current := s.currentTurn(now, n)
	return s.startedAt <= current.start &&
		!n.hasWarmUpBindSince(current.start) &&
		s.positionInTurn(n, current) < s.sendersInTurn(now, n)
}

// currentTurn returns the current turn on n. It is the same for all allocators.
func (s *slowStart) currentTurn(now Millis, n *node) turn {
	index := math.Floor(float64((now - n.StartedAt) / s.window))
	return turn{index: index, start: n.StartedAt + Millis(index)*s.window}
}

// sendersInTurn returns the number of allocators that may send a bind to n in its current turn. They are those at the
// first positions.
func (s *slowStart) sendersInTurn(now Millis, n *node) allocatorCount {
	return allocatorCount(math.Floor(float64(s.allocatorsPerTurn) * s.rateShare(now, n)))
}

// positionInTurn returns this allocator's position in the order of allocators for a turn on n. The order is rotated by
// a hash of the node, and by allocatorsPerTurn more in each further turn, so that every allocator gets a turn.
func (s *slowStart) positionInTurn(n *node, t turn) allocatorCount {
	offset := allocatorCount(hash(uint64(n.ID), 0) % turnOffsetRange)
	moved := offset + allocatorCount(t.index)*s.allocatorsPerTurn
	position := math.Mod(float64(moved)+float64(s.settings.Ordinal), float64(s.settings.Allocators))
	return allocatorCount(position)
}

// hasWarmUpBindSince reports whether a bind that counts against the budget of n was sent or answered at start or later.
func (n *node) hasWarmUpBindSince(start Millis) bool {
	return slices.ContainsFunc(n.warmUpBinds, func(at Millis) bool { return at >= start })
}

// withinShare reports whether this allocator's share of the budget allows one more bind to n.
func (s *slowStart) withinShare(now Millis, n *node) bool {
	windowStart := now - s.window
	counted := float64(n.countWarmUpBinds(windowStart))
	return s.startedAt < windowStart &&
		counted+1 <= s.bindsPerWindow &&
		counted < max(minWarmUpBinds, s.bindsPerWindow*s.rateShare(now, n))
}

// countWarmUpBinds returns the number of this allocator's binds that count against the budget of n in the window that
// begins at windowStart.
func (n *node) countWarmUpBinds(windowStart Millis) int {
	counted := 0
	for _, at := range n.warmUpBinds {
		if at >= windowStart {
			counted++
		}
	}
	// Older unanswered binds may still arrive: after a network partition they arrive together with later ones.
	for _, b := range n.binds {
		if b.state == bindSent && b.sentAt < windowStart {
			counted++
		}
	}
	return counted
}

// recordSent counts a bind that is sent to n now if n is warming up.
func (s *slowStart) recordSent(now Millis, n *node) {
	if s.warmingUp(now, n) {
		n.warmUpBinds = append(n.warmUpBinds, now)
	}
}

// recordResult counts a bind in warmUpBinds at the time of its result instead of the time when it was sent. It does so
// only if the bind was unanswered, its node is warming up, and the bind may have arrived just before the result.
func (s *slowStart) recordResult(now Millis, b *bind, kind ResultKind) {
	n := b.node
	if b.state != bindSent || !s.warmingUp(now, n) || !s.mayHaveJustArrived(now, b, kind) {
		return
	}
	if i := slices.Index(n.warmUpBinds, b.sentAt); i >= 0 {
		n.warmUpBinds[i] = now
	} else {
		n.warmUpBinds = append(n.warmUpBinds, now)
	}
}

// mayHaveJustArrived reports whether the bind may have reached its node just before this result. With
// Settings.ConfirmsRunning, nodes confirm a workload only after its start. A confirmation then counts as such a result
// only if it comes more than one window after the offer: otherwise nodes would stay idle while replies are slow.
func (s *slowStart) mayHaveJustArrived(now Millis, b *bind, kind ResultKind) bool {
	switch kind {
	case NotDelivered, NotAttempted: // the bind never arrived
		return false
	case Withdrawn: // not a reply of the node, which is still outstanding
		return false
	case Confirmed:
		withinWindow := now-b.sentAt <= s.window
		return !s.settings.ConfirmsRunning || !withinWindow
	case RejectedByNode, OutcomeUnknown, TimedOut, Ended, TimerFired:
		return true
	}
	return true
}
