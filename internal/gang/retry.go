package gang

import (
	"encoding/binary"
	"hash/fnv"

	"grebeglade/placement"
)

const (
	// maxAttempts is how often a gang is started. Each attempt that fails costs starts and stops of parts.
	maxAttempts = 3
	// minRetryDelay is the time before the next attempt, without the random part on top of it.
	minRetryDelay = placement.Millis(400)
	// maxDelayDoublings limits how often the random part of the delay doubles.
	maxDelayDoublings = 8
	// maxDelayDivisor limits by how much more parts shorten the random part of the delay.
	maxDelayDivisor = 4
	// jitterSteps is the number of values that the random fraction of the delay has.
	jitterSteps = 1024
	// jitterShift drops the lowest bits of the hash that the random fraction is taken from.
	jitterShift = 11
)

// mayRetry reports whether a gang whose start has failed may be started again, as far as is known before its parts
// have ended.
func (g *Gang) mayRetry(now placement.Millis) bool {
	return g.sideEffects == noSideEffects &&
		g.attempts < maxAttempts &&
		g.expires-now > minRetryDelay+minStartTime
}

// awaitRetry has a gang that was rolled back wait for its next attempt. It ends the gang instead if too little time is
// left, or a part has turned out to have side effects since the rollback began.
func (g *Gang) awaitRetry(now placement.Millis) []Action {
	delay := g.retryDelay()
	if g.sideEffects != noSideEffects || g.expires-now < delay+minStartTime {
		return g.endFailed()
	}
	for part := range g.parts {
		g.parts[part] = PartIdle
	}
	g.state = Pending
	g.retryAt = now + delay
	return []Action{{Kind: SetTimer, At: g.retryAt}}
}

// retryDelay is how long a gang waits until its next attempt. Gangs that compete fail together; a random part, which
// doubles, gives one of them the time to start. Of two such gangs the one with more parts tends to come first: it is
// the harder one to place, and capacity that it does not get at once soon goes to others.
func (g *Gang) retryDelay() placement.Millis {
	doubled := placement.Millis(int(1) << min(g.attempts, maxDelayDoublings))
	divisor := placement.Millis(min(len(g.parts), maxDelayDivisor))
	longest := minRetryDelay * doubled / divisor
	return minRetryDelay + longest*placement.Millis(g.jitter())
}

// jitter returns a fraction from 0 to below 1 that depends on the gang's seed and the number of the attempt alone.
func (g *Gang) jitter() float64 {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], g.seed)
	binary.BigEndian.PutUint64(input[8:], uint64(g.attempts))
	hash := fnv.New64a()
	hash.Write(input[:])
	return float64(hash.Sum64()>>jitterShift%jitterSteps) / jitterSteps
}
