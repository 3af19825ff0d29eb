package emulator

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	// RetryAfterUnknown is how long a client waits before it retries a workload that may have run, in ms.
	RetryAfterUnknown = placement.Millis(3e3)
	quickWithdrawal   = placement.Millis(40)  // ms; the longest delay of a withdrawal right after a request
	noAllocatorDelay  = placement.Millis(200) // ms after which a client without an allocator tries again
	minRemaining      = placement.Millis(500) // ms of remaining lifetime below which a workload is not requested again
)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Tally counts what a client has seen of its requests.
type Tally struct {
	Requests, FirstRequests, Placed, Rejected, Unschedulable int
	Withdrawn                                                int // by the client, before an answer
	Disconnected                                             int // the connection or the allocator was lost before an answer
	Unanswered                                               int
	Ended                                                    map[pb.Why]int
	Waits                                                    []float64 // ms from the first request until the workload is placed
	SinglesFirst, SinglesPlaced                              int       // workloads that belong to no gang: wanted, and placed by their first request
	Gangs, GangsStarted, GangsAbandoned                      int       // wanted, started, and never started
	GangWaits                                                []float64 // ms from the first request for a gang until it started
	Wasted, Used                                             float64   // core seconds of parts that were requested independently, in gangs that did not start and that did
	Wants                                                    []*Want   // single workloads, in the order in which they were first wanted
}

// Client emulates the clients that request workloads and gangs.
type Client struct {
	name      string
	index     int
	model     *scenario.ClientModel
	rng       *rand.Rand // for its reactions
	demandRNG *rand.Rand // for its demand, which does not depend on what happens
	network   transport.FrameNetwork
	timers    transport.Timers
	now       placement.Millis

	connections     []transport.ConnID // by allocator; 0 while there is none
	allocatorByConn map[transport.ConnID]int
	requests        map[uint64]*clientRequest // that have not ended, by request ID
	lastRequest     uint64

	incarnations []uint64 // of the allocators, by their last hello
	keys         uint64

	RateFactor          float64 // multiplies the request rate
	FirstAllocatorShare float64 // additional share of the requests that goes to the first allocator
	Tally               Tally
}

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

// NewClient returns a client. The index keeps its workload keys apart from those of other clients.
func NewClient(name string, index int, m *scenario.ClientModel, seed uint64) *Client {
	return &Client{
		name: name, index: index, model: m, rng: rand.New(rand.NewPCG(seed, uint64(index)+1)),
		demandRNG:   rand.New(rand.NewPCG(seed, uint64(index)<<32+2)),
		connections: make([]transport.ConnID, len(m.Allocators)), incarnations: make([]uint64, len(m.Allocators)),
		allocatorByConn: map[transport.ConnID]int{}, requests: map[uint64]*clientRequest{},
		RateFactor: 1, Tally: Tally{Ended: map[pb.Why]int{}},
	}
}

// Start implements transport.FrameHandler.
func (c *Client) Start(now placement.Millis, network transport.FrameNetwork) {
	c.now, c.network = now, network
	for i := range c.connections {
		c.dial(i)
	}
	c.timers.Schedule(max(now, c.model.From)+c.requestInterval(), c.requestNext)
	for i := range c.model.Gangs {
		c.timers.Schedule(max(now, c.model.From)+c.gangInterval(i), func(now placement.Millis) { c.requestNextGang(now, i) })
	}
	c.wake()
}

// dial connects to an allocator, by index.
func (c *Client) dial(i int) {
	c.connections[i] = c.network.Dial(c.model.Allocators[i])
}

func (c *Client) wake() {
	if at, ok := c.timers.Next(); ok {
		c.network.WakeAt(at)
	}
}

// Wake implements transport.FrameHandler.
func (c *Client) Wake(now placement.Millis) {
	c.now = now
	c.timers.RunDue(now)
	c.wake()
}

// Opened implements transport.FrameHandler.
func (c *Client) Opened(now placement.Millis, conn transport.ConnID) {
	c.now = now
	c.network.Send(conn, transport.HelloFrame(&pb.Hello{Role: pb.Role_OWNER, Name: c.name, Incarnation: 1, SentMs: float64(now)}))
	c.wake()
}

// Closed implements transport.FrameHandler.
func (c *Client) Closed(now placement.Millis, conn transport.ConnID, _ error) {
	c.now = now
	delete(c.allocatorByConn, conn)
	i := slices.Index(c.connections, conn)
	if i < 0 {
		return
	}
	for _, id := range c.requestsOn(conn) {
		request := c.requests[id]
		if request.placed {
			continue // it keeps running; the allocator reports its state after reconnecting
		}
		c.Tally.Disconnected++
		delete(c.requests, id)
		switch {
		case request.gang != nil:
			c.retryGang(now, request, true)
		case c.model.RetriesAfterDisconnect && request.demand.Idempotency == placement.AtMostOnce:
			request.requiredAllocator = request.allocator + 1 // only this allocator knows whether the workload may have run
			c.retry(now, request, false)
		default:
			c.retry(now, request, true)
		}
	}
	c.connections[i] = 0
	c.timers.Schedule(now+placement.Millis(200+c.rng.Float64()*600), func(placement.Millis) { c.dial(i) })
	c.wake()
}

// requestsOn returns the IDs of the requests that were sent over a connection and have not ended, oldest first.
func (c *Client) requestsOn(conn transport.ConnID) (ids []uint64) {
	for id, request := range c.requests {
		if request.conn == conn {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Received implements transport.FrameHandler.
func (c *Client) Received(now placement.Millis, conn transport.ConnID, f *pb.Frame) {
	c.now = now
	switch b := f.Body.(type) {
	case *pb.Frame_Hello:
		c.handleHello(now, conn, b.Hello)
	case *pb.Frame_Answer:
		c.handleAnswer(now, b.Answer)
	case *pb.Frame_Over:
		if request := c.requests[b.Over.Ask]; request != nil && request.placed && request.gang != nil {
			delete(c.requests, b.Over.Ask)
			c.gangEnded(request, b.Over.Why)
		} else if request != nil && request.placed {
			delete(c.requests, b.Over.Ask)
			c.Tally.Ended[b.Over.Why]++
			if b.Over.Why != pb.Why_FINISHED {
				c.retry(now, request, true)
			}
		}
	}
	c.wake()
}

// handleHello handles an allocator's hello. Workloads that it placed and does not list are lost, unless it is a new incarnation, which
// may not have recovered all of them yet.
func (c *Client) handleHello(now placement.Millis, conn transport.ConnID, h *pb.Hello) {
	i := slices.Index(c.connections, conn)
	c.allocatorByConn[conn] = i
	sameIncarnation := c.incarnations[i] == h.Incarnation
	c.incarnations[i] = h.Incarnation
	reported := map[uint64]bool{}
	for _, s := range h.Standing {
		if id := s.Offer.Ask.Ask; !reported[id] {
			reported[id] = true
			if c.requests[id] == nil { // it was withdrawn while the allocator was away
				c.network.Send(conn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{Ask: id}}})
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		request := c.requests[id]
		switch {
		case !request.placed || request.allocator != i:
		case reported[id] || !sameIncarnation:
			request.conn = conn
		default:
			delete(c.requests, id)
			c.Tally.Ended[pb.Why_LOST]++
			if request.gang == nil {
				c.retry(now, request, true)
			}
		}
	}
}

// handleAnswer handles the answer to a request. Answers to ended or placed requests are ignored.
func (c *Client) handleAnswer(now placement.Millis, a *pb.Answer) {
	request := c.requests[a.Ask]
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
		delete(c.requests, a.Ask)
		c.retry(now, request, false)
	default:
		c.Tally.Unschedulable++
		delete(c.requests, a.Ask)
		c.retry(now, request, true)
	}
}

// requestInterval draws the time until the next new request.
func (c *Client) requestInterval() placement.Millis {
	return placement.Millis(min(60e3, c.demandRNG.ExpFloat64()*1000/max(1e-6, c.model.Rate*c.RateFactor)))
}

// requestNext requests a new workload and schedules the next one.
func (c *Client) requestNext(now placement.Millis) {
	if now >= c.model.Until {
		return
	}
	c.timers.Schedule(now+c.requestInterval(), c.requestNext)
	demand := c.drawDemand()
	service := c.demandRNG.IntN(demand.Services)
	c.keys++
	request := &clientRequest{
		key: uint64(c.index)<<40 | c.keys, service: serviceID(demand.Name, service), demand: demand,
		shape: demand.Shapes[service%len(demand.Shapes)], endsAt: now + c.drawLifetime(demand),
	}
	c.Tally.FirstRequests++
	c.Tally.SinglesFirst++
	c.recordWant(now, request)
	c.send(now, request)
	if c.demandRNG.Float64() < c.model.WithdrawShare {
		// Half of the withdrawals come so early that the answer may still be in transit.
		within := quickWithdrawal
		if c.demandRNG.IntN(2) == 0 {
			within = demand.Lifetime
		}
		c.timers.Schedule(now+within*placement.Millis(c.demandRNG.Float64()), func(now placement.Millis) { c.withdraw(now, request) })
	}
}

// drawDemand draws a kind of demand by its share.
func (c *Client) drawDemand() *scenario.Demand {
	quantile, sum := c.demandRNG.Float64(), 0.0
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
	c.lastRequest++
	id := c.lastRequest
	request.attempts++
	request.requestedAt, request.conn, request.allocator, request.placed = now, conn, c.allocatorByConn[conn], false
	c.requests[id] = request
	c.Tally.Requests++
	c.network.Send(conn, &pb.Frame{Body: &pb.Frame_Ask{Ask: &pb.Ask{
		Ask: id, Key: request.key, Service: request.service, Group: request.demand.Name, Cores: request.shape[0], Memory: request.shape[1],
		LeftMs: float64(request.demand.PendingTimeout), RunsForMs: float64(request.endsAt - now), Again: request.attempts > 1,
		SentMs: float64(now),
	}}})
	c.timers.Schedule(now+request.demand.PendingTimeout+c.model.AnswerSlack, func(now placement.Millis) { c.answerTimedOut(now, id, request) })
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

// withdrawRequest removes a request and sends its withdrawal.
func (c *Client) withdrawRequest(id uint64, request *clientRequest) {
	delete(c.requests, id)
	c.network.Send(request.conn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{Ask: id}}})
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
		c.keys++
		replacement := &clientRequest{
			key: uint64(c.index)<<40 | c.keys, service: request.service, demand: request.demand, shape: request.shape, endsAt: request.endsAt,
		}
		c.timers.Schedule(now+within*placement.Millis(c.rng.Float64()), func(now placement.Millis) {
			if now+minRemaining < min(replacement.endsAt, c.model.Until) {
				c.Tally.FirstRequests++
				c.Tally.SinglesFirst++
				c.recordWant(now, replacement)
				c.send(now, replacement)
			}
		})
	}
	c.wake()
}

// Open returns the number of requests that wait for an answer.
func (c *Client) Open() int {
	n := 0
	for _, request := range c.requests {
		if !request.placed {
			n++
		}
	}
	return n
}
