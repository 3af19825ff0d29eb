package frontend

import (
	"encoding/binary"
	"hash/fnv"

	"grebeglade/placement"
)

// jitterSteps is how many different factors a draw may give.
const jitterSteps = 1000

// Jitter spreads delays by a quarter either way, so that processes that failed together do not retry together. A draw
// depends on the seed and on how many were made before, so that a run in virtual time repeats.
type Jitter struct {
	seed  uint64
	draws uint64
}

// NewJitter returns a source of jitter for the seed.
func NewJitter(seed uint64) *Jitter { return &Jitter{seed: seed} }

// Apply returns d times a factor from 0.75 up to 1.25. Each call is one draw.
func (j *Jitter) Apply(d placement.Millis) placement.Millis {
	j.draws++
	return d * j.factor()
}

func (j *Jitter) factor() placement.Millis {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], j.seed)
	binary.BigEndian.PutUint64(b[8:], j.draws)
	h := fnv.New64a()
	_, _ = h.Write(b[:]) // a hash never fails to write
	return placement.Millis(0.75 + float64(h.Sum64()>>11%jitterSteps)/(2*jitterSteps))
}
