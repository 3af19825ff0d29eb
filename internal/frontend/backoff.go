package frontend

import (
	"math"

	"grebeglade/placement"
)

// maxDoublings bounds the exponent of a backoff, far beyond where any Max applies.
const maxDoublings = 16

// Backoff is a delay that doubles with each failure in a row, from Initial up to Max, both in milliseconds.
type Backoff struct {
	Initial placement.Millis
	Max     placement.Millis
}

// Delay returns the delay after the given number of earlier failures in a row, 0 for the first, without jitter.
func (b Backoff) Delay(failures int) placement.Millis {
	return min(b.Max, b.Initial*placement.Millis(math.Exp2(float64(min(failures, maxDoublings)))))
}
