package loadgen

import (
	"fmt"
	"time"
)

// Rate is a request rate, in requests per second, as a function of time.
type Rate struct {
	From     float64       // rate at the start of the load
	To       float64       // rate at the end of the load, reached by linear change
	For      time.Duration // duration of the load
	Burst    float64       // factor of the rate during bursts; 0 or 1 for no bursts
	BurstFor time.Duration // duration of a burst
	Every    time.Duration // interval between the starts of bursts; the first is at the start of the load
	Evenly   bool          // requests are due at even intervals instead of as a Poisson process
}

// at returns the rate at the given time since the start of the load.
func (r Rate) at(elapsed time.Duration) float64 {
	rate := r.From + (r.To-r.From)*float64(elapsed)/float64(r.For)
	if r.Burst > 0 && r.Every > 0 && elapsed%r.Every < r.BurstFor {
		rate *= r.Burst
	}
	return rate
}

// upperBound returns a rate that at never exceeds during the load.
func (r Rate) upperBound() float64 { return max(r.From, r.To) * max(1, r.Burst) }

// Check returns an error if the rate cannot be scheduled: no duration, a negative rate, no requests, or invalid bursts.
func (r Rate) Check() error {
	switch {
	case r.For <= 0:
		return fmt.Errorf("load duration is %s; it must be positive, such as 30s", r.For)
	case r.From < 0 || r.To < 0 || r.upperBound() <= 0:
		return fmt.Errorf("request rate is %g to %g a second; neither may be negative, one must be positive",
			r.From, r.To)
	case r.Burst < 0 || r.Burst > 1 && (r.Every <= 0 || r.BurstFor <= 0 || r.BurstFor > r.Every):
		return fmt.Errorf("burst factor is %g, duration %s, interval %s; expected factor >= 0 and 0 < duration <= interval",
			r.Burst, r.BurstFor, r.Every)
	}
	return nil
}
