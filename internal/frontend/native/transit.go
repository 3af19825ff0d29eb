package native

import (
	"math"

	"grebeglade/placement"
)

const (
	// maxTransitTimes is the maximum number of frames per session to compare with. It is large enough that some of them
	// were not delayed.
	maxTransitTimes = 64
	// transitWindow is the age limit, in ms, of frames to compare with. In a longer window, the two clocks may
	// drift apart by more than the answer margin.
	transitWindow = placement.Millis(60e3)
)

// transitTimes estimates the network delay of a session's frames by comparing their transit times. A transit time has
// an unknown constant offset, since it is the difference of two unsynchronised clocks.
//
// A client counts its pending timeout from when it sent the request. One that the network delays by more than the
// placement module's answer margin would be answered after its client's timeout. A wider margin for all requests
// costs far more than subtracting the delay from the requests that arrived late (see docs/review-findings.md).
// It does not cover a delay that is the same for every frame of the last minute, frames without a send time, and the
// transit time of the answer.
type transitTimes []transitTime

// transitTime is the transit time of a frame, in ms: the local receive time minus the sender's send time.
type transitTime struct {
	receivedAt placement.Millis
	duration   placement.Millis
}

// observe records a frame with the send time of its sender's clock, in ms. It returns by how much its transit time
// exceeds the shortest recent one, in ms. It returns 0 for a frame without a valid send time.
func (t *transitTimes) observe(now placement.Millis, sent float64) placement.Millis {
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
