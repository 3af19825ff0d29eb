package platform

import "grebeglade/placement"

// dialHistory is what decides when a node is dialed again. The two timers are independent of each other: while the one
// of redial runs, the node may be connected to send it something, and that connection may be evicted.
type dialHistory struct {
	failures       int // in a row
	refusals       refusalPeriod
	redialPending  bool // the timer of redial is set
	revisitPending bool // the timer of revisit is set, as the node's connection was evicted
}

// refusalPeriod is the time for which each dial of a node has been refused.
type refusalPeriod struct {
	ongoing bool
	since   placement.Millis // if ongoing: when the first of these dials was refused
}

// timerPending reports whether a timer is set that dials the node.
func (h *dialHistory) timerPending() bool { return h.redialPending || h.revisitPending }

// opened records that a connection to the node has opened.
func (h *dialHistory) opened() {
	h.failures = 0
	h.refusals.end()
}

// redialAt returns when the node is to be dialed again, given the delay of the backoff.
func (h *dialHistory) redialAt(now, delay placement.Millis) placement.Millis {
	at := now + delay
	if h.refusals.ongoing {
		// An earlier attempt proves nothing new. After the loss of a zone, dialing its nodes more often took so much of
		// a part of a core that answers were late by half a second.
		at = max(at, h.refusals.since+nodeDownAfter)
	}
	return at
}

// add records a refused dial, and returns how long, in ms, the period has lasted.
func (r *refusalPeriod) add(now placement.Millis) placement.Millis {
	if !r.ongoing {
		r.ongoing = true
		r.since = now
	}
	return now - r.since
}

// end records a dial that was not refused.
func (r *refusalPeriod) end() { r.ongoing = false }
