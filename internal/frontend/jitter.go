package frontend

import (
	"encoding/binary"
	"hash/fnv"

	"grebeglade/placement"
)

const (
	// jitterSteps is the number of distinct factors.
	jitterSteps = 1000
	// minFactor is the least factor. All factors are below minFactor + factorRange.
	minFactor   = 0.75
	factorRange = 0.5
	// droppedLowBits is the number of low bits of the hash that are dropped.
	droppedLowBits = 11
)

// jitter varies delays by up to a quarter in both directions, so that processes that failed together do not retry
// together. A draw depends only on the seed and the number of earlier draws, so that runs in virtual time are
// reproducible.
type jitter struct {
	seed  uint64
	draws uint64
}

// newJitter returns a jitter source for the seed.
func newJitter(seed uint64) *jitter { return &jitter{seed: seed} }

// apply multiplies d by a factor in [0.75, 1.25). Each call takes one draw.
func (j *jitter) apply(d placement.Millis) placement.Millis {
	j.draws++
	return d * j.factor()
}

// factor returns the factor for the current number of draws.
func (j *jitter) factor() placement.Millis {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], j.seed)
	binary.BigEndian.PutUint64(input[8:], j.draws)
	hash := fnv.New64a()
	_, _ = hash.Write(input[:]) // Write of a hash never returns an error
	step := (hash.Sum64() >> droppedLowBits) % jitterSteps
	return placement.Millis(minFactor + factorRange*float64(step)/jitterSteps)
}
