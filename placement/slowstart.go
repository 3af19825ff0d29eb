package placement

import (
	"math"
	"slices"
)

// slowStart keeps what all allocators send to a node that has just started within its warm-up budget.
type slowStart struct {
	settings  *Settings
	window    Millis  // over which binds count against the budget
	share     float64 // binds in a window that are ours to send; below 1 allocators take turns
	turnSize  float64 // allocators that may send one bind each in a turn
	startedAt Millis  // of this scheduler: what was sent before a restart is unknown
}

func newSlowStart(s *Settings) *slowStart {
	return &slowStart{
		settings: s, window: s.OverloadWindow * warmUpWindowFactor, startedAt: Millis(math.Inf(1)),
		share: math.Floor(s.WarmUpBudget / float64(s.Allocators)), turnSize: math.Floor(s.WarmUpBudget / 2),
	}
}

func (s *slowStart) warmingUp(now Millis, n *node) bool {
	return now-n.StartedAt < s.settings.WarmUpDuration
}

// allows reports whether n may get one more bind of ours.
func (s *slowStart) allows(now Millis, n *node) bool {
	if !s.warmingUp(now, n) {
		return true
	}
	ramp := min(1, s.settings.InitialRate+float64((now-n.StartedAt)/slowStartRamp))
	if s.share < 1 {
		return s.hasTurn(now, n, ramp)
	}
	return s.withinShare(now, n, ramp)
}

// hasTurn reports whether the current turn on n is ours and unused. All allocators compute the same turns. A
// window overlaps two at most, so each has half of the budget; after our own start we wait for a whole one.
func (s *slowStart) hasTurn(now Millis, n *node, ramp float64) bool {
	turn := math.Floor(float64((now - n.StartedAt) / s.window))
	begins := n.StartedAt + Millis(turn)*s.window
	first := float64(hash(uint64(n.ID), 0)%(1<<20)) + turn*s.turnSize
	position := math.Mod(first+float64(s.settings.Ordinal), float64(s.settings.Allocators))
	used := slices.ContainsFunc(n.warmUpBinds, func(at Millis) bool { return at >= begins })
	return s.startedAt <= begins && !used && position < math.Floor(s.turnSize*ramp)
}

// withinShare reports whether our share of the budget allows one more bind.
func (s *slowStart) withinShare(now Millis, n *node, ramp float64) bool {
	from, counted := now-s.window, 0
	for _, at := range n.warmUpBinds {
		if at >= from {
			counted++
		}
	}
	// Older binds without an answer may still arrive: after a network partition they did so with later ones.
	for _, b := range n.binds {
		if b.state == bindSent && b.sentAt < from {
			counted++
		}
	}
	return s.startedAt < from && float64(counted+1) <= s.share && float64(counted) < max(1, s.share*ramp)
}

// countArrival counts a bind to a node that warms up from its result on: it may have arrived only then. A
// confirmation that waits for the start counts only when it is very late. Slow answers leave nodes idle.
func (s *slowStart) countArrival(now Millis, b *bind, kind ResultKind) {
	switch {
	case b.state != bindSent, kind == NotDelivered, kind == NotAttempted, kind == Withdrawn,
		!s.warmingUp(now, b.node), s.settings.ConfirmsRunning && kind == Confirmed && now-b.sentAt <= s.window:
		return
	}
	if i := slices.Index(b.node.warmUpBinds, b.sentAt); i >= 0 {
		b.node.warmUpBinds[i] = now
	} else {
		b.node.warmUpBinds = append(b.node.warmUpBinds, now)
	}
}
