package simulation

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
	retryAfterUnknown = placement.Millis(3e3) // ms that an owner waits where its workload may have run
	quickRetry        = placement.Millis(40)  // ms within which an owner may think again at once
	minRemaining      = placement.Millis(500) // ms of life that are not worth asking for again
)

// Tally is what an owner saw of its asks.
type Tally struct {
	Requests, FirstRequests, Placed, Rejected, Unschedulable int
	Withdrawn                                                int // by the owner, before an answer
	Disconnected                                             int // the connection, or the allocator, went before an answer
	Unanswered                                               int
	Ended                                                    map[pb.Why]int
	Waits                                                    []float64 // ms from a first ask to its yes
	SinglesFirst, SinglesPlaced                              int       // of workloads in no group: wanted, and placed at their first ask
	Gangs, GangsStarted, GangsAbandoned                      int       // groups that were wanted, that stood, that never did
	GangWaits                                                []float64 // ms from the first ask for a group until it stood
	Wasted, Used                                             float64   // core seconds that parts asked for by themselves stood in vain, and not
	Wants                                                    []*Want   // single workloads, in the order of their coming
}

// Owner is a stand-in for those who ask for workloads.
type Client struct {
	name      string
	index     int
	model     *scenario.ClientModel
	rng       *rand.Rand // of what it does as things turn out
	demandRNG *rand.Rand // of what it wants, which is the same however things turn out
	net       transport.FrameNetwork
	timers    transport.Timers
	now       placement.Millis

	connections     []transport.ConnID // by allocator; 0 while there is none
	allocatorByConn map[transport.ConnID]int
	requests        map[uint64]*clientRequest // asked and not over, by ask
	lastRequest     uint64

	incarnations []uint64 // of the allocators, as last met
	keys         uint64

	RateFactor          float64 // times as many asks
	FirstAllocatorShare float64 // share of the asks that goes to the first allocator besides
	Tally               Tally
}

// wanted is a workload that an owner wants.
type clientRequest struct {
	key               uint64
	service           uint64
	demand            *scenario.Demand
	shape             [2]float64
	endsAt            placement.Millis // of its life
	attempts          int
	requestedAt       placement.Millis
	conn              transport.ConnID
	allocator         int // allocator
	placed            bool
	gone              bool
	gang              *clientGang // that it is, or is a part of
	part              int
	want              *Want
	requiredAllocator int // allocator that may be asked, counted from 1; 0 for any
}

// Want is a single workload as its owner wanted it.
type Want struct {
	From, Until   placement.Millis
	Service       uint64
	Group         string
	Cores, Memory float64
}

// wantIt notes a workload that is wanted for the first time.
func (o *Client) recordWant(now placement.Millis, w *clientRequest) {
	w.want = &Want{now, w.endsAt, w.service, w.demand.Name, w.shape[0], w.shape[1]}
	o.Tally.Wants = append(o.Tally.Wants, w.want)
}

// NewOwner makes an owner; its number keeps its keys apart from those of others.
func NewClient(name string, no int, m *scenario.ClientModel, seed uint64) *Client {
	return &Client{
		name: name, index: no, model: m, rng: rand.New(rand.NewPCG(seed, uint64(no)+1)),
		demandRNG:   rand.New(rand.NewPCG(seed, uint64(no)<<32+2)),
		connections: make([]transport.ConnID, len(m.Allocators)), incarnations: make([]uint64, len(m.Allocators)), allocatorByConn: map[transport.ConnID]int{}, requests: map[uint64]*clientRequest{},
		RateFactor: 1, Tally: Tally{Ended: map[pb.Why]int{}},
	}
}

func (o *Client) Start(now placement.Millis, net transport.FrameNetwork) {
	o.now, o.net = now, net
	for i := range o.connections {
		o.dial(i)
	}
	o.timers.Schedule(max(now, o.model.From)+o.gap(), o.next)
	for i := range o.model.Gangs {
		o.timers.Schedule(max(now, o.model.From)+o.gangGap(i), func(now placement.Millis) { o.nextGang(now, i) })
	}
	o.wake()
}

func (o *Client) dial(i int) {
	o.connections[i] = o.net.Dial(o.model.Allocators[i])
}

func (o *Client) wake() {
	if at, ok := o.timers.Next(); ok {
		o.net.WakeAt(at)
	}
}

func (o *Client) Wake(now placement.Millis) {
	o.now = now
	o.timers.RunDue(now)
	o.wake()
}

func (o *Client) Opened(now placement.Millis, c transport.ConnID) {
	o.now = now
	o.net.Send(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_OWNER, Name: o.name, Incarnation: 1, SentMs: float64(now)}))
	o.wake()
}

func (o *Client) Closed(now placement.Millis, c transport.ConnID, _ error) {
	o.now = now
	delete(o.allocatorByConn, c)
	i := slices.Index(o.connections, c)
	if i < 0 {
		return
	}
	for _, no := range o.on(c) {
		w := o.requests[no]
		if w.placed {
			continue // it runs on; the allocator says more when it is back
		}
		o.Tally.Disconnected++
		delete(o.requests, no)
		switch {
		case w.gang != nil:
			o.retryGang(now, w, true)
		case o.model.RetriesAfterDisconnect && w.demand.Idempotency == placement.AtMostOnce:
			w.requiredAllocator = w.allocator + 1 // it knows whether the workload may have run
			o.again(now, w, false)
		default:
			o.again(now, w, true)
		}
	}
	o.connections[i] = 0
	o.timers.Schedule(now+placement.Millis(200+o.rng.Float64()*600), func(placement.Millis) { o.dial(i) })
	o.wake()
}

// on returns the asks that went over a connection and are not over, oldest first.
func (o *Client) on(c transport.ConnID) (asks []uint64) {
	for no, w := range o.requests {
		if w.conn == c {
			asks = append(asks, no)
		}
	}
	slices.Sort(asks)
	return asks
}

func (o *Client) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	o.now = now
	switch b := f.Body.(type) {
	case *pb.Frame_Hello:
		o.back(now, c, b.Hello)
	case *pb.Frame_Answer:
		o.answered(now, b.Answer)
	case *pb.Frame_Over:
		if w := o.requests[b.Over.Ask]; w != nil && w.placed && w.gang != nil {
			delete(o.requests, b.Over.Ask)
			o.gangEnded(now, w, b.Over.Why)
		} else if w != nil && w.placed {
			delete(o.requests, b.Over.Ask)
			o.Tally.Ended[b.Over.Why]++
			if b.Over.Why != pb.Why_FINISHED {
				o.again(now, w, true)
			}
		}
	}
	o.wake()
}

// back takes an allocator's hello: what it does not name of what it placed is lost. One that has started anew
// may not have found all of it yet, so nothing is concluded then.
func (o *Client) back(now placement.Millis, c transport.ConnID, h *pb.Hello) {
	i := slices.Index(o.connections, c)
	o.allocatorByConn[c] = i
	same := o.incarnations[i] == h.Incarnation
	o.incarnations[i] = h.Incarnation
	named := map[uint64]bool{}
	for _, s := range h.Standing {
		if no := s.Offer.Ask.Ask; !named[no] {
			named[no] = true
			if o.requests[no] == nil { // it was withdrawn while the allocator was away
				o.net.Send(c, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{Ask: no}}})
			}
		}
	}
	for _, no := range slices.Sorted(maps.Keys(o.requests)) {
		w := o.requests[no]
		switch {
		case !w.placed || w.allocator != i:
		case named[no] || !same:
			w.conn = c
		default:
			delete(o.requests, no)
			o.Tally.Ended[pb.Why_LOST]++
			if w.gang == nil {
				o.again(now, w, true)
			}
		}
	}
}

func (o *Client) answered(now placement.Millis, a *pb.Answer) {
	w := o.requests[a.Ask]
	if w == nil || w.placed {
		return
	}
	if w.gang != nil {
		o.gangAnswered(now, w, a)
		return
	}
	switch a.Verdict {
	case pb.Verdict_PLACED:
		o.Tally.Placed++
		if w.attempts == 1 {
			o.Tally.SinglesPlaced++
		}
		o.Tally.Waits = append(o.Tally.Waits, float64(now-w.requestedAt))
		w.placed = true
	case pb.Verdict_REJECTED:
		o.Tally.Rejected++
		delete(o.requests, a.Ask)
		o.again(now, w, false)
	default:
		o.Tally.Unschedulable++
		delete(o.requests, a.Ask)
		o.again(now, w, true)
	}
}

// gap is the time until the next first ask.
func (o *Client) gap() placement.Millis {
	return placement.Millis(min(60e3, o.demandRNG.ExpFloat64()*1000/max(1e-6, o.model.Rate*o.RateFactor)))
}

// next asks for a new workload and comes again.
func (o *Client) next(now placement.Millis) {
	if now >= o.model.Until {
		return
	}
	o.timers.Schedule(now+o.gap(), o.next)
	d := o.demand()
	service := o.demandRNG.IntN(d.Services)
	o.keys++
	w := &clientRequest{
		key: uint64(o.index)<<40 | o.keys, service: serviceID(d.Name, service), demand: d,
		shape: d.Shapes[service%len(d.Shapes)], endsAt: now + o.life(d),
	}
	o.Tally.FirstRequests++
	o.Tally.SinglesFirst++
	o.recordWant(now, w)
	o.ask(now, w)
	if o.demandRNG.Float64() < o.model.WithdrawShare {
		// Every other time so soon that the answer is on its way.
		within := quickRetry
		if o.demandRNG.IntN(2) == 0 {
			within = d.Lifetime
		}
		o.timers.Schedule(now+within*placement.Millis(o.demandRNG.Float64()), func(now placement.Millis) { o.withdraw(now, w) })
	}
}

func (o *Client) demand() *scenario.Demand {
	at, sum := o.demandRNG.Float64(), 0.0
	for i := range o.model.Demand {
		if sum += o.model.Demand[i].Share; at < sum {
			return &o.model.Demand[i]
		}
	}
	return &o.model.Demand[len(o.model.Demand)-1]
}

// life is log-normal, long for a few.
func (o *Client) life(d *scenario.Demand) placement.Millis {
	return max(minRemaining, d.Lifetime*placement.Millis(math.Exp(o.demandRNG.NormFloat64()*0.8-0.32)))
}

// serviceID names a service alike at all owners.
func serviceID(group string, no int) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(group) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return (h^uint64(no))*1099511628211 | 1
}

// ask asks an allocator that is there; with none, later.
func (o *Client) ask(now placement.Millis, w *clientRequest) {
	if w.gone {
		return
	}
	var there []transport.ConnID
	for i, c := range o.connections {
		if _, ok := o.allocatorByConn[c]; ok && (w.requiredAllocator == 0 || w.requiredAllocator == i+1) {
			there = append(there, c)
		}
	}
	if len(there) == 0 {
		o.timers.Schedule(now+200, func(now placement.Millis) {
			if now < min(w.endsAt, o.model.Until) {
				o.ask(now, w)
			}
		})
		return
	}
	c := there[o.rng.IntN(len(there))]
	if o.rng.Float64() < o.FirstAllocatorShare {
		c = there[0]
	}
	o.lastRequest++
	no := o.lastRequest
	w.attempts++
	w.requestedAt, w.conn, w.allocator, w.placed = now, c, o.allocatorByConn[c], false
	o.requests[no] = w
	o.Tally.Requests++
	o.net.Send(c, &pb.Frame{Body: &pb.Frame_Ask{Ask: &pb.Ask{
		Ask: no, Key: w.key, Service: w.service, Group: w.demand.Name, Cores: w.shape[0], Memory: w.shape[1],
		LeftMs: float64(w.demand.PendingTimeout), RunsForMs: float64(w.endsAt - now), Again: w.attempts > 1,
		SentMs: float64(now),
	}}})
	o.timers.Schedule(now+w.demand.PendingTimeout+o.model.AnswerSlack, func(now placement.Millis) { o.giveUp(now, no, w) })
}

func (o *Client) giveUp(now placement.Millis, no uint64, w *clientRequest) {
	if o.requests[no] != w || w.placed {
		return
	}
	o.Tally.Unanswered++
	o.drop(no, w)
	if w.gang != nil {
		o.retryGang(now, w, true)
		return
	}
	o.again(now, w, true)
}

// drop takes an ask back.
func (o *Client) drop(no uint64, w *clientRequest) {
	delete(o.requests, no)
	o.net.Send(w.conn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{Ask: no}}})
}

// withdraw ends what the owner no longer wants, wherever it stands.
func (o *Client) withdraw(now placement.Millis, w *clientRequest) {
	w.gone = true
	if w.want != nil {
		w.want.Until = min(w.want.Until, now)
	}
	for _, no := range slices.Sorted(maps.Keys(o.requests)) {
		if o.requests[no] == w {
			if !w.placed {
				o.Tally.Withdrawn++
			}
			o.drop(no, w)
		}
	}
}

// again asks once more while there is life left to run. What may have run is asked for again only where that
// is harmless, and once it has settled.
func (o *Client) again(now placement.Millis, w *clientRequest, mayHaveRun bool) {
	wait := o.model.RetryDelay * placement.Millis(0.75+o.rng.Float64()/2)
	if mayHaveRun && w.demand.Idempotency == placement.AtMostOnce {
		return
	}
	if mayHaveRun && w.demand.Idempotency == placement.IdempotentByKey {
		wait = max(wait, retryAfterUnknown)
	}
	if w.attempts >= o.model.MaxAttempts || now+wait+minRemaining > min(w.endsAt, o.model.Until) {
		return
	}
	o.timers.Schedule(now+wait, func(now placement.Millis) { o.ask(now, w) })
}

// Restart has the owner stop a share of its services and ask for all their workloads again, within a time.
func (o *Client) Restart(now placement.Millis, share float64, within placement.Millis) {
	o.now = now
	done := map[*clientRequest]bool{}
	for _, no := range slices.Sorted(maps.Keys(o.requests)) {
		w := o.requests[no]
		if w == nil || done[w] || w.gone || w.gang != nil || serviceFactor(w.service+3)-0.5 >= share {
			continue
		}
		done[w] = true
		o.withdraw(now, w)
		o.keys++
		fresh := &clientRequest{
			key: uint64(o.index)<<40 | o.keys, service: w.service, demand: w.demand, shape: w.shape, endsAt: w.endsAt,
		}
		o.timers.Schedule(now+within*placement.Millis(o.rng.Float64()), func(now placement.Millis) {
			if now+minRemaining < min(fresh.endsAt, o.model.Until) {
				o.Tally.FirstRequests++
				o.Tally.SinglesFirst++
				o.recordWant(now, fresh)
				o.ask(now, fresh)
			}
		})
	}
	o.wake()
}

// Open is the number of asks that wait for an answer.
func (o *Client) Open() int {
	n := 0
	for _, w := range o.requests {
		if !w.placed {
			n++
		}
	}
	return n
}
