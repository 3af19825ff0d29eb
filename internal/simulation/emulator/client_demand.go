package emulator

import (
	"math"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// quickWithdrawal is the longest delay, in ms, of a withdrawal right after a request.
const quickWithdrawal = placement.Millis(40)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Want is a single workload as its client wanted it.
type Want struct {
	From, Until   placement.Millis
	Service       uint64
	Group         string
	Cores, Memory float64
}

// recordWant records a workload that is wanted for the first time.
func (c *Client) recordWant(now placement.Millis, request *clientRequest) {
	request.want = &Want{now, request.endsAt, request.service, request.demand.Name, request.shape[0], request.shape[1]}
	c.Tally.Wants = append(c.Tally.Wants, request.want)
}

// requestNext requests a new workload and schedules the next one.
func (c *Client) requestNext(now placement.Millis) {
	if now >= c.model.Until {
		return
	}
	c.timers.Schedule(now+c.requestInterval(), c.requestNext)
	demand := c.drawDemand()
	service := c.demandRNG.IntN(demand.Services)
	request := &clientRequest{
		key:     c.newKey(),
		service: serviceID(demand.Name, service),
		demand:  demand,
		shape:   demand.Shapes[service%len(demand.Shapes)],
		endsAt:  now + c.drawLifetime(demand),
	}
	c.sendFirst(now, request)
	if c.demandRNG.Float64() < c.model.WithdrawShare {
		// Half of the withdrawals come so early that the answer may still be in transit.
		within := quickWithdrawal
		if c.demandRNG.IntN(2) == 0 {
			within = demand.Lifetime
		}
		c.timers.Schedule(now+within*placement.Millis(c.demandRNG.Float64()), func(now placement.Millis) { c.withdraw(now, request) })
	}
}

// requestInterval draws the time until the next new request.
func (c *Client) requestInterval() placement.Millis {
	return placement.Millis(min(60e3, c.demandRNG.ExpFloat64()*1000/max(1e-6, c.model.Rate*c.RateFactor)))
}

// drawDemand draws a kind of demand by its share.
func (c *Client) drawDemand() *scenario.Demand {
	quantile := c.demandRNG.Float64()
	sum := 0.0
	for i := range c.model.Demand {
		if sum += c.model.Demand[i].Share; quantile < sum {
			return &c.model.Demand[i]
		}
	}
	return &c.model.Demand[len(c.model.Demand)-1]
}

// drawLifetime draws a lifetime from a log-normal distribution.
func (c *Client) drawLifetime(demand *scenario.Demand) placement.Millis {
	return max(minRemaining, demand.Lifetime*placement.Millis(math.Exp(c.demandRNG.NormFloat64()*0.8-0.32)))
}

// serviceID returns the ID of a service, the same at all clients: an FNV-1a hash of the group and the index.
func serviceID(group string, index int) uint64 {
	h := uint64(fnvOffset)
	for _, b := range []byte(group) {
		h = (h ^ uint64(b)) * fnvPrime
	}
	return (h^uint64(index))*fnvPrime | 1
}

// newKey returns an unused workload key.
func (c *Client) newKey() uint64 {
	c.keys++
	return uint64(c.index)<<40 | c.keys
}
