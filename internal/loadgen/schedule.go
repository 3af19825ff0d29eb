// Package loadgen asks a running allocator for workloads at times that are fixed beforehand, whether or not it keeps up,
// and measures how long each answer took from when its ask was due. What the tool itself sends late is known and told
// apart: it counts for the latency, as the owner had to wait for it, and where it is more than a little the run says that
// the tool and not the allocator was measured.
//
// Times are durations since the start of the load, unless they say otherwise.
package loadgen

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Ask is one workload to ask for.
type Ask struct {
	At            time.Duration
	Service       uint64
	Group         string
	Cores, Memory float64
	Pending       time.Duration // until its owner gives up
	Life          time.Duration
	Again         bool
}

// Schedule hands out asks in the order of their times, and false after the last.
type Schedule interface {
	Next() (Ask, bool)
}

// Shape is what a made-up load asks for.
type Shape struct {
	Group         string
	Cores, Memory float64
	Services      int
	Pending, Life time.Duration
}

// Rate is how many asks a second are due, over the time of a load.
type Rate struct {
	From, To float64       // grows evenly from one to the other
	For      time.Duration // and stops then
	Burst    float64       // times as many, for BurstFor of every Every; 0 or 1 for none
	BurstFor time.Duration
	Every    time.Duration
	Evenly   bool // at even distances instead of by chance (Poisson)
}

// at is the rate at a time.
func (r Rate) at(t time.Duration) float64 {
	rate := r.From + (r.To-r.From)*float64(t)/float64(r.For)
	if r.Burst > 0 && r.Every > 0 && t%r.Every < r.BurstFor {
		rate *= r.Burst
	}
	return rate
}

// most is at least as high as the rate ever is.
func (r Rate) most() float64 { return max(r.From, r.To) * max(1, r.Burst) }

// Check says what is wrong with a rate, or nothing.
func (r Rate) Check() error {
	switch {
	case r.For <= 0:
		return fmt.Errorf("a load of %s has no length; give one such as 30s", r.For)
	case r.From < 0 || r.To < 0 || r.most() <= 0:
		return fmt.Errorf("a rate from %g to %g asks for nothing; give one above 0", r.From, r.To)
	case r.Burst < 0 || r.Burst > 1 && (r.Every <= 0 || r.BurstFor <= 0 || r.BurstFor > r.Every):
		return fmt.Errorf("a burst of %g times for %s of every %s is none; let it last for less than it comes around", r.Burst, r.BurstFor, r.Every)
	}
	return nil
}

// made is a load that is made up.
type made struct {
	rate  Rate
	shape Shape
	rng   *rand.Rand
	at    time.Duration
	owed  float64 // of the next ask, where they come evenly
}

// Make makes a load up; the same seed makes the same.
func Make(r Rate, s Shape, seed uint64) Schedule {
	return &made{rate: r, shape: s, rng: rand.New(rand.NewPCG(seed, 0x10ad))}
}

// evenStep is how finely a rate that changes is followed where asks come evenly.
const evenStep = 100 * time.Microsecond

func (m *made) Next() (Ask, bool) {
	if !m.advance() {
		return Ask{}, false
	}
	s := m.shape
	return Ask{
		At: m.at, Service: m.rng.Uint64N(uint64(max(1, s.Services))) + 1, Group: s.Group, Cores: s.Cores, Memory: s.Memory,
		Pending: s.Pending, Life: s.Life,
	}, true
}

func (m *made) advance() bool {
	if m.rate.Evenly {
		for m.owed < 1 {
			if m.at >= m.rate.For {
				return false
			}
			m.owed += m.rate.at(m.at) * evenStep.Seconds()
			m.at += evenStep
		}
		m.owed--
		return true
	}
	// By thinning: chances come at the highest rate, and are taken as often as the rate then is below it.
	for most := m.rate.most(); ; {
		m.at += time.Duration(m.rng.ExpFloat64() / most * float64(time.Second))
		if m.at >= m.rate.For {
			return false
		}
		if m.rng.Float64()*most < m.rate.at(m.at) {
			return true
		}
	}
}

// fixed is a load that is known.
type fixed struct {
	asks []Ask
	next int
}

func (f *fixed) Next() (Ask, bool) {
	if f.next == len(f.asks) {
		return Ask{}, false
	}
	f.next++
	return f.asks[f.next-1], true
}

// FromTrace is what traces of allocators were asked, at the times by the wall clock at which it came, speed times as
// fast. A trace does not hold how long workloads run.
func FromTrace(files []*trace.Reader, speed float64, life time.Duration) (Schedule, error) {
	if !(speed > 0) {
		return nil, fmt.Errorf("a speed of %g is none; give one above 0", speed)
	}
	var asks []Ask
	var walls []float64
	for _, f := range files {
		groups := map[uint32][]string{}
		for r, err := range f.Records(trace.Span{}) {
			if err != nil {
				return nil, err
			}
			switch b := r.Body.(type) {
			case *tracepb.Record_Start:
				groups[r.Source] = b.Start.Groups
			case *tracepb.Record_Place:
				w := b.Place.Workload
				names := groups[r.Source]
				if int(w.Group) >= len(names) {
					return nil, fmt.Errorf("the trace does not name group %d: it begins in the middle; use an uncut one", w.Group)
				}
				asks = append(asks, Ask{
					Service: w.Service, Group: names[w.Group], Cores: w.Cores, Memory: w.Memory,
					Pending: time.Duration(w.Left * float64(time.Millisecond)), Life: life, Again: w.Again,
				})
				walls = append(walls, f.UnixMillis(r))
			}
		}
	}
	if len(asks) == 0 {
		return nil, fmt.Errorf("the trace holds no ask")
	}
	first := slices.Min(walls)
	for i := range asks {
		asks[i].At = time.Duration((walls[i] - first) / speed * float64(time.Millisecond))
	}
	slices.SortStableFunc(asks, func(x, y Ask) int { return cmp.Compare(x.At, y.At) })
	return &fixed{asks: asks}, nil
}
