package daemon

import (
	"time"

	"grebeglade/placement"
)

// unixMillis returns Unix milliseconds with fractions.
func unixMillis(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Millisecond) }

func duration(ms placement.Millis) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond))
}
