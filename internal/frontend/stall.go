package frontend

import "grebeglade/placement"

// stallRelevant is for how long, in ms, events that are handled after a stall may have waited through it.
const stallRelevant = placement.Millis(50)

// stall is the last time for which the process was stopped.
type stall struct {
	length  placement.Millis // at most
	endedAt placement.Millis
}

// recent returns the length of the stall if events handled now may have waited through it, and else 0.
func (s stall) recent(now placement.Millis) placement.Millis {
	if now-s.endedAt < stallRelevant {
		return s.length
	}
	return 0
}
