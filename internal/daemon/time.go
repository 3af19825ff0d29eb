package daemon

import (
	"time"

	"grebeglade/placement"
)

// unixNow returns the current time in Unix milliseconds.
func unixNow() float64 { return unixMillis(time.Now()) }

// unixMillis converts a time to fractional Unix milliseconds.
func unixMillis(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Millisecond) }

// duration converts milliseconds to a time.Duration.
func duration(ms placement.Millis) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond))
}
