package loadgen

import (
	"math/rand/v2"
	"time"
)

// Shape is what the requests of a random schedule are for.
type Shape struct {
	Group          string
	Cores          float64
	Memory         float64
	Services       int           // among which the workloads are spread evenly
	PendingTimeout time.Duration // after which the client gives up
	RunTime        time.Duration // how long a workload runs
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
func NewRandom(rate Rate, shape Shape, seed uint64) Schedule {
	return &randomSchedule{
		rate:   rate,
		shape:  shape,
		random: rand.New(rand.NewPCG(seed, randomStream)),
	}
}

// Next draws the next request.
func (s *randomSchedule) Next() (Request, bool) {
	advance := s.advanceRandomly
	if s.rate.Evenly {
		advance = s.advanceEvenly
	}
	if !advance() {
		return Request{}, false
	}
	return Request{
		At:             s.at,
		Service:        s.random.Uint64N(uint64(max(1, s.shape.Services))) + 1,
		Group:          s.shape.Group,
		Cores:          s.shape.Cores,
		Memory:         s.shape.Memory,
		PendingTimeout: s.shape.PendingTimeout,
		RunTime:        s.shape.RunTime,
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
