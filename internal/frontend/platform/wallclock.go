package platform

import (
	"time"

	"grebeglade/placement"
)

// maxClockDifference, in ms, is the difference between two conversions of a time above which the wall clock has been
// stepped.
const maxClockDifference = placement.Millis(1000)

// wallClock converts Unix times of other processes on this machine to the monotonic clock of the frontend. The wall
// clock may be stepped at any time, so that a Unix time may have been read before or after a step.
type wallClock struct {
	unixTime  func() placement.Millis // current Unix time in ms
	unixAtRef placement.Millis        // Unix time at ref
	ref       placement.Millis        // time of the first conversion
	started   bool                    // ref is set
}

func newWallClock() *wallClock { return &wallClock{unixTime: unixTime} }

// unixTime returns the current Unix time in ms.
func unixTime() placement.Millis { return placement.Millis(float64(time.Now().UnixNano()) / 1e6) }

// convert returns the given Unix time, which is that of a past event, on the clock of now. If the wall clock has been
// stepped since the first conversion, the time may have been read before or after the step. A result after now is
// wrong then. If both are possible, convert returns the later one, so that a node warms up long enough.
func (c *wallClock) convert(now, unix placement.Millis) placement.Millis {
	unixNow := c.unixTime()
	if !c.started {
		c.started = true
		c.ref = now
		c.unixAtRef = unixNow
	}
	afterStep := now + unix - unixNow
	beforeStep := c.ref + unix - c.unixAtRef
	earlier, later := min(afterStep, beforeStep), max(afterStep, beforeStep)
	switch {
	case later-earlier < maxClockDifference:
		return afterStep
	case later <= now:
		return later
	}
	return min(earlier, now)
}
