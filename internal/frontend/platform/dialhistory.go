package platform

import "grebeglade/placement"

// dialHistory holds the state that determines when a node is dialed again. The two timers may run at the same time:
// while that of redial runs, the node may be dialed to send a message, and the new connection may be evicted.
type dialHistory struct {
	failures             int // consecutive failed dials
	refusals             refusalPeriod
	redialPending        bool // the timer of nodeConns.redial is running
	evictedRedialPending bool // the timer of nodeConns.redialEvicted is running
}

// refusalPeriod is a period in which all dials of a node were refused.
type refusalPeriod struct {
	ongoing bool
	since   placement.Millis // time of the first refused dial; valid if ongoing
}

// timerPending reports whether a timer is running that will dial the node.
func (h *dialHistory) timerPending() bool { return h.redialPending || h.evictedRedialPending }

// opened records a successful dial.
func (h *dialHistory) opened() {
	h.failures = 0
	h.refusals.end()
}

// redialAt returns the time of the next dial, given the delay of the backoff.
func (h *dialHistory) redialAt(now, delay placement.Millis) placement.Millis {
	at := now + delay
	if h.refusals.ongoing {
		// An earlier dial cannot show that the node is down. After the loss of a zone, dialing its nodes more often
		// delays answers by half a second if the process has only a fraction of a core.
		at = max(at, h.refusals.since+nodeDownAfter)
	}
	return at
}

// add records a refused dial, and returns the duration of the period in ms.
func (r *refusalPeriod) add(now placement.Millis) placement.Millis {
	if !r.ongoing {
		r.ongoing = true
		r.since = now
	}
	return now - r.since
}

// end ends the period: a dial succeeded or failed for another reason.
func (r *refusalPeriod) end() { r.ongoing = false }
