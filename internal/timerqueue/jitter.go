package timerqueue

import (
	"encoding/binary"
	"hash/fnv"

	"grebeglade/placement"
)

// jitterSteps is how many different factors Jitter may return.
const jitterSteps = 1000

// Jitter returns d times a factor from 0.75 up to 1.25 that depends on the seed and the number of the draw alone.
func Jitter(d placement.Millis, seed, draw uint64) placement.Millis {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], seed)
	binary.BigEndian.PutUint64(b[8:], draw)
	h := fnv.New64a()
	_, _ = h.Write(b[:]) // a hash never fails to write
	return d * placement.Millis(0.75+float64(h.Sum64()>>11%jitterSteps)/(2*jitterSteps))
}
