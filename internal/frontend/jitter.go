package frontend

import (
	"encoding/binary"
	"hash/fnv"

	"grebeglade/placement"
)

// jitterSteps is how many different factors a draw may give.
const jitterSteps = 1000

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

func (j *jitter) factor() placement.Millis {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], j.seed)
	binary.BigEndian.PutUint64(b[8:], j.draws)
	h := fnv.New64a()
	_, _ = h.Write(b[:]) // a hash never fails to write
	return placement.Millis(0.75 + float64(h.Sum64()>>11%jitterSteps)/(2*jitterSteps))
}
