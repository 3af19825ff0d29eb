package loadgen

import (
	"fmt"
	"time"
)

// Rate is how many requests a second are due.
type Rate struct {
	From     float64       // at the beginning
	To       float64       // at the end, after an even change
	For      time.Duration // length of the load
	Burst    float64       // factor of the rate during bursts; 0 or 1 for no bursts
	BurstFor time.Duration // length of a burst
	Every    time.Duration // from the beginning of a burst to that of the next
	Evenly   bool          // requests come at even intervals instead of at random (a Poisson process)
}

// at returns the rate at a time since the start of the load.
func (r Rate) at(elapsed time.Duration) float64 {
	rate := r.From + (r.To-r.From)*float64(elapsed)/float64(r.For)
	if r.Burst > 0 && r.Every > 0 && elapsed%r.Every < r.BurstFor {
		rate *= r.Burst
	}
	return rate
}

// upperBound returns a rate that is never exceeded.
func (r Rate) upperBound() float64 { return max(r.From, r.To) * max(1, r.Burst) }

// Check returns an error if no schedule can be made with the rate.
func (r Rate) Check() error {
	switch {
	case r.For <= 0:
		return fmt.Errorf("a load of %s has no length; give one such as 30s", r.For)
	case r.From < 0 || r.To < 0 || r.upperBound() <= 0:
		return fmt.Errorf("a rate from %g to %g requests nothing; give one above 0", r.From, r.To)
	case r.Burst < 0 || r.Burst > 1 && (r.Every <= 0 || r.BurstFor <= 0 || r.BurstFor > r.Every):
		return fmt.Errorf("a burst of %g times for %s of every %s is none; let it last for less than it comes around",
			r.Burst, r.BurstFor, r.Every)
	}
	return nil
}
