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

// Client emulates the clients that request workloads and gangs. It has more than fifteen fields: its connections, its open requests and
// what faults set belong to the same retry decisions.
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

	incarnations []uint64 // of the allocators, as of their last hello
	keys         uint64   // number of workload keys in use

	RateFactor          float64 // multiplies the request rate
	FirstAllocatorShare float64 // additional share of the requests that goes to the first allocator
	Tally               Tally
}

// NewClient returns a client. The index keeps its workload keys apart from those of other clients.
func NewClient(name string, index int, m *scenario.ClientModel, seed uint64) *Client {
	return &Client{
		name:            name,
		index:           index,
		model:           m,
		rng:             rand.New(rand.NewPCG(seed, uint64(index)+1)),
		demandRNG:       rand.New(rand.NewPCG(seed, uint64(index)<<32+2)),
		connections:     make([]transport.ConnID, len(m.Allocators)),
		incarnations:    make([]uint64, len(m.Allocators)),
		allocatorByConn: map[transport.ConnID]int{},
		requests:        map[uint64]*clientRequest{},
		RateFactor:      1,
		Tally:           Tally{Ended: map[pb.Reason]int{}},
	}
}

// Start implements transport.FrameHandler.
func (c *Client) Start(now placement.Millis, network transport.FrameNetwork) {
	c.now = now
	c.network = network
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
	c.network.Send(conn, transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_CLIENT,
		Name:        c.name,
		Incarnation: 1,
		SentMs:      float64(now),
	}))
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
	c.timers.Schedule(now+placement.Millis(minReconnectDelay+c.rng.Float64()*reconnectJitter), func(placement.Millis) { c.dial(i) })
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
	case *pb.Frame_WorkloadEnded:
		if request := c.requests[b.WorkloadEnded.RequestId]; request != nil && request.placed && request.gang != nil {
			delete(c.requests, b.WorkloadEnded.RequestId)
			c.gangEnded(request, b.WorkloadEnded.Reason)
		} else if request != nil && request.placed {
			delete(c.requests, b.WorkloadEnded.RequestId)
			c.Tally.Ended[b.WorkloadEnded.Reason]++
			if b.WorkloadEnded.Reason != pb.Reason_FINISHED {
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
	for _, s := range h.RunningWorkloads {
		if id := s.Offer.Request.RequestId; !reported[id] {
			reported[id] = true
			if c.requests[id] == nil { // it was withdrawn while the allocator was away
				c.network.Send(conn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{RequestId: id}}})
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
			c.Tally.Ended[pb.Reason_LOST]++
			if request.gang == nil {
				c.retry(now, request, true)
			}
		}
	}
}

// PendingRequests returns the number of requests that wait for an answer.
func (c *Client) PendingRequests() int {
	n := 0
	for _, request := range c.requests {
		if !request.placed {
			n++
		}
	}
	return n
}
