package placement

import (
	"encoding/binary"
	"hash/fnv"
)

// random is a reproducible sequence: the hash of a seed and a counter.
type random struct{ seed, draws uint64 }

func (r *random) intn(n int) int {
	r.draws++
	return int(hash(r.seed, r.draws) % uint64(n))
}

// jitter returns d with up to a quarter added or taken off at random.
func (r *random) jitter(d Millis) Millis { return d * Millis(0.75+float64(r.intn(1000))/2000) }

// hash mixes two numbers; it is the same in every process.
func hash(x, y uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], x)
	binary.BigEndian.PutUint64(b[8:], y)
	h := fnv.New64a()
	h.Write(b[:])
	return h.Sum64() >> 11
}
