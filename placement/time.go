package placement

import "math"

// Millis is a time or a duration in milliseconds.
type Millis float64

// DistantPast is the start time of a node whose start is unknown, and the time of an event that has never happened.
var DistantPast = Millis(math.Inf(-1))
