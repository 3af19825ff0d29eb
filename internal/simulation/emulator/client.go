package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Delay in ms before a client redials an allocator after a lost connection: minReconnectDelay plus up to
// reconnectJitter.
const (
	minReconnectDelay = 200
	reconnectJitter   = 600
)

// clientIncarnation is the incarnation in the hellos of clients. It is constant, as clients do not restart.
const clientIncarnation = 1

// Client emulates a client that requests workloads and gangs. Its demand source draws the requests, and its model sets
// how it retries. It has more than ten fields, as retries depend on sessions, open requests and active faults.
type Client struct {
	name   string
	model  *scenario.ClientModel
	rng    *rand.Rand // draws allocators, delays of retries, reconnects and restarts, and withdrawals of gangs
	demand demandSource
	process

	allocators    []allocatorSession
	requests      map[uint64]*clientRequest // open requests by ID: unanswered, or placed and not ended
	lastRequestID uint64

	RateFactor          float64 // multiplies the request rate; set by faults
	FirstAllocatorShare float64 // additional share of the requests that goes to the first allocator; set by faults
	Tally               Tally
}

// allocatorSession is a client's session with one allocator.
type allocatorSession struct {
	conn        transport.ConnID // 0 between a lost connection and the next dial
	ready       bool             // the allocator's hello has arrived on conn
	incarnation uint64           // incarnation in the allocator's last hello
}

// NewClient returns a client. Its workload keys are unique in a run if its index is.
func NewClient(name string, index int, model *scenario.ClientModel, seed uint64) *Client {
	return &Client{
		name:       name,
		model:      model,
		rng:        rand.New(rand.NewPCG(seed, uint64(index)+1)),
		demand:     newDemandSource(model, index, seed),
		allocators: make([]allocatorSession, len(model.Allocators)),
		requests:   map[uint64]*clientRequest{},
		RateFactor: 1,
		Tally:      Tally{Ended: map[pb.Reason]int{}},
	}
}

// Start implements transport.FrameHandler.
func (c *Client) Start(now placement.Millis, network transport.FrameNetwork) {
	c.network = network
	for i := range c.allocators {
		c.dial(i)
	}
	begin := max(now, c.model.From)
	c.timers.Schedule(begin+c.requestInterval(), c.requestNext)
	for i := range c.model.Gangs {
		requestNext := func(now placement.Millis) { c.requestNextGang(now, i) }
		c.timers.Schedule(begin+c.gangInterval(i), requestNext)
	}
	c.scheduleWake()
}

// dial connects to an allocator, by index.
func (c *Client) dial(i int) {
	c.allocators[i].conn = c.network.Dial(c.model.Allocators[i])
}

// Opened implements transport.FrameHandler.
func (c *Client) Opened(now placement.Millis, conn transport.ConnID) {
	c.network.Send(conn, transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_CLIENT,
		Name:        c.name,
		Incarnation: clientIncarnation,
		SentMs:      float64(now),
	}))
	c.scheduleWake()
}

// Closed implements transport.FrameHandler. Unanswered requests are retried where their idempotency and the model allow
// it. Placed workloads keep running: the allocator's next hello lists them.
func (c *Client) Closed(now placement.Millis, conn transport.ConnID, _ error) {
	i := c.allocatorOf(conn)
	if i < 0 {
		return
	}
	for _, id := range c.requestsOn(conn) {
		if request := c.requests[id]; !request.placed {
			delete(c.requests, id)
			c.retryDisconnected(now, request)
		}
	}
	c.allocators[i].conn = 0
	c.allocators[i].ready = false
	delay := placement.Millis(minReconnectDelay + c.rng.Float64()*reconnectJitter)
	c.timers.Schedule(now+delay, func(placement.Millis) { c.dial(i) })
	c.scheduleWake()
}

// retryDisconnected retries a request whose connection was lost before the answer arrived, if a retry is allowed.
func (c *Client) retryDisconnected(now placement.Millis, request *clientRequest) {
	c.Tally.Disconnected++
	switch {
	case request.gang != nil:
		c.retryGang(now, request, mayHaveRun)
	case c.model.RetriesAfterDisconnect && request.demand.Idempotency == placement.AtMostOnce:
		// Only this allocator has recorded whether the workload may have run.
		request.requiredAllocator = request.allocator + 1
		c.retrySingle(now, request, didNotRun)
	default:
		c.retrySingle(now, request, mayHaveRun)
	}
}

// allocatorOf returns the index of the allocator at the other end of a connection, or -1.
func (c *Client) allocatorOf(conn transport.ConnID) int {
	return slices.IndexFunc(c.allocators, func(session allocatorSession) bool { return session.conn == conn })
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
	switch body := f.Body.(type) {
	case *pb.Frame_Hello:
		c.handleHello(now, conn, body.Hello)
	case *pb.Frame_Answer:
		c.handleAnswer(now, body.Answer)
	case *pb.Frame_WorkloadEnded:
		c.handleWorkloadEnded(now, body.WorkloadEnded)
	}
	c.scheduleWake()
}

// handleHello handles an allocator's hello. Workloads that the allocator placed and the hello does not list are lost,
// unless the incarnation is new: a restarted allocator may not have recovered all of them yet.
func (c *Client) handleHello(now placement.Millis, conn transport.ConnID, hello *pb.Hello) {
	i := c.allocatorOf(conn)
	session := &c.allocators[i]
	sameIncarnation := session.incarnation == hello.Incarnation
	session.ready = true
	session.incarnation = hello.Incarnation
	reported := c.withdrawStale(conn, hello.RunningWorkloads)
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		request := c.requests[id]
		if !request.placed || request.allocator != i {
			continue
		}
		if reported[id] || !sameIncarnation {
			request.conn = conn
			continue
		}
		delete(c.requests, id)
		c.Tally.Ended[pb.Reason_LOST]++
		if request.gang == nil {
			c.retrySingle(now, request, mayHaveRun)
		}
	}
}

// withdrawStale withdraws the running workloads whose request is not open: the client withdrew it while it was
// disconnected from the allocator, or lost the connection before the answer. It returns the request IDs of all running
// workloads.
func (c *Client) withdrawStale(conn transport.ConnID, running []*pb.RunningWorkload) map[uint64]bool {
	reported := map[uint64]bool{}
	for _, workload := range running {
		id := workload.Offer.Request.RequestId
		if reported[id] {
			continue
		}
		reported[id] = true
		if c.requests[id] == nil {
			c.network.Send(conn, withdrawFrame(id))
		}
	}
	return reported
}

// handleWorkloadEnded handles the end of a placed workload or gang. Single workloads that did not finish are retried,
// except at-most-once ones.
func (c *Client) handleWorkloadEnded(now placement.Millis, ended *pb.WorkloadEnded) {
	request := c.requests[ended.RequestId]
	if request == nil || !request.placed {
		return
	}
	delete(c.requests, ended.RequestId)
	c.Tally.Ended[ended.Reason]++
	switch {
	case request.gang != nil:
		request.gang.ended = true
	case ended.Reason != pb.Reason_FINISHED:
		c.retrySingle(now, request, mayHaveRun)
	}
}

// PendingRequests returns the number of unanswered requests.
func (c *Client) PendingRequests() int {
	count := 0
	for _, request := range c.requests {
		if !request.placed {
			count++
		}
	}
	return count
}
