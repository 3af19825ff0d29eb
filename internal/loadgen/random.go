package loadgen

import (
	"math/rand/v2"
	"time"
)

// Shape describes the workloads that a random schedule requests.
type Shape struct {
	Group          string        // name of the priority group
	Cores          float64       // cores of each workload
	Memory         float64       // memory of each workload, in the unit of the node kinds
	Services       int           // number of services; each workload belongs to one, drawn uniformly
	PendingTimeout time.Duration // time until a request that is not answered expires
	RunTime        time.Duration // expected run time of each workload
}

const (
	randomStream = 0x10ad                 // PCG stream, separate from those of other packages that share the seed
	evenStep     = 100 * time.Microsecond // integration step of the rate, for requests at even intervals
)

// randomSchedule draws requests from a pseudorandom generator.
type randomSchedule struct {
	rate   Rate
	shape  Shape
	random *rand.Rand
	at     time.Duration // time of the latest request since the start of the load
	due    float64       // requests due at the time at and not yet returned, if rate.Evenly is set
}

// NewRandom returns a random schedule. The same arguments give the same requests.
func NewRandom(rate Rate, shape Shape, seed uint64) Schedule {
	return &randomSchedule{
		rate:   rate,
		shape:  shape,
		random: rand.New(rand.NewPCG(seed, randomStream)),
	}
}

// Next implements Schedule.
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

// advanceEvenly sets the time of the next request by integrating the rate in steps of evenStep. It returns false if the
// load ends first.
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

// advanceRandomly sets the time of the next request, and returns false if the load ends first. It samples an
// inhomogeneous Poisson process by thinning: events are drawn at the upper bound of the rate, and each is kept with
// probability rate at its time / upper bound.
func (s *randomSchedule) advanceRandomly() bool {
	bound := s.rate.upperBound()
	for {
		s.at += time.Duration(s.random.ExpFloat64() / bound * float64(time.Second))
		if s.at >= s.rate.For {
			return false
		}
		if s.random.Float64()*bound < s.rate.at(s.at) {
			return true
		}
	}
}
