package simulation

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	settleAfter = placement.Millis(3e3) // ms that an owner waits where its workload may have run
	hastily     = placement.Millis(40)  // ms within which an owner may think again at once
	leastLeft   = placement.Millis(500) // ms of life that are not worth asking for again
)

// OwnerModel is what the owners of a day want and how they behave.
type OwnerModel struct {
	Groups     []Demand
	Rate       float64          // first asks a second, of this owner
	From       placement.Millis // when it begins to ask
	Until      placement.Millis // when it stops
	Again      placement.Millis // wait after an answer that places nothing, in the mean
	Tries      int              // asks for one workload at most
	Slack      placement.Millis // beyond the pending timeout that it waits for an answer
	Withdraws  float64          // share of workloads that it withdraws at some time
	Insists    bool             // asks for what was cut off again also where it must not run twice, at the same allocator
	Allocators []string         // addresses
	Gangs      []GangDemand
	Policy     GangPolicy
}

// Demand is what is asked for in one priority group.
type Demand struct {
	Name     string
	Share    float64
	Shapes   [][2]float64 // cores and memory
	Life     placement.Millis
	Services int
	Pending  placement.Millis
	Effect   placement.Idempotency
}

// Tally is what an owner saw of its asks.
type Tally struct {
	Asks, Firsts, Placed, Rejected, Unschedulable int
	Withdrawn                                     int // by the owner, before an answer
	Cut                                           int // the connection, or the allocator, went before an answer
	Unanswered                                    int
	Ended                                         map[pb.Why]int
	Waits                                         []float64 // ms from a first ask to its yes
	SinglesFirst, SinglesPlaced                   int       // of workloads in no group: wanted, and placed at their first ask
	Gangs, GangsStood, GangsGivenUp               int       // groups that were wanted, that stood, that never did
	GangWaits                                     []float64 // ms from the first ask for a group until it stood
	Wasted, Used                                  float64   // core seconds that parts asked for by themselves stood in vain, and not
	Wants                                         []*Want   // single workloads, in the order of their coming
}

// Owner is a stand-in for those who ask for workloads.
type Owner struct {
	name   string
	no     int
	model  *OwnerModel
	rng    *rand.Rand // of what it does as things turn out
	wants  *rand.Rand // of what it wants, which is the same however things turn out
	net    transport.FrameNetwork
	timers transport.Timers
	now    placement.Millis

	conns   []transport.ConnID // by allocator; 0 while there is none
	ready   map[transport.ConnID]int
	asks    map[uint64]*wanted // asked and not over, by ask
	lastAsk uint64

	incarnations []uint64 // of the allocators, as last met
	keys         uint64

	Burst    float64 // times as many asks
	HotFirst float64 // share of the asks that goes to the first allocator besides
	Tally    Tally
}

// wanted is a workload that an owner wants.
type wanted struct {
	key     uint64
	service uint64
	demand  *Demand
	shape   [2]float64
	ends    placement.Millis // of its life
	tries   int
	asked   placement.Millis
	conn    transport.ConnID
	at      int // allocator
	placed  bool
	gone    bool
	gang    *wantedGang // that it is, or is a part of
	part    int
	want    *Want
	only    int // allocator that may be asked, counted from 1; 0 for any
}

// Want is a single workload as its owner wanted it.
type Want struct {
	From, Until   placement.Millis
	Service       uint64
	Group         string
	Cores, Memory float64
}

// wantIt notes a workload that is wanted for the first time.
func (o *Owner) wantIt(now placement.Millis, w *wanted) {
	w.want = &Want{now, w.ends, w.service, w.demand.Name, w.shape[0], w.shape[1]}
	o.Tally.Wants = append(o.Tally.Wants, w.want)
}

// NewOwner makes an owner; its number keeps its keys apart from those of others.
func NewOwner(name string, no int, m *OwnerModel, seed uint64) *Owner {
	return &Owner{
		name: name, no: no, model: m, rng: rand.New(rand.NewPCG(seed, uint64(no)+1)),
		wants: rand.New(rand.NewPCG(seed, uint64(no)<<32+2)),
		conns: make([]transport.ConnID, len(m.Allocators)), incarnations: make([]uint64, len(m.Allocators)), ready: map[transport.ConnID]int{}, asks: map[uint64]*wanted{},
		Burst: 1, Tally: Tally{Ended: map[pb.Why]int{}},
	}
}

func (o *Owner) Start(now placement.Millis, net transport.FrameNetwork) {
	o.now, o.net = now, net
	for i := range o.conns {
		o.dial(i)
	}
	o.timers.Schedule(max(now, o.model.From)+o.gap(), o.next)
	for i := range o.model.Gangs {
		o.timers.Schedule(max(now, o.model.From)+o.gangGap(i), func(now placement.Millis) { o.nextGang(now, i) })
	}
	o.wake()
}

func (o *Owner) dial(i int) {
	o.conns[i] = o.net.Dial(o.model.Allocators[i])
}

func (o *Owner) wake() {
	if at, ok := o.timers.Next(); ok {
		o.net.WakeAt(at)
	}
}

func (o *Owner) Wake(now placement.Millis) {
	o.now = now
	o.timers.RunDue(now)
	o.wake()
}

func (o *Owner) Opened(now placement.Millis, c transport.ConnID) {
	o.now = now
	o.net.Send(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_OWNER, Name: o.name, Incarnation: 1, SentMs: float64(now)}))
	o.wake()
}

func (o *Owner) Closed(now placement.Millis, c transport.ConnID, _ error) {
	o.now = now
	delete(o.ready, c)
	i := slices.Index(o.conns, c)
	if i < 0 {
		return
	}
	for _, no := range o.on(c) {
		w := o.asks[no]
		if w.placed {
			continue // it runs on; the allocator says more when it is back
		}
		o.Tally.Cut++
		delete(o.asks, no)
		switch {
		case w.gang != nil:
			o.gangAgain(now, w, true)
		case o.model.Insists && w.demand.Effect == placement.AtMostOnce:
			w.only = w.at + 1 // it knows whether the workload may have run
			o.again(now, w, false)
		default:
			o.again(now, w, true)
		}
	}
	o.conns[i] = 0
	o.timers.Schedule(now+placement.Millis(200+o.rng.Float64()*600), func(placement.Millis) { o.dial(i) })
	o.wake()
}

// on returns the asks that went over a connection and are not over, oldest first.
func (o *Owner) on(c transport.ConnID) (asks []uint64) {
	for no, w := range o.asks {
		if w.conn == c {
			asks = append(asks, no)
		}
	}
	slices.Sort(asks)
	return asks
}

func (o *Owner) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	o.now = now
	switch b := f.Body.(type) {
	case *pb.Frame_Hello:
		o.back(now, c, b.Hello)
	case *pb.Frame_Answer:
		o.answered(now, b.Answer)
	case *pb.Frame_Over:
		if w := o.asks[b.Over.Ask]; w != nil && w.placed && w.gang != nil {
			delete(o.asks, b.Over.Ask)
			o.gangOver(now, w, b.Over.Why)
		} else if w != nil && w.placed {
			delete(o.asks, b.Over.Ask)
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
func (o *Owner) back(now placement.Millis, c transport.ConnID, h *pb.Hello) {
	i := slices.Index(o.conns, c)
	o.ready[c] = i
	same := o.incarnations[i] == h.Incarnation
	o.incarnations[i] = h.Incarnation
	named := map[uint64]bool{}
	for _, s := range h.Standing {
		if no := s.Offer.Ask.Ask; !named[no] {
			named[no] = true
			if o.asks[no] == nil { // it was withdrawn while the allocator was away
				o.net.Send(c, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{Ask: no}}})
			}
		}
	}
	for _, no := range slices.Sorted(maps.Keys(o.asks)) {
		w := o.asks[no]
		switch {
		case !w.placed || w.at != i:
		case named[no] || !same:
			w.conn = c
		default:
			delete(o.asks, no)
			o.Tally.Ended[pb.Why_LOST]++
			if w.gang == nil {
				o.again(now, w, true)
			}
		}
	}
}

func (o *Owner) answered(now placement.Millis, a *pb.Answer) {
	w := o.asks[a.Ask]
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
		if w.tries == 1 {
			o.Tally.SinglesPlaced++
		}
		o.Tally.Waits = append(o.Tally.Waits, float64(now-w.asked))
		w.placed = true
	case pb.Verdict_REJECTED:
		o.Tally.Rejected++
		delete(o.asks, a.Ask)
		o.again(now, w, false)
	default:
		o.Tally.Unschedulable++
		delete(o.asks, a.Ask)
		o.again(now, w, true)
	}
}

// gap is the time until the next first ask.
func (o *Owner) gap() placement.Millis {
	return placement.Millis(min(60e3, o.wants.ExpFloat64()*1000/max(1e-6, o.model.Rate*o.Burst)))
}

// next asks for a new workload and comes again.
func (o *Owner) next(now placement.Millis) {
	if now >= o.model.Until {
		return
	}
	o.timers.Schedule(now+o.gap(), o.next)
	d := o.demand()
	service := o.wants.IntN(d.Services)
	o.keys++
	w := &wanted{
		key: uint64(o.no)<<40 | o.keys, service: serviceID(d.Name, service), demand: d,
		shape: d.Shapes[service%len(d.Shapes)], ends: now + o.life(d),
	}
	o.Tally.Firsts++
	o.Tally.SinglesFirst++
	o.wantIt(now, w)
	o.ask(now, w)
	if o.wants.Float64() < o.model.Withdraws {
		// Every other time so soon that the answer is on its way.
		within := hastily
		if o.wants.IntN(2) == 0 {
			within = d.Life
		}
		o.timers.Schedule(now+within*placement.Millis(o.wants.Float64()), func(now placement.Millis) { o.withdraw(now, w) })
	}
}

func (o *Owner) demand() *Demand {
	at, sum := o.wants.Float64(), 0.0
	for i := range o.model.Groups {
		if sum += o.model.Groups[i].Share; at < sum {
			return &o.model.Groups[i]
		}
	}
	return &o.model.Groups[len(o.model.Groups)-1]
}

// life is log-normal, long for a few.
func (o *Owner) life(d *Demand) placement.Millis {
	return max(leastLeft, d.Life*placement.Millis(math.Exp(o.wants.NormFloat64()*0.8-0.32)))
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
func (o *Owner) ask(now placement.Millis, w *wanted) {
	if w.gone {
		return
	}
	var there []transport.ConnID
	for i, c := range o.conns {
		if _, ok := o.ready[c]; ok && (w.only == 0 || w.only == i+1) {
			there = append(there, c)
		}
	}
	if len(there) == 0 {
		o.timers.Schedule(now+200, func(now placement.Millis) {
			if now < min(w.ends, o.model.Until) {
				o.ask(now, w)
			}
		})
		return
	}
	c := there[o.rng.IntN(len(there))]
	if o.rng.Float64() < o.HotFirst {
		c = there[0]
	}
	o.lastAsk++
	no := o.lastAsk
	w.tries++
	w.asked, w.conn, w.at, w.placed = now, c, o.ready[c], false
	o.asks[no] = w
	o.Tally.Asks++
	o.net.Send(c, &pb.Frame{Body: &pb.Frame_Ask{Ask: &pb.Ask{
		Ask: no, Key: w.key, Service: w.service, Group: w.demand.Name, Cores: w.shape[0], Memory: w.shape[1],
		LeftMs: float64(w.demand.Pending), RunsForMs: float64(w.ends - now), Again: w.tries > 1,
		SentMs: float64(now),
	}}})
	o.timers.Schedule(now+w.demand.Pending+o.model.Slack, func(now placement.Millis) { o.giveUp(now, no, w) })
}

func (o *Owner) giveUp(now placement.Millis, no uint64, w *wanted) {
	if o.asks[no] != w || w.placed {
		return
	}
	o.Tally.Unanswered++
	o.drop(no, w)
	if w.gang != nil {
		o.gangAgain(now, w, true)
		return
	}
	o.again(now, w, true)
}

// drop takes an ask back.
func (o *Owner) drop(no uint64, w *wanted) {
	delete(o.asks, no)
	o.net.Send(w.conn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{Ask: no}}})
}

// withdraw ends what the owner no longer wants, wherever it stands.
func (o *Owner) withdraw(now placement.Millis, w *wanted) {
	w.gone = true
	if w.want != nil {
		w.want.Until = min(w.want.Until, now)
	}
	for _, no := range slices.Sorted(maps.Keys(o.asks)) {
		if o.asks[no] == w {
			if !w.placed {
				o.Tally.Withdrawn++
			}
			o.drop(no, w)
		}
	}
}

// again asks once more while there is life left to run. What may have run is asked for again only where that
// is harmless, and once it has settled.
func (o *Owner) again(now placement.Millis, w *wanted, mayHaveRun bool) {
	wait := o.model.Again * placement.Millis(0.75+o.rng.Float64()/2)
	if mayHaveRun && w.demand.Effect == placement.AtMostOnce {
		return
	}
	if mayHaveRun && w.demand.Effect == placement.IdempotentByKey {
		wait = max(wait, settleAfter)
	}
	if w.tries >= o.model.Tries || now+wait+leastLeft > min(w.ends, o.model.Until) {
		return
	}
	o.timers.Schedule(now+wait, func(now placement.Millis) { o.ask(now, w) })
}

// Restart has the owner stop a share of its services and ask for all their workloads again, within a time.
func (o *Owner) Restart(now placement.Millis, share float64, within placement.Millis) {
	o.now = now
	done := map[*wanted]bool{}
	for _, no := range slices.Sorted(maps.Keys(o.asks)) {
		w := o.asks[no]
		if w == nil || done[w] || w.gone || w.gang != nil || spread(w.service+3)-0.5 >= share {
			continue
		}
		done[w] = true
		o.withdraw(now, w)
		o.keys++
		fresh := &wanted{
			key: uint64(o.no)<<40 | o.keys, service: w.service, demand: w.demand, shape: w.shape, ends: w.ends,
		}
		o.timers.Schedule(now+within*placement.Millis(o.rng.Float64()), func(now placement.Millis) {
			if now+leastLeft < min(fresh.ends, o.model.Until) {
				o.Tally.Firsts++
				o.Tally.SinglesFirst++
				o.wantIt(now, fresh)
				o.ask(now, fresh)
			}
		})
	}
	o.wake()
}

// Open is the number of asks that wait for an answer.
func (o *Owner) Open() int {
	n := 0
	for _, w := range o.asks {
		if !w.placed {
			n++
		}
	}
	return n
}
