package gang

import (
	"encoding/binary"
	"hash/fnv"

	"grebeglade/placement"
)

const (
	// maxAttempts is the greatest number of starts of a gang. Each failed attempt costs starts and stops of parts.
	maxAttempts = 3
	// minRetryDelay is the fixed part of the delay before the next attempt, in ms; jitter is added to it.
	minRetryDelay = placement.Millis(400)
	// maxDelayDoublings is the greatest number of times that the jitter's range doubles.
	maxDelayDoublings = 8
	// maxDelayDivisor is the greatest divisor by which the number of parts reduces the jitter's range.
	maxDelayDivisor = 4
	// jitterSteps is the number of distinct jitter fractions.
	jitterSteps = 1024
	// jitterShift is the number of low bits of the hash that are dropped.
	jitterShift = 11
)

// mayRetry reports whether a gang whose start has failed may be started again. awaitRetry decides again once all parts
// have ended.
func (g *Gang) mayRetry(now placement.Millis) bool {
	return g.sideEffects == noSideEffects &&
		g.attempts < maxAttempts &&
		g.deadline-now > minRetryDelay+minStartTime
}

// awaitRetry schedules the next attempt of a gang that was rolled back. It ends the gang instead if too little time is
// left, or if possible side effects were recorded during the rollback.
func (g *Gang) awaitRetry(now placement.Millis) []Action {
	delay := g.retryDelay()
	if g.sideEffects != noSideEffects || g.deadline-now < delay+minStartTime {
		return g.endFailed()
	}
	for part := range g.parts {
		g.parts[part] = PartIdle
	}
	g.state = Pending
	g.retryAt = now + delay
	return []Action{{Kind: SetTimer, At: g.retryAt}}
}

// retryDelay returns the delay before the next attempt. Gangs that compete for nodes fail together, so the delay
// contains jitter whose range doubles with each attempt; this gives one of them time to start. Gangs with more parts
// get a smaller range, so they tend to retry first: they are harder to place, and free capacity that they do not get
// immediately is soon used by others.
func (g *Gang) retryDelay() placement.Millis {
	doubled := placement.Millis(int(1) << min(g.attempts, maxDelayDoublings))
	divisor := placement.Millis(min(len(g.parts), maxDelayDivisor))
	maxJitter := minRetryDelay * doubled / divisor
	return minRetryDelay + maxJitter*placement.Millis(g.jitter())
}

// jitter returns a fraction in [0, 1) that depends only on the gang's seed and the number of attempts.
func (g *Gang) jitter() float64 {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], g.seed)
	binary.BigEndian.PutUint64(input[8:], uint64(g.attempts))
	hash := fnv.New64a()
	hash.Write(input[:])
	return float64(hash.Sum64()>>jitterShift%jitterSteps) / jitterSteps
}
