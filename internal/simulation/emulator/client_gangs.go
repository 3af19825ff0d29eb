package emulator

import (
	"maps"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	// gangStopTimeout is the time in ms after which a client that requests parts independently stops the parts of an
	// incomplete gang.
	gangStopTimeout = placement.Millis(5e3)
	// eagerRetryDelay is the delay in ms before a retry with the policy UntilPlaced.
	eagerRetryDelay = placement.Millis(100)
	// gangWithdrawalDivisor limits the delay of a gang's withdrawal to the gang's lifetime divided by it.
	gangWithdrawalDivisor = 4
	// gangAttemptPeriod is the period after the first request in which attempts start, in pending timeouts.
	gangAttemptPeriod = 2
)

// clientGang is a gang that a client requests.
type clientGang struct {
	demand      *scenario.GangDemand
	keys        []uint64 // workload keys of the parts in the last attempt
	service     uint64
	requestedAt placement.Millis // time of the first request
	until       placement.Millis // no attempt starts after this time
	attempts    int
	started     bool
	placed      map[int]*clientRequest // placed parts by index, if parts are requested independently
	ended       bool
}

// gangInterval draws the time until the next new gang.
func (c *Client) gangInterval(i int) placement.Millis {
	return c.demand.interval(c.model.Gangs[i].Rate * c.RateFactor)
}

// requestNextGang requests a new gang and schedules the next one.
func (c *Client) requestNextGang(now placement.Millis, i int) {
	if now >= c.model.Until {
		return
	}
	requestNext := func(now placement.Millis) { c.requestNextGang(now, i) }
	c.timers.Schedule(now+c.gangInterval(i), requestNext)
	demand := &c.model.Gangs[i]
	gang := &clientGang{
		demand:      demand,
		requestedAt: now,
		until:       min(now+gangAttemptPeriod*demand.PendingTimeout, c.model.Until),
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

// partRequest returns the request for one part.
func (g *clientGang) partRequest(i int) *pb.PlaceRequest {
	return &pb.PlaceRequest{
		Key:               g.keys[i],
		Service:           g.service,
		Group:             g.demand.Group,
		Cores:             g.demand.Shape[0],
		Memory:            g.demand.Shape[1],
		ExpectedRuntimeMs: float64(g.demand.Lifetime),
		Retried:           g.attempts > 1,
	}
}

// atMostOnce reports whether parts that may have run must not be requested again.
func (g *clientGang) atMostOnce() bool { return g.demand.Idempotency == placement.AtMostOnce }

// requestGang sends one request for a whole gang. Each attempt has new keys, as parts of an earlier attempt may still
// run. At-most-once parts keep their keys.
func (c *Client) requestGang(now placement.Millis, gang *clientGang) {
	connected := c.connectedAllocators()
	if len(connected) == 0 {
		c.retryGang(now, &clientRequest{gang: gang}, didNotRun)
		return
	}
	demand := gang.demand
	gang.attempts++
	if gang.keys == nil || !gang.atMostOnce() {
		gang.keys = c.demand.newKeys(demand.Parts)
	}
	allocator := connected[c.rng.IntN(len(connected))]
	request := &clientRequest{
		key:           gang.keys[0],
		clientAttempt: c.newAttempt(now, allocator),
		gang:          gang,
		endsAt:        now + demand.Lifetime,
	}
	id := c.addRequest(request)
	message := gang.message(now, id)
	c.network.Send(request.conn, &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: message}})
	c.scheduleAnswerTimeout(now, demand.PendingTimeout, id, request)
	if c.rng.Float64() < c.model.WithdrawShare {
		delay := placement.Millis(c.rng.Float64()) * demand.Lifetime / gangWithdrawalDivisor
		c.timers.Schedule(now+delay, func(placement.Millis) { c.withdrawGang(id, request) })
	}
}

// message returns the message that requests the whole gang.
func (g *clientGang) message(now placement.Millis, id uint64) *pb.GangRequest {
	message := &pb.GangRequest{
		RequestId:        id,
		MinParts:         uint32(g.demand.MinParts),
		PendingTimeoutMs: float64(g.demand.PendingTimeout),
		Spread:           g.demand.SpreadScope,
		Replace:          g.demand.Replace,
		ReplaceTimeoutMs: float64(g.demand.ReplaceTimeout),
		SentMs:           float64(now),
	}
	for i := range g.demand.Parts {
		message.Parts = append(message.Parts, g.partRequest(i))
	}
	return message
}

// withdrawGang withdraws a gang, pending or placed.
func (c *Client) withdrawGang(id uint64, request *clientRequest) {
	if c.requests[id] != request {
		return
	}
	c.countWithdrawal(request)
	c.withdrawRequest(id, request)
	c.abandonGang(request.gang)
}

// handleGangPlaced handles the placement of a gang or of an independently requested part.
func (c *Client) handleGangPlaced(now placement.Millis, request *clientRequest) {
	gang := request.gang
	request.requestedAt = now // part holds capacity from now on
	gang.placed[request.part] = request
	if c.model.GangPolicy == scenario.Independent {
		c.checkGangComplete(now, gang)
		return
	}
	c.recordGangStart(now, gang)
}

// recordGangStart records the start of a gang in the tally, once for each gang.
func (c *Client) recordGangStart(now placement.Millis, gang *clientGang) {
	if gang.started {
		return
	}
	gang.started = true
	c.Tally.GangsStarted++
	c.Tally.GangWaits = append(c.Tally.GangWaits, float64(now-gang.requestedAt))
}

// retryGang schedules the next attempt for a gang or, with the policy Independent, for the requested part. It abandons
// a gang whose next attempt would start after the attempt period, and an at-most-once gang that may have run.
func (c *Client) retryGang(now placement.Millis, request *clientRequest, prior priorRun) {
	gang := request.gang
	if c.model.GangPolicy == scenario.Independent {
		c.retryPart(now, request, prior)
		return
	}
	wait := c.drawRetryDelay()
	if c.model.GangPolicy == scenario.UntilPlaced {
		wait = eagerRetryDelay
	}
	if prior == mayHaveRun && gang.atMostOnce() || now+wait > gang.until {
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

// requestParts requests each part independently, and stops them if the gang is incomplete after gangStopTimeout.
func (c *Client) requestParts(now placement.Millis, gang *clientGang) {
	gang.keys = c.demand.newKeys(gang.demand.Parts)
	for i := range gang.demand.Parts {
		c.requestPart(now, gang, i)
	}
	timedOut := func(now placement.Millis) { c.stopIncompleteGang(now, gang) }
	c.timers.Schedule(now+gangStopTimeout, timedOut)
}

// requestPart requests one part of a gang from any connected allocator. It does nothing if the gang has ended or no
// allocator is connected.
func (c *Client) requestPart(now placement.Millis, gang *clientGang, i int) {
	connected := c.connectedAllocators()
	if gang.ended || len(connected) == 0 {
		return
	}
	allocator := connected[c.rng.IntN(len(connected))]
	request := &clientRequest{
		key:           gang.keys[i],
		clientAttempt: c.newAttempt(now, allocator),
		gang:          gang,
		part:          i,
		endsAt:        now + gang.demand.Lifetime,
	}
	id := c.addRequest(request)
	message := gang.partRequest(i)
	message.RequestId = id
	message.PendingTimeoutMs = float64(gang.demand.PendingTimeout)
	c.network.Send(request.conn, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: message}})
	c.scheduleAnswerTimeout(now, gang.demand.PendingTimeout, id, request)
}

// retryPart requests one part again after the retry delay, unless the gang has ended, or the part may have run and is
// at-most-once.
func (c *Client) retryPart(now placement.Millis, request *clientRequest, prior priorRun) {
	gang := request.gang
	if gang.ended || prior == mayHaveRun && gang.atMostOnce() {
		return
	}
	retry := func(now placement.Millis) { c.requestPart(now, gang, request.part) }
	c.timers.Schedule(now+c.model.RetryDelay, retry)
}

// checkGangComplete records the start of a gang once MinParts of its independently requested parts are placed.
func (c *Client) checkGangComplete(now placement.Millis, gang *clientGang) {
	if gang.started || len(gang.placed) < gang.demand.MinParts {
		return
	}
	cores := gang.demand.Shape[0]
	c.Tally.Used += float64(gang.demand.Lifetime) / 1000 * cores * float64(len(gang.placed))
	c.recordGangStart(now, gang)
}

// stopIncompleteGang stops the parts of an incomplete gang. It requests them again, unless they are at-most-once or
// less than gangStopTimeout of the attempt period is left.
func (c *Client) stopIncompleteGang(now placement.Millis, gang *clientGang) {
	if gang.started || gang.ended {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		request := c.requests[id]
		if request.gang != gang {
			continue
		}
		if request.placed {
			c.Tally.Wasted += float64(now-request.requestedAt) / 1000 * gang.demand.Shape[0]
		}
		c.countWithdrawal(request)
		c.withdrawRequest(id, request)
	}
	gang.placed = map[int]*clientRequest{}
	if now+gangStopTimeout > gang.until || gang.atMostOnce() {
		c.abandonGang(gang)
		return
	}
	c.requestParts(now, gang)
}
