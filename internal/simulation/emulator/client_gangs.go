package emulator

import (
	"maps"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangStopTimeout is how long, in ms, a client that requests parts independently waits for all of them before it stops the others.
const gangStopTimeout = placement.Millis(5e3)

// eagerRetryDelay is the time in ms between attempts of a client that retries gangs until they are placed.
const eagerRetryDelay = placement.Millis(100)

// clientGang is a gang that a client wants.
type clientGang struct {
	demand      *scenario.GangDemand
	keys        []uint64
	service     uint64
	requestedAt placement.Millis // time of the first request
	until       placement.Millis // no attempt starts after this time
	attempts    int
	started     bool
	placed      map[int]*clientRequest // placed parts, if they are requested independently
	ended       bool
}

// gangInterval draws the time until the next new gang.
func (c *Client) gangInterval(i int) placement.Millis {
	return placement.Millis(min(60e3, c.demandRNG.ExpFloat64()*1000/max(1e-6, c.model.Gangs[i].Rate*c.RateFactor)))
}

// requestNextGang requests a new gang and schedules the next one.
func (c *Client) requestNextGang(now placement.Millis, i int) {
	if now >= c.model.Until {
		return
	}
	c.timers.Schedule(now+c.gangInterval(i), func(now placement.Millis) { c.requestNextGang(now, i) })
	demand := &c.model.Gangs[i]
	gang := &clientGang{
		demand:      demand,
		requestedAt: now,
		until:       min(now+2*demand.PendingTimeout, c.model.Until),
		service:     serviceID(demand.Group+" gang", i),
		placed:      map[int]*clientRequest{},
	}
	c.Tally.Gangs++
	if c.model.GangPolicy == scenario.Independent {
		c.requestParts(now, gang)
		return
	}
	c.requestGang(now, gang)
}

// newKeys returns that many unused workload keys.
func (c *Client) newKeys(n int) (keys []uint64) {
	for range n {
		keys = append(keys, c.newKey())
	}
	return keys
}

// connectedAllocators returns the indices of the allocators whose hello was received.
func (c *Client) connectedAllocators() (indices []int) {
	for i, conn := range c.connections {
		if _, ok := c.allocatorByConn[conn]; ok {
			indices = append(indices, i)
		}
	}
	return indices
}

// partRequest returns the request for one part.
func (g *clientGang) partRequest(i int) *pb.PlaceRequest {
	demand := g.demand
	return &pb.PlaceRequest{
		Key:               g.keys[i],
		Service:           g.service,
		Group:             demand.Group,
		Cores:             demand.Shape[0],
		Memory:            demand.Shape[1],
		ExpectedRuntimeMs: float64(demand.Lifetime),
		Retried:           g.attempts > 1,
	}
}

// requestGang sends one request for a whole gang. Each attempt has new keys, as parts of an earlier one may still run.
func (c *Client) requestGang(now placement.Millis, gang *clientGang) {
	connected := c.connectedAllocators()
	if len(connected) == 0 {
		c.retryGang(now, &clientRequest{gang: gang}, false)
		return
	}
	demand := gang.demand
	gang.attempts++
	if gang.keys == nil || demand.Idempotency != placement.AtMostOnce {
		gang.keys = c.newKeys(demand.Parts)
	}
	allocator := connected[c.rng.IntN(len(connected))]
	request := &clientRequest{
		key:         gang.keys[0],
		requestedAt: now,
		conn:        c.connections[allocator],
		allocator:   allocator,
		gang:        gang,
		endsAt:      now + demand.Lifetime,
	}
	id := c.addRequest(request)
	message := &pb.GangRequest{
		RequestId:        id,
		MinParts:         uint32(demand.MinParts),
		PendingTimeoutMs: float64(demand.PendingTimeout),
		Spread:           demand.SpreadScope,
		Replace:          demand.Replace,
		ReplaceTimeoutMs: float64(demand.ReplaceTimeout),
		SentMs:           float64(now),
	}
	for i := range demand.Parts {
		message.Parts = append(message.Parts, gang.partRequest(i))
	}
	c.network.Send(request.conn, &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: message}})
	c.scheduleAnswerTimeout(now, demand.PendingTimeout, id, request)
	if c.rng.Float64() < c.model.WithdrawShare {
		c.timers.Schedule(now+placement.Millis(c.rng.Float64())*demand.Lifetime/4, func(now placement.Millis) { c.withdrawGang(now, id, request) })
	}
}

// withdrawGang withdraws a gang, pending or placed.
func (c *Client) withdrawGang(_ placement.Millis, id uint64, request *clientRequest) {
	if c.requests[id] != request {
		return
	}
	if !request.placed {
		c.Tally.Withdrawn++
	}
	c.withdrawRequest(id, request)
	c.abandonGang(request.gang)
}

// handleGangAnswer handles the answer to the request for a gang or for one of its parts.
func (c *Client) handleGangAnswer(now placement.Millis, request *clientRequest, a *pb.Answer) {
	gang := request.gang
	switch a.Verdict {
	case pb.Verdict_PLACED:
		c.Tally.Placed++
		request.placed = true
		request.requestedAt = now // from here on it holds capacity
		if gang.placed[request.part] = request; c.model.GangPolicy == scenario.Independent {
			c.checkGangComplete(now, gang)
			return
		}
		c.gangStarted(now, gang)
	case pb.Verdict_REJECTED:
		c.Tally.Rejected++
		delete(c.requests, a.RequestId)
		c.retryGang(now, request, false)
	default:
		c.Tally.Unschedulable++
		delete(c.requests, a.RequestId)
		c.retryGang(now, request, true)
	}
}

// gangStarted counts the start of a gang once.
func (c *Client) gangStarted(now placement.Millis, gang *clientGang) {
	if !gang.started {
		gang.started = true
		c.Tally.GangsStarted++
		c.Tally.GangWaits = append(c.Tally.GangWaits, float64(now-gang.requestedAt))
	}
}

// retryGang requests a gang again while there is time.
func (c *Client) retryGang(now placement.Millis, request *clientRequest, mayHaveRun bool) {
	gang := request.gang
	if c.model.GangPolicy == scenario.Independent {
		c.retryPart(now, request, mayHaveRun)
		return
	}
	wait := c.model.RetryDelay * placement.Millis(0.75+c.rng.Float64()/2)
	if c.model.GangPolicy == scenario.UntilPlaced {
		wait = eagerRetryDelay
	}
	if mayHaveRun && gang.demand.Idempotency == placement.AtMostOnce || now+wait > gang.until {
		c.abandonGang(gang)
		return
	}
	c.timers.Schedule(now+wait, func(now placement.Millis) { c.requestGang(now, gang) })
}

// abandonGang ends a gang, and counts it as abandoned if it never started.
func (c *Client) abandonGang(gang *clientGang) {
	if !gang.ended && !gang.started {
		c.Tally.GangsAbandoned++
	}
	gang.ended = true
}

// gangEnded records the end of a placed gang.
func (c *Client) gangEnded(request *clientRequest, why pb.Reason) {
	c.Tally.Ended[why]++
	request.gang.ended = true
}

// requestParts requests each part independently, and stops them if the gang is incomplete after a timeout.
func (c *Client) requestParts(now placement.Millis, gang *clientGang) {
	gang.keys = c.newKeys(gang.demand.Parts)
	for i := range gang.demand.Parts {
		c.requestPart(now, gang, i)
	}
	c.timers.Schedule(now+gangStopTimeout, func(now placement.Millis) { c.stopIncompleteGang(now, gang) })
}

// requestPart requests one part of a gang from any connected allocator.
func (c *Client) requestPart(now placement.Millis, gang *clientGang, i int) {
	connected := c.connectedAllocators()
	if gang.ended || len(connected) == 0 {
		return
	}
	allocator := connected[c.rng.IntN(len(connected))]
	request := &clientRequest{
		key:         gang.keys[i],
		requestedAt: now,
		conn:        c.connections[allocator],
		allocator:   allocator,
		gang:        gang,
		part:        i,
		endsAt:      now + gang.demand.Lifetime,
	}
	id := c.addRequest(request)
	message := gang.partRequest(i)
	message.RequestId = id
	message.PendingTimeoutMs = float64(gang.demand.PendingTimeout)
	c.network.Send(request.conn, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: message}})
	c.scheduleAnswerTimeout(now, gang.demand.PendingTimeout, id, request)
}

// retryPart requests one part again after the retry delay.
func (c *Client) retryPart(now placement.Millis, request *clientRequest, mayHaveRun bool) {
	gang := request.gang
	if gang.ended || mayHaveRun && gang.demand.Idempotency == placement.AtMostOnce {
		return
	}
	c.timers.Schedule(now+c.model.RetryDelay, func(now placement.Millis) { c.requestPart(now, gang, request.part) })
}

// checkGangComplete starts a gang once enough of its independently requested parts are placed.
func (c *Client) checkGangComplete(now placement.Millis, gang *clientGang) {
	if len(gang.placed) >= gang.demand.MinParts && !gang.started {
		c.Tally.Used += float64(gang.demand.Lifetime) / 1000 * gang.demand.Shape[0] * float64(len(gang.placed))
		c.gangStarted(now, gang)
	}
}

// stopIncompleteGang stops the parts of an incomplete gang, and requests the gang again while there is time.
func (c *Client) stopIncompleteGang(now placement.Millis, gang *clientGang) {
	if gang.started || gang.ended {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if request := c.requests[id]; request.gang == gang {
			if !request.placed {
				c.Tally.Withdrawn++
			} else {
				c.Tally.Wasted += float64(now-request.requestedAt) / 1000 * gang.demand.Shape[0]
			}
			c.withdrawRequest(id, request)
		}
	}
	if gang.placed = map[int]*clientRequest{}; now+gangStopTimeout > gang.until || gang.demand.Idempotency == placement.AtMostOnce {
		c.abandonGang(gang)
		return
	}
	c.requestParts(now, gang)
}
