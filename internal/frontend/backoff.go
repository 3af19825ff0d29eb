package frontend

import (
	"math"

	"grebeglade/placement"
)

// maxDoublings is the greatest number of doublings. Every backoff reaches its Max with fewer.
const maxDoublings = 16

// Backoff is an exponential backoff: the delay starts at Initial and doubles with each consecutive failure, up to Max.
type Backoff struct {
	Initial placement.Millis // delay after the first failure, in ms
	Max     placement.Millis // longest delay, in ms
}

// Delay returns the delay without jitter, in ms. The parameter failures is the number of consecutive earlier failures,
// 0 for the first delay.
func (b Backoff) Delay(failures int) placement.Millis {
	return min(b.Max, b.Initial*placement.Millis(math.Exp2(float64(min(failures, maxDoublings)))))
}
