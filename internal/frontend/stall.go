package frontend

import "grebeglade/placement"

// stallBacklogTime is the time after a stall, in ms, in which handled events may have been queued during the stall.
const stallBacklogTime = placement.Millis(50)

// stall is an interval in which the process was stopped.
type stall struct {
	length  placement.Millis // upper bound of the stall's length, in ms
	endedAt placement.Millis
}

// recent returns the length of the stall if events handled now may have been queued during it, and 0 otherwise.
func (s stall) recent(now placement.Millis) placement.Millis {
	if now-s.endedAt < stallBacklogTime {
		return s.length
	}
	return 0
}
