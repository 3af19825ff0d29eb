package emulator

import (
	"math/rand/v2"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

const (
	maxEarlyWithdrawal = placement.Millis(40)   // longest delay in ms of an early withdrawal
	maxInterval        = placement.Millis(60e3) // longest interval in ms between new requests
	minRate            = 1e-6                   // requests per second; keeps intervals finite
	lifetimeSigma      = 0.8                    // standard deviation of the logarithm of a lifetime
)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Want is a single workload that a client requested, and the period in which the client wanted it to run.
type Want struct {
	From    placement.Millis
	Until   placement.Millis
	Service uint64
	Group   string
	Cores   float64
	Memory  float64
}

// demandSource draws the demand of a client. It has its own random source, so that the demand does not depend on the
// outcome of earlier requests.
type demandSource struct {
	model   *scenario.ClientModel
	rng     *rand.Rand
	client  uint64 // index of the client
	lastKey uint64 // sequence number of the last workload key
}

func newDemandSource(model *scenario.ClientModel, index int, seed uint64) demandSource {
	return demandSource{
		model:  model,
		rng:    rand.New(rand.NewPCG(seed, uint64(index)<<32+2)),
		client: uint64(index),
	}
}

// interval draws the time until the next request of a Poisson process, at most maxInterval. The rate is per second.
func (s *demandSource) interval(rate float64) placement.Millis {
	return min(maxInterval, placement.Millis(s.rng.ExpFloat64()*1000/max(minRate, rate)))
}

// drawGroup draws the demand of one priority group. The probability of a group is its share.
func (s *demandSource) drawGroup() *scenario.Demand {
	quantile := s.rng.Float64()
	sum := 0.0
	for i := range s.model.Demand {
		if sum += s.model.Demand[i].Share; quantile < sum {
			return &s.model.Demand[i]
		}
	}
	return &s.model.Demand[len(s.model.Demand)-1]
}

// lifetime draws a lifetime from a log-normal distribution whose mean is demand.Lifetime. It is at least minRemaining.
func (s *demandSource) lifetime(demand *scenario.Demand) placement.Millis {
	factor := exponential(s.rng.NormFloat64()*lifetimeSigma - lifetimeSigma*lifetimeSigma/2)
	return max(minRemaining, demand.Lifetime*placement.Millis(factor))
}

// withdrawal draws whether and after which delay a workload is withdrawn. Half of the withdrawals are early: the answer
// may still be in transit.
func (s *demandSource) withdrawal(demand *scenario.Demand) (delay placement.Millis, withdrawn bool) {
	if s.rng.Float64() >= s.model.WithdrawShare {
		return 0, false
	}
	within := maxEarlyWithdrawal
	if s.rng.IntN(2) == 0 {
		within = demand.Lifetime
	}
	return within * placement.Millis(s.rng.Float64()), true
}

// newKey returns an unused workload key.
func (s *demandSource) newKey() uint64 {
	s.lastKey++
	return s.client<<40 | s.lastKey
}

// newKeys returns count unused workload keys.
func (s *demandSource) newKeys(count int) (keys []uint64) {
	for range count {
		keys = append(keys, s.newKey())
	}
	return keys
}

// requestNext requests a new workload and schedules the next one.
func (c *Client) requestNext(now placement.Millis) {
	if now >= c.model.Until {
		return
	}
	c.timers.Schedule(now+c.requestInterval(), c.requestNext)
	demand := c.demand.drawGroup()
	service := c.demand.rng.IntN(demand.Services)
	request := &clientRequest{
		key:     c.demand.newKey(),
		service: serviceID(demand.Name, service),
		demand:  demand,
		shape:   demand.Shapes[service%len(demand.Shapes)],
		endsAt:  now + c.demand.lifetime(demand),
	}
	c.sendFirst(now, request)
	if delay, withdrawn := c.demand.withdrawal(demand); withdrawn {
		c.timers.Schedule(now+delay, func(now placement.Millis) { c.withdraw(now, request) })
	}
}

// requestInterval draws the time until the next new request.
func (c *Client) requestInterval() placement.Millis {
	return c.demand.interval(c.model.Rate * c.RateFactor)
}

// recordWant adds a workload to the tally before its first request.
func (c *Client) recordWant(now placement.Millis, request *clientRequest) {
	request.want = &Want{
		From:    now,
		Until:   request.endsAt,
		Service: request.service,
		Group:   request.demand.Name,
		Cores:   request.shape[0],
		Memory:  request.shape[1],
	}
	c.Tally.Wants = append(c.Tally.Wants, request.want)
}

// serviceID returns the ID of a service, an FNV-1a hash of the group and the index. It is the same for all clients.
func serviceID(group string, index int) uint64 {
	hash := uint64(fnvOffset)
	for _, b := range []byte(group) {
		hash = (hash ^ uint64(b)) * fnvPrime
	}
	return (hash^uint64(index))*fnvPrime | 1
}
