package platform

import "grebeglade/placement"

// minLogInterval, in ms, is the minimum time between two lines about what clients can cause, since they could fill the
// log.
const minLogInterval = placement.Millis(10e3)

// logLimit limits the lines of one kind to one each minLogInterval.
type logLimit struct {
	loggedAt placement.Millis // time of the last line
	count    uint64           // occurrences since the last line
}

func newLogLimit() logLimit { return logLimit{loggedAt: placement.DistantPast} }

// add records occurrences. If a line may be logged, it returns true and the number of occurrences since the last line.
func (l *logLimit) add(now placement.Millis, occurrences uint64) (count uint64, log bool) {
	l.count += occurrences
	if now-l.loggedAt < minLogInterval {
		return 0, false
	}
	count = l.count
	l.loggedAt = now
	l.count = 0
	return count, true
}
