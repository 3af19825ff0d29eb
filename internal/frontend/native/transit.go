package native

import (
	"math"

	"grebeglade/placement"
)

const (
	// maxTransitTimes is how many frames of a session are compared: some of them were not delayed.
	maxTransitTimes = 64
	// transitWindow is how long, in ms, a frame is compared with later ones. In a longer time, two clocks may drift
	// apart by more than the answer margin.
	transitWindow = placement.Millis(60e3)
)

// transitTimes estimates how long the network delayed the frames of a session, by comparing how long they were in
// transit. That is known up to a constant only, since the sender's clock is not ours.
//
// A client counts its pending timeout from when it sent the request. One that the network delays by more than the
// placement module's answer margin would be answered after its client's timeout. A wider margin for all requests
// costs far more than taking the delay from those requests alone that arrived late (see docs/review-findings.md).
// Not covered are delays of every frame of the last minute alike, clients that send no times, and the transit of the
// answer.
type transitTimes []transitTime

// transitTime is how long a frame was in transit, by the clocks of both sides, in ms.
type transitTime struct {
	receivedAt placement.Millis
	duration   placement.Millis
}

// delay adds a frame that was sent at the given time of its sender's clock, in ms, and returns how much longer it
// was in transit than the quickest of the recent ones. A frame without a valid time counts as not delayed.
func (t *transitTimes) delay(now placement.Millis, sent float64) placement.Millis {
	if !(sent > 0) || math.IsInf(sent, 0) { // not <=, so that NaN is not valid either
		return 0
	}
	duration := now - placement.Millis(sent)
	quickest := duration
	for _, earlier := range *t {
		if now-earlier.receivedAt < transitWindow {
			quickest = min(quickest, earlier.duration)
		}
	}
	if len(*t) >= maxTransitTimes {
		*t = append((*t)[:0], (*t)[1:]...)
	}
	*t = append(*t, transitTime{now, duration})
	return duration - quickest
}
