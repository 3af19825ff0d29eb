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
	// RetryAfterUnknown is how long a client waits before it retries a workload that may have run, in ms.
	RetryAfterUnknown = placement.Millis(3e3)
	noAllocatorDelay  = placement.Millis(200) // ms after which a client without an allocator tries again
	minRemaining      = placement.Millis(500) // ms of remaining lifetime below which a workload is not requested again
)

// clientRequest is a workload or gang that a client wants.
type clientRequest struct {
	key               uint64
	service           uint64
	demand            *scenario.Demand
	shape             [2]float64
	endsAt            placement.Millis // of its lifetime
	attempts          int
	requestedAt       placement.Millis
	conn              transport.ConnID
	allocator         int // index
	placed            bool
	withdrawn         bool
	gang              *clientGang // of which it is a part, or nil
	part              int
	want              *Want
	requiredAllocator int // the only allocator that may be used, counted from 1; 0 for any
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
	var connected []transport.ConnID
	for i, conn := range c.connections {
		if _, ok := c.allocatorByConn[conn]; ok && (request.requiredAllocator == 0 || request.requiredAllocator == i+1) {
			connected = append(connected, conn)
		}
	}
	if len(connected) == 0 {
		c.timers.Schedule(now+noAllocatorDelay, func(now placement.Millis) {
			if now < min(request.endsAt, c.model.Until) {
				c.send(now, request)
			}
		})
		return
	}
	conn := connected[c.rng.IntN(len(connected))]
	if c.rng.Float64() < c.FirstAllocatorShare {
		conn = connected[0]
	}
	request.attempts++
	request.requestedAt = now
	request.conn = conn
	request.allocator = c.allocatorByConn[conn]
	request.placed = false
	id := c.addRequest(request)
	c.network.Send(conn, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
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

// addRequest adds an open request and returns its ID.
func (c *Client) addRequest(request *clientRequest) uint64 {
	c.lastRequest++
	c.requests[c.lastRequest] = request
	c.Tally.Requests++
	return c.lastRequest
}

// scheduleAnswerTimeout gives an allocator the pending timeout, and some slack for the network, to answer a request.
func (c *Client) scheduleAnswerTimeout(now, pendingTimeout placement.Millis, id uint64, request *clientRequest) {
	c.timers.Schedule(now+pendingTimeout+c.model.AnswerSlack, func(now placement.Millis) { c.answerTimedOut(now, id, request) })
}

// handleAnswer handles the answer to a request. Answers to ended or placed requests are ignored.
func (c *Client) handleAnswer(now placement.Millis, a *pb.Answer) {
	request := c.requests[a.RequestId]
	if request == nil || request.placed {
		return
	}
	if request.gang != nil {
		c.handleGangAnswer(now, request, a)
		return
	}
	switch a.Verdict {
	case pb.Verdict_PLACED:
		c.Tally.Placed++
		if request.attempts == 1 {
			c.Tally.SinglesPlaced++
		}
		c.Tally.Waits = append(c.Tally.Waits, float64(now-request.requestedAt))
		request.placed = true
	case pb.Verdict_REJECTED:
		c.Tally.Rejected++
		delete(c.requests, a.RequestId)
		c.retry(now, request, false)
	default:
		c.Tally.Unschedulable++
		delete(c.requests, a.RequestId)
		c.retry(now, request, true)
	}
}

// answerTimedOut withdraws and retries a request that has no answer.
func (c *Client) answerTimedOut(now placement.Millis, id uint64, request *clientRequest) {
	if c.requests[id] != request || request.placed {
		return
	}
	c.Tally.Unanswered++
	c.withdrawRequest(id, request)
	if request.gang != nil {
		c.retryGang(now, request, true)
		return
	}
	c.retry(now, request, true)
}

// retry requests a workload again while enough of its lifetime remains. One that may have run is retried only if it is idempotent; by
// key only after a delay.
func (c *Client) retry(now placement.Millis, request *clientRequest, mayHaveRun bool) {
	wait := c.model.RetryDelay * placement.Millis(0.75+c.rng.Float64()/2)
	if mayHaveRun && request.demand.Idempotency == placement.AtMostOnce {
		return
	}
	if mayHaveRun && request.demand.Idempotency == placement.IdempotentByKey {
		wait = max(wait, RetryAfterUnknown)
	}
	if request.attempts >= c.model.MaxAttempts || now+wait+minRemaining > min(request.endsAt, c.model.Until) {
		return
	}
	c.timers.Schedule(now+wait, func(now placement.Millis) { c.send(now, request) })
}

// withdraw ends a workload that is no longer wanted, pending or placed.
func (c *Client) withdraw(now placement.Millis, request *clientRequest) {
	request.withdrawn = true
	if request.want != nil {
		request.want.Until = min(request.want.Until, now)
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if c.requests[id] == request {
			if !request.placed {
				c.Tally.Withdrawn++
			}
			c.withdrawRequest(id, request)
		}
	}
}

// withdrawRequest removes a request and sends its withdrawal.
func (c *Client) withdrawRequest(id uint64, request *clientRequest) {
	delete(c.requests, id)
	c.network.Send(request.conn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{RequestId: id}}})
}

// Restart stops a share of the client's services and requests all their workloads again, within the given time.
func (c *Client) Restart(now placement.Millis, share float64, within placement.Millis) {
	c.now = now
	done := map[*clientRequest]bool{}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		request := c.requests[id]
		if request == nil || done[request] || request.withdrawn || request.gang != nil || ServiceFactor(request.service+3)-0.5 >= share {
			continue
		}
		done[request] = true
		c.withdraw(now, request)
		replacement := &clientRequest{
			key:     c.newKey(),
			service: request.service,
			demand:  request.demand,
			shape:   request.shape,
			endsAt:  request.endsAt,
		}
		c.timers.Schedule(now+within*placement.Millis(c.rng.Float64()), func(now placement.Millis) {
			if now+minRemaining < min(replacement.endsAt, c.model.Until) {
				c.sendFirst(now, replacement)
			}
		})
	}
	c.wake()
}
