package emulator

import (
	"maps"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	// RetryAfterUnknown is the least delay in ms before a retry of a workload that may have run and is idempotent by key.
	RetryAfterUnknown = placement.Millis(3e3)
	noAllocatorDelay  = placement.Millis(200) // delay in ms before a client without a connected allocator tries again
	minRemaining      = placement.Millis(500) // remaining lifetime in ms below which a workload is not requested again
)

// Retry delays are uniformly distributed between minDelayFactor and minDelayFactor + delayFactorRange times their mean.
const (
	minDelayFactor   = 0.75
	delayFactorRange = 0.5
)

// priorRun is whether the workload may have run in the last attempt.
type priorRun bool

const (
	didNotRun  priorRun = false
	mayHaveRun priorRun = true
)

// clientRequest is a workload, gang or gang part that a client requests. It has more than ten fields, as retries of
// single workloads, gangs and independently requested parts share most of them.
type clientRequest struct {
	key               uint64
	service           uint64
	demand            *scenario.Demand // nil for gangs
	shape             [2]float64       // cores and memory
	endsAt            placement.Millis // end of the lifetime
	want              *Want
	withdrawn         bool
	attempts          int
	requiredAllocator int // the only allocator that may be used, counted from 1; 0 for any
	clientAttempt
	gang *clientGang // the requested gang, or the part's gang; nil for single workloads
	part int         // index of the part in the gang
}

// clientAttempt is the last attempt of a request.
type clientAttempt struct {
	requestedAt placement.Millis
	conn        transport.ConnID // connection of the request; if placed, of the allocator's last hello
	allocator   int              // index in Client.allocators
	placed      bool
}

// sendFirst sends the first request for a single workload.
func (c *Client) sendFirst(now placement.Millis, request *clientRequest) {
	c.Tally.FirstRequests++
	c.Tally.SinglesFirst++
	c.recordWant(now, request)
	c.send(now, request)
}

// send sends a request to a connected allocator, or tries again later if there is none.
func (c *Client) send(now placement.Millis, request *clientRequest) {
	if request.withdrawn {
		return
	}
	connected := c.connectedAllocators()
	if request.requiredAllocator > 0 {
		others := func(i int) bool { return i != request.requiredAllocator-1 }
		connected = slices.DeleteFunc(connected, others)
	}
	if len(connected) == 0 {
		c.timers.Schedule(now+noAllocatorDelay, func(now placement.Millis) {
			if now < min(request.endsAt, c.model.Until) {
				c.send(now, request)
			}
		})
		return
	}
	allocator := connected[c.rng.IntN(len(connected))]
	if c.rng.Float64() < c.FirstAllocatorShare {
		allocator = connected[0]
	}
	request.attempts++
	request.clientAttempt = c.newAttempt(now, allocator)
	id := c.addRequest(request)
	c.network.Send(request.conn, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId:         id,
		Key:               request.key,
		Service:           request.service,
		Group:             request.demand.Name,
		Cores:             request.shape[0],
		Memory:            request.shape[1],
		PendingTimeoutMs:  float64(request.demand.PendingTimeout),
		ExpectedRuntimeMs: float64(request.endsAt - now),
		Retried:           request.attempts > 1,
		SentMs:            float64(now),
	}}})
	c.scheduleAnswerTimeout(now, request.demand.PendingTimeout, id, request)
}

// connectedAllocators returns the indices of the allocators whose hello was received.
func (c *Client) connectedAllocators() (indices []int) {
	for i, session := range c.allocators {
		if session.ready {
			indices = append(indices, i)
		}
	}
	return indices
}

// newAttempt returns an attempt that is sent to an allocator now.
func (c *Client) newAttempt(now placement.Millis, allocator int) clientAttempt {
	return clientAttempt{
		requestedAt: now,
		conn:        c.allocators[allocator].conn,
		allocator:   allocator,
	}
}

// addRequest adds an open request and returns its ID.
func (c *Client) addRequest(request *clientRequest) uint64 {
	c.lastRequestID++
	c.requests[c.lastRequestID] = request
	c.Tally.Requests++
	return c.lastRequestID
}

// scheduleAnswerTimeout schedules a request's timeout: the pending timeout, plus the model's slack for the network.
func (c *Client) scheduleAnswerTimeout(now, timeout placement.Millis, id uint64, request *clientRequest) {
	timedOut := func(now placement.Millis) { c.answerTimedOut(now, id, request) }
	c.timers.Schedule(now+timeout+c.model.AnswerSlack, timedOut)
}

// handleAnswer handles the answer to a request. Answers to ended or placed requests are ignored.
func (c *Client) handleAnswer(now placement.Millis, answer *pb.Answer) {
	request := c.requests[answer.RequestId]
	if request == nil || request.placed {
		return
	}
	prior := didNotRun
	switch answer.Verdict {
	case pb.Verdict_PLACED:
		c.Tally.Placed++
		request.placed = true
		c.handlePlaced(now, request)
		return
	case pb.Verdict_REJECTED:
		c.Tally.Rejected++
	case pb.Verdict_UNSCHEDULABLE, pb.Verdict_VERDICT_UNSPECIFIED:
		c.Tally.Unschedulable++
		prior = mayHaveRun
	}
	delete(c.requests, answer.RequestId)
	c.retry(now, request, prior)
}

// handlePlaced handles the placement of a gang, a gang part or a single workload.
func (c *Client) handlePlaced(now placement.Millis, request *clientRequest) {
	if request.gang != nil {
		c.handleGangPlaced(now, request)
		return
	}
	if request.attempts == 1 {
		c.Tally.SinglesPlaced++
	}
	c.Tally.Waits = append(c.Tally.Waits, float64(now-request.requestedAt))
}

// answerTimedOut withdraws and retries a request that is still unanswered.
func (c *Client) answerTimedOut(now placement.Millis, id uint64, request *clientRequest) {
	if c.requests[id] != request || request.placed {
		return
	}
	c.Tally.Unanswered++
	c.withdrawRequest(id, request)
	c.retry(now, request, mayHaveRun)
}

// retry retries a gang, a gang part or a single workload.
func (c *Client) retry(now placement.Millis, request *clientRequest, prior priorRun) {
	if request.gang != nil {
		c.retryGang(now, request, prior)
		return
	}
	c.retrySingle(now, request, prior)
}

// retrySingle schedules the next attempt for a workload, if attempts are left and the next one is at least minRemaining
// before the workload's end and the model's Until. A workload that may have run is retried only if it is idempotent; by
// key, after RetryAfterUnknown at the earliest.
func (c *Client) retrySingle(now placement.Millis, request *clientRequest, prior priorRun) {
	wait := c.drawRetryDelay()
	if prior == mayHaveRun && request.demand.Idempotency == placement.AtMostOnce {
		return
	}
	if prior == mayHaveRun && request.demand.Idempotency == placement.IdempotentByKey {
		wait = max(wait, RetryAfterUnknown)
	}
	if request.attempts >= c.model.MaxAttempts || now+wait+minRemaining > min(request.endsAt, c.model.Until) {
		return
	}
	c.timers.Schedule(now+wait, func(now placement.Millis) { c.send(now, request) })
}

// drawRetryDelay draws the delay before a retry.
func (c *Client) drawRetryDelay() placement.Millis {
	return c.model.RetryDelay * placement.Millis(minDelayFactor+c.rng.Float64()*delayFactorRange)
}

// withdraw withdraws a workload, pending or placed, and prevents further attempts.
func (c *Client) withdraw(now placement.Millis, request *clientRequest) {
	request.withdrawn = true
	if request.want != nil {
		request.want.Until = min(request.want.Until, now)
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if c.requests[id] == request {
			c.countWithdrawal(request)
			c.withdrawRequest(id, request)
		}
	}
}

// countWithdrawal counts the withdrawal of an unanswered request.
func (c *Client) countWithdrawal(request *clientRequest) {
	if !request.placed {
		c.Tally.Withdrawn++
	}
}

// withdrawRequest removes a request and sends its withdrawal.
func (c *Client) withdrawRequest(id uint64, request *clientRequest) {
	delete(c.requests, id)
	c.network.Send(request.conn, withdrawFrame(id))
}

// Restart withdraws the single workloads of a share of the client's services. It requests each of them again after a
// random delay of less than within, if more than minRemaining is then left until the end.
func (c *Client) Restart(now placement.Millis, share float64, within placement.Millis) {
	restarted := map[*clientRequest]bool{}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		request := c.requests[id]
		if request == nil || restarted[request] || !request.restartable(share) {
			continue
		}
		restarted[request] = true
		c.withdraw(now, request)
		replacement := &clientRequest{
			key:     c.demand.newKey(),
			service: request.service,
			demand:  request.demand,
			shape:   request.shape,
			endsAt:  request.endsAt,
		}
		delay := within * placement.Millis(c.rng.Float64())
		c.timers.Schedule(now+delay, func(now placement.Millis) {
			if now+minRemaining < min(replacement.endsAt, c.model.Until) {
				c.sendFirst(now, replacement)
			}
		})
	}
	c.scheduleWake()
}

// restartable reports whether a request is for a single workload, has not been withdrawn, and belongs to a service in
// the given share of services.
func (r *clientRequest) restartable(share float64) bool {
	return !r.withdrawn && r.gang == nil && serviceQuantile(r.service+restartSalt) < share
}
