package placement

import (
	"encoding/binary"
	"hash/fnv"
)

// random is a reproducible sequence: the hash of a seed and a counter.
type random struct {
	seed  uint64
	draws uint64 // made so far
}

// intn returns the next number of the sequence, from 0 to limit-1.
func (r *random) intn(limit int) int {
	r.draws++
	return int(hash(r.seed, r.draws) % uint64(limit))
}

// jitter returns d with up to a quarter added or taken off at random.
func (r *random) jitter(d Millis) Millis {
	step := float64(r.intn(jitterSteps))
	return d * Millis(jitterLeast+step/(jitterSteps/jitterRange))
}

// hash mixes two numbers into one of 53 bits, which a float64 holds exactly. It is the same in every process.
func hash(x, y uint64) uint64 {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], x)
	binary.BigEndian.PutUint64(input[8:], y)
	h := fnv.New64a()
	h.Write(input[:])
	return h.Sum64() >> 11
}
