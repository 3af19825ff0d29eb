package placement

import "math"

// Millis is a time or a duration in milliseconds.
type Millis float64

// DistantPast is the start time of a node whose start nobody recorded, and the time of what never happened.
var DistantPast = Millis(math.Inf(-1))
