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

// A client dials a lost allocator again after minReconnectDelay and up to reconnectJitter more, in ms.
const (
	minReconnectDelay = 200
	reconnectJitter   = 600
)

// clientIncarnation is the incarnation that clients report: they do not restart.
const clientIncarnation = 1

// Client emulates the clients that request workloads and gangs. It sends what its demand source draws, and retries by
// its model. It has more than ten fields, as retries depend on its sessions, its open requests and what faults set.
type Client struct {
	name   string
	model  *scenario.ClientModel
	rng    *rand.Rand // for its reactions
	demand demandSource
	process

	allocators  []allocatorSession
	requests    map[uint64]*clientRequest // that have not ended, by request ID
	lastRequest uint64

	RateFactor          float64 // multiplies the request rate; set by faults
	FirstAllocatorShare float64 // additional share of the requests that goes to the first allocator; set by faults
	Tally               Tally
}

// allocatorSession is a client's session with one allocator.
type allocatorSession struct {
	conn        transport.ConnID // 0 while there is none
	ready       bool             // the allocator's hello was received over conn
	incarnation uint64           // of the allocator, as of its last hello
}

// NewClient returns a client. The index keeps its workload keys apart from those of other clients.
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
	c.wake()
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
	c.wake()
}

// Closed implements transport.FrameHandler. Placed workloads keep running: the allocator names them after reconnecting.
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
	c.wake()
}

// retryDisconnected retries a request whose connection was lost before its answer.
func (c *Client) retryDisconnected(now placement.Millis, request *clientRequest) {
	c.Tally.Disconnected++
	switch {
	case request.gang != nil:
		c.retryGang(now, request, mayHaveRun)
	case c.model.RetriesAfterDisconnect && request.demand.Idempotency == placement.AtMostOnce:
		// Only this allocator knows whether the workload may have run.
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
	c.wake()
}

// handleHello handles an allocator's hello. Workloads that it placed and does not list are lost, unless it is a new
// incarnation, which may not have recovered all of them yet.
func (c *Client) handleHello(now placement.Millis, conn transport.ConnID, hello *pb.Hello) {
	i := c.allocatorOf(conn)
	session := &c.allocators[i]
	sameIncarnation := session.incarnation == hello.Incarnation
	session.ready = true
	session.incarnation = hello.Incarnation
	reported := c.withdrawUnknown(conn, hello.RunningWorkloads)
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

// withdrawUnknown withdraws the requests of running workloads that the client no longer wants: it withdrew them while
// the allocator was disconnected. It returns the IDs of all requests that the workloads belong to.
func (c *Client) withdrawUnknown(conn transport.ConnID, running []*pb.RunningWorkload) map[uint64]bool {
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

// handleWorkloadEnded handles the end of a placed workload or gang. Single workloads that did not finish are retried.
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

// PendingRequests returns the number of requests that wait for an answer.
func (c *Client) PendingRequests() int {
	count := 0
	for _, request := range c.requests {
		if !request.placed {
			count++
		}
	}
	return count
}
