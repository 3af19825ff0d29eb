package placement

import (
	"encoding/binary"
	"hash/fnv"
)

// random is a reproducible sequence of pseudo-random numbers: hashes of a seed and a counter.
type random struct {
	seed  uint64
	draws uint64 // number of draws so far
}

// intn returns the next number of the sequence, reduced to the range from 0 to limit-1.
func (r *random) intn(limit int) int {
	r.draws++
	return int(hash(r.seed, r.draws) % uint64(limit))
}

// jitter returns d plus or minus a random amount of up to a quarter.
func (r *random) jitter(d Millis) Millis {
	step := float64(r.intn(jitterSteps))
	return d * Millis(minJitterFactor+step/(jitterSteps/jitterFactorRange))
}

// hash returns a 53-bit hash of x and y, which a float64 represents exactly. It is the same in every process.
func hash(x, y uint64) uint64 {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], x)
	binary.BigEndian.PutUint64(input[8:], y)
	h := fnv.New64a()
	h.Write(input[:])
	return h.Sum64() >> 11
}
