package frontend

import (
	"encoding/binary"
	"hash/fnv"

	"grebeglade/placement"
)

const (
	// jitterSteps is how many different factors a draw may give.
	jitterSteps = 1000
	// minFactor is the least factor, and factorRange by how much the largest exceeds it.
	minFactor   = 0.75
	factorRange = 0.5
	// lowBits are the low bits of the hash that a draw leaves out.
	lowBits = 11
)

// jitter spreads delays by a quarter either way, so that processes that failed together do not retry together. A draw
// depends on the seed and on how many were made before, so that a run in virtual time repeats.
type jitter struct {
	seed  uint64
	draws uint64
}

// newJitter returns a source of jitter for the seed.
func newJitter(seed uint64) *jitter { return &jitter{seed: seed} }

// apply returns d times a factor from 0.75 up to 1.25. Each call is one draw.
func (j *jitter) apply(d placement.Millis) placement.Millis {
	j.draws++
	return d * j.factor()
}

// factor returns the factor that belongs to the number of draws so far.
func (j *jitter) factor() placement.Millis {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], j.seed)
	binary.BigEndian.PutUint64(input[8:], j.draws)
	hash := fnv.New64a()
	_, _ = hash.Write(input[:]) // a hash never fails to write
	step := (hash.Sum64() >> lowBits) % jitterSteps
	return placement.Millis(minFactor + factorRange*float64(step)/jitterSteps)
}
