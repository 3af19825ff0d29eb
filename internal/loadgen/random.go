package loadgen

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Shape is what the requests of a random schedule are for.
type Shape struct {
	Group          string
	Cores, Memory  float64
	Services       int           // among which the workloads are spread evenly
	PendingTimeout time.Duration // pending timeout
	RunTime        time.Duration // how long a workload runs
}

// Rate is how many requests a second are due.
type Rate struct {
	From, To float64       // the rate at the beginning and at the end, with an even change between them
	For      time.Duration // length of the load
	Burst    float64       // factor of the rate during bursts; 0 or 1 for no bursts
	BurstFor time.Duration // length of a burst
	Every    time.Duration // from the beginning of a burst to that of the next
	Evenly   bool          // requests come at even intervals instead of at random (a Poisson process)
}

// at returns the rate at a time.
func (r Rate) at(t time.Duration) float64 {
	rate := r.From + (r.To-r.From)*float64(t)/float64(r.For)
	if r.Burst > 0 && r.Every > 0 && t%r.Every < r.BurstFor {
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

const (
	randomStream = 0x10ad                 // of the generator, so that other users of the seed get other numbers
	evenStep     = 100 * time.Microsecond // over which the rate is integrated if requests come at even intervals
)

// randomSchedule draws requests from a random generator.
type randomSchedule struct {
	rate   Rate
	shape  Shape
	random *rand.Rand
	at     time.Duration
	due    float64 // requests due by now and not returned yet, if they come at even intervals
}

// NewRandom returns a random schedule. It depends on its arguments only.
func NewRandom(r Rate, s Shape, seed uint64) Schedule {
	return &randomSchedule{rate: r, shape: s, random: rand.New(rand.NewPCG(seed, randomStream))}
}

func (s *randomSchedule) Next() (Request, bool) {
	advance := s.advanceRandomly
	if s.rate.Evenly {
		advance = s.advanceEvenly
	}
	if !advance() {
		return Request{}, false
	}
	return Request{
		At: s.at, Service: s.random.Uint64N(uint64(max(1, s.shape.Services))) + 1, Group: s.shape.Group,
		Cores: s.shape.Cores, Memory: s.shape.Memory, PendingTimeout: s.shape.PendingTimeout, RunTime: s.shape.RunTime,
	}, true
}

// advanceEvenly goes to the time of the next request, and returns false if the load is over by then.
func (s *randomSchedule) advanceEvenly() bool {
	for s.due < 1 {
		if s.at >= s.rate.For {
			return false
		}
		s.due += s.rate.at(s.at) * evenStep.Seconds()
		s.at += evenStep
	}
	s.due--
	return true
}

// advanceRandomly goes to the time of the next request, and returns false if the load is over by then. It thins out a
// Poisson process of the highest rate: each of its events is a request with the probability of the rate at that time.
func (s *randomSchedule) advanceRandomly() bool {
	highest := s.rate.upperBound()
	for {
		s.at += time.Duration(s.random.ExpFloat64() / highest * float64(time.Second))
		if s.at >= s.rate.For {
			return false
		}
		if s.random.Float64()*highest < s.rate.at(s.at) {
			return true
		}
	}
}
