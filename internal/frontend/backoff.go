package frontend

import (
	"math"

	"grebeglade/internal/timerqueue"
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

// Jitter spreads delays by a quarter either way, so that processes that failed together do not retry together. Its draws
// are a function of the seed and of how many were made before. Each call of Apply is one draw.
type Jitter struct {
	seed  uint64
	draws uint64
}

// NewJitter returns a source of jitter for the seed.
func NewJitter(seed uint64) *Jitter { return &Jitter{seed: seed} }

// Apply returns d times a factor from 0.75 up to 1.25.
func (j *Jitter) Apply(d placement.Millis) placement.Millis {
	j.draws++
	return timerqueue.Jitter(d, j.seed, j.draws)
}
