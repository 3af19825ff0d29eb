// Package emulator provides stand-ins for the processes that allocators talk to: nodes, clients and the discovery service.
package emulator

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	usageNoteInterval     = placement.Millis(5e3) // ms between notes of what a workload uses
	firstUsageNote        = placement.Millis(800) // ms after its start
	pacedEvictionInterval = placement.Millis(300) // ms between workloads that a node sends away bit by bit
	maxAnswered           = 4096                  // binds whose answer a node remembers
	contentionSlowdown    = 4.0                   // factor by which starts take longer if demand is twice the cores
)

// errNotAllocator rejects a hello that is not an allocator's.
var errNotAllocator = errors.New("a node serves allocators")

// UsageSurge is resource use far above what was requested.
type UsageSurge struct {
	Group  string  // "" for every group
	Share  float64 // of the services, that surge
	Factor float64 // of their usual use
}

// Node emulates a machine. Faults set its exported fields, on its goroutine. It has more than fifteen fields as these faults act on
// its admission queue, its tasks and its reports alike.
type Node struct {
	id          uint32
	spec        *NodeSpec
	model       *scenario.NodeModel
	incarnation uint64
	startedAt   placement.Millis

	net    transport.FrameNetwork
	timers transport.Timers
	now    placement.Millis

	list               transport.ConnID
	peers              map[transport.ConnID]string // allocator's name, "" before its hello
	conns              map[string]transport.ConnID
	latestIncarnation  map[string]uint64 // latest incarnation met of each allocator
	queue              []*queuedFrame
	admitting          bool
	tasks              []*Task // in the order of their acceptance
	byBind             map[observer.BindKey]*Task
	answered           map[observer.BindKey]*pb.OfferAnswer
	answeredOrder      []observer.BindKey // of answered
	toStart            []*Task
	starting           int
	programs           []uint64 // cached, latest last
	load               *pb.Load
	loadAt             placement.Millis
	arrivals           []placement.Millis // of offers while warming up
	draining           bool
	overloaded         bool
	Slowdown           float64 // multiplies the time of admissions and starts
	NeighbourShare     float64 // share of the machine that another program takes
	ThrottledGroup     string  // group whose offers are rejected without a reason
	Surge              UsageSurge
	UnderreportedShare float64                  // share of its load that it does not report
	StartsBlocked      bool                     // it accepts offers, and starts nothing
	Leaves             bool                     // it registers as gone for good
	OnOverload         func()                   // called when too many offers while warming up made it fail
	OnRunning          func(t *Task, runs bool) // called when a workload starts and when it ends
}

// NodeSpec describes one machine of a run.
type NodeSpec struct {
	ID            uint32
	Kind          string
	Zone, Cell    string
	Cores, Memory float64
	ListAddr      string
	Addr          string
	CoreTime      float64 // core milliseconds for which single workloads ran while clients sent requests
}

// queuedFrame is an offer or a health check in the admission queue.
type queuedFrame struct {
	offer     *pb.Offer
	probe     uint64
	from      transport.ConnID
	arrived   placement.Millis
	cancelled bool // by a stop
}

// Task is a workload that was accepted.
type Task struct {
	Offer        *pb.Offer
	group        *scenario.GroupModel
	running      bool
	ended        bool
	confirmed    bool // its gang has started
	RunningSince placement.Millis
	cores        float64 // in use while it runs
	memory       float64
}

// NewNode returns a node without workloads. In its first incarnation it has been up for long.
func NewNode(spec *NodeSpec, m *scenario.NodeModel, boot uint64) *Node {
	return &Node{
		id: spec.ID, spec: spec, model: m, incarnation: boot, startedAt: placement.DistantPast, peers: map[transport.ConnID]string{},
		conns: map[string]transport.ConnID{}, latestIncarnation: map[string]uint64{}, byBind: map[observer.BindKey]*Task{},
		answered: map[observer.BindKey]*pb.OfferAnswer{}, Slowdown: 1,
	}
}

// Start implements transport.FrameHandler.
func (n *Node) Start(now placement.Millis, net transport.FrameNetwork) {
	n.net, n.now = net, now
	if n.incarnation > 1 {
		n.startedAt = now
	}
	n.dialList(now)
	n.report(now)
	n.wake()
}

func (n *Node) dialList(placement.Millis) { n.list = n.net.Dial(n.spec.ListAddr) }

func (n *Node) wake() {
	if at, ok := n.timers.Next(); ok {
		n.net.WakeAt(at)
	}
}

// Wake implements transport.FrameHandler.
func (n *Node) Wake(now placement.Millis) {
	n.now = now
	n.timers.RunDue(now)
	n.wake()
}

// Opened implements transport.FrameHandler.
func (n *Node) Opened(now placement.Millis, c transport.ConnID) {
	n.now = now
	if c == n.list {
		n.net.Send(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "node", Node: n.id, Incarnation: n.incarnation}))
		n.register(now)
	} else {
		n.peers[c] = ""
	}
	n.wake()
}

// Closed implements transport.FrameHandler.
func (n *Node) Closed(now placement.Millis, c transport.ConnID, _ error) {
	n.now = now
	if c == n.list {
		n.timers.Schedule(now+500, n.dialList)
	} else {
		if name := n.peers[c]; n.conns[name] == c {
			delete(n.conns, name)
		}
		delete(n.peers, c)
	}
	n.wake()
}

// Received implements transport.FrameHandler.
func (n *Node) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	n.now = now
	name, known := n.peers[c]
	switch {
	case !known:
	case name == "":
		n.handshake(c, f)
	default:
		switch b := f.Body.(type) {
		case *pb.Frame_Offer:
			n.offered(now, c, b.Offer)
		case *pb.Frame_Stop:
			n.stopped(now, b.Stop)
		case *pb.Frame_Keep:
			if t := n.byBind[observer.KeyOf(b.Keep.Bind)]; t != nil {
				t.confirmed = true
			}
		case *pb.Frame_Probe:
			n.enqueue(now, &queuedFrame{probe: b.Probe.Id, from: c, arrived: now})
		}
	}
	n.wake()
}

// greet tells an allocator what of its workloads stands here.
func (n *Node) handshake(c transport.ConnID, f *pb.Frame) {
	h, err := transport.CheckHello(f)
	if err == nil && h.Role != pb.Role_ALLOCATOR {
		err = errNotAllocator
	}
	if err != nil {
		n.net.Send(c, transport.RefusalFrame(err.Error()))
		n.net.Close(c)
		delete(n.peers, c)
		return
	}
	n.peers[c], n.conns[h.Name] = h.Name, c
	n.latestIncarnation[h.Name] = max(n.latestIncarnation[h.Name], h.Incarnation)
	hello := &pb.Hello{
		Role: pb.Role_NODE, Name: "node", Node: n.id, Incarnation: n.incarnation,
		ConfirmsRunning: n.model.ConfirmsRunning, Draining: n.draining, UpForMs: n.upFor(n.now),
	}
	for _, t := range n.tasks {
		if t.Offer.Bind.Allocator == h.Name && (t.running || !n.model.ConfirmsRunning) {
			hello.Standing = append(hello.Standing, &pb.Standing{Offer: t.Offer, Running: t.running, Kept: t.confirmed})
		}
	}
	n.net.Send(c, transport.HelloFrame(hello))
}

// cold tells whether the node is, and at which share of its pace it then starts workloads.
func (n *Node) warmUpRate(now placement.Millis) (pace float64, cold bool) {
	up := now - n.startedAt
	if up >= n.model.WarmUpDuration {
		return 1, false
	}
	return n.model.InitialRate + (1-n.model.InitialRate)*float64(up/n.model.WarmUpDuration), true
}

// offered puts an offer in line. Too many at a cold node push it over.
func (n *Node) offered(now placement.Millis, c transport.ConnID, o *pb.Offer) {
	if n.overloaded {
		return
	}
	if a := n.answered[observer.KeyOf(o.Bind)]; a != nil {
		n.net.Send(c, &pb.Frame{Body: &pb.Frame_OfferAnswer{OfferAnswer: a}})
		return
	}
	if n.byBind[observer.KeyOf(o.Bind)] != nil || slices.ContainsFunc(n.queue, func(w *queuedFrame) bool {
		return w.offer != nil && observer.KeyOf(w.offer.Bind) == observer.KeyOf(o.Bind)
	}) {
		return // it came twice, and is answered once
	}
	if pace, cold := n.warmUpRate(now); cold {
		arrived := now
		if g, ok := n.net.(interface{ Arrived() placement.Millis }); ok {
			arrived = g.Arrived()
		}
		n.arrivals = append(n.arrivals, arrived)
		n.arrivals = slices.DeleteFunc(n.arrivals, func(at placement.Millis) bool { return at < now-n.model.OverloadWindow })
		if float64(len(n.arrivals)) > n.model.BindLimit(pace) {
			n.overloaded = true
			n.timers.Schedule(now, func(placement.Millis) { n.OnOverload() })
			return
		}
	}
	n.enqueue(now, &queuedFrame{offer: o, from: c, arrived: now})
}

func (n *Node) enqueue(now placement.Millis, w *queuedFrame) {
	if len(n.queue) >= n.model.QueueLimit {
		n.decline(now, w, pb.Why_TOO_MANY_WAITING, "too many offers wait")
		return
	}
	n.queue = append(n.queue, w)
	n.admitNext(now)
}

// look takes the first of the line, if nothing is looked at.
func (n *Node) admitNext(now placement.Millis) {
	if n.admitting || len(n.queue) == 0 {
		return
	}
	n.admitting = true
	w := n.queue[0]
	n.timers.Schedule(now+n.model.AdmissionTime*placement.Millis(n.Slowdown), func(now placement.Millis) {
		n.admitting = false
		n.queue = n.queue[1:]
		n.decide(now, w)
		n.admitNext(now)
	})
}

func (n *Node) decide(now placement.Millis, w *queuedFrame) {
	if w.offer == nil {
		n.net.Send(w.from, &pb.Frame{Body: &pb.Frame_ProbeAnswer{ProbeAnswer: &pb.ProbeAnswer{Id: w.probe, Load: n.loadNow(now)}}})
		return
	}
	o := w.offer
	cores, memory := n.requested()
	switch {
	case w.cancelled:
		n.decline(now, w, pb.Why_NOT_HERE, "called off")
	case now-w.arrived > placement.Millis(o.AcceptWithinMs):
		n.decline(now, w, pb.Why_NOT_HERE, "too late")
	case o.Bind.Incarnation < n.latestIncarnation[o.Bind.Allocator]:
		n.decline(now, w, pb.Why_NOT_HERE, "from an earlier incarnation of the allocator")
	case n.draining:
		n.decline(now, w, pb.Why_NOT_HERE, "draining")
	case n.ThrottledGroup == o.Ask.Group:
		n.decline(now, w, pb.Why_WHY_UNSPECIFIED, "")
	case n.hasWorkload(o):
		n.decline(now, w, pb.Why_NOT_HERE, "a copy stands here")
	case cores+o.Ask.Cores > n.model.CoreOvercommit*n.spec.Cores:
		n.decline(now, w, pb.Why_NO_CORES, "no cores left")
	case memory+o.Ask.Memory > n.model.MemoryOvercommit*n.spec.Memory:
		n.decline(now, w, pb.Why_NO_MEMORY, "no memory left")
	default:
		n.accept(now, o)
	}
}

func (n *Node) hasWorkload(o *pb.Offer) bool {
	return slices.ContainsFunc(n.tasks, func(t *Task) bool { return t.Offer.Ask.Key == o.Ask.Key })
}

// requested returns the cores and memory that the accepted workloads request.
func (n *Node) requested() (cores, memory float64) {
	for _, t := range n.tasks {
		cores += t.Offer.Ask.Cores
		memory += t.Offer.Ask.Memory
	}
	return cores, memory
}

func (n *Node) accept(now placement.Millis, o *pb.Offer) {
	t := &Task{Offer: o, group: n.model.Groups[o.Ask.Group]}
	n.tasks = append(n.tasks, t)
	n.byBind[observer.KeyOf(o.Bind)] = t
	if !n.model.ConfirmsRunning {
		n.answer(now, o.Bind, &pb.OfferAnswer{Bind: o.Bind, Accepted: true, Load: n.loadNow(now)})
	}
	n.toStart = append(n.toStart, t)
	n.startNext(now)
	// A part that nobody declared standing ends by itself, by this node's own clock: its allocator may be no more.
	if g := o.Gang; g != nil {
		n.timers.Schedule(now+placement.Millis(g.LeaseMs), func(now placement.Millis) {
			if !t.confirmed {
				n.end(now, t, pb.Why_LEASE_OVER)
			}
		})
	}
}

func (n *Node) decline(now placement.Millis, w *queuedFrame, why pb.Why, text string) {
	if w.offer == nil {
		return // a probe that finds no place is not answered
	}
	n.answer(now, w.offer.Bind, &pb.OfferAnswer{Bind: w.offer.Bind, Why: why, Text: text, Load: n.loadNow(now)})
}

// answer gives a bind its one answer, and remembers it in case the offer comes again.
func (n *Node) answer(_ placement.Millis, b *pb.BindID, a *pb.OfferAnswer) {
	k := observer.KeyOf(b)
	n.answered[k] = a
	if n.answeredOrder = append(n.answeredOrder, k); len(n.answeredOrder) > maxAnswered {
		delete(n.answered, n.answeredOrder[0])
		n.answeredOrder = n.answeredOrder[1:]
	}
	n.sendTo(b.Allocator, &pb.Frame{Body: &pb.Frame_OfferAnswer{OfferAnswer: a}})
}

// tell sends to an allocator if it is connected.
func (n *Node) sendTo(allocator string, f *pb.Frame) {
	if c, ok := n.conns[allocator]; ok {
		n.net.Send(c, f)
	}
}

func (n *Node) startNext(now placement.Millis) {
	for n.starting < n.model.ConcurrentStarts && len(n.toStart) > 0 && !n.StartsBlocked {
		t := n.toStart[0]
		n.toStart = n.toStart[1:]
		if t.ended {
			continue
		}
		n.starting++
		n.timers.Schedule(now+n.startTime(now, t), func(now placement.Millis) {
			n.starting--
			if !t.ended {
				n.started(now, t)
			}
			n.startNext(now)
		})
	}
}

func (n *Node) startTime(now placement.Millis, t *Task) placement.Millis {
	work := float64(t.group.StartTime) * n.Slowdown
	s := t.Offer.Ask.Service
	if !slices.Contains(n.programs, s) &&
		!slices.ContainsFunc(n.tasks, func(o *Task) bool { return o.running && o.Offer.Ask.Service == s }) {
		work *= n.model.UncachedStartFactor
	}
	pace, _ := n.warmUpRate(now)
	work *= 1 + contentionSlowdown*max(0, n.coreDemand()-1)
	return placement.Millis(work / pace)
}

func (n *Node) started(now placement.Millis, t *Task) {
	t.running = true
	if n.OnRunning != nil {
		n.OnRunning(t, true)
	}
	t.cores = t.Offer.Ask.Cores * t.group.CoreUse * ServiceFactor(t.Offer.Ask.Service)
	t.memory = t.Offer.Ask.Memory * t.group.MemoryUse * ServiceFactor(t.Offer.Ask.Service+1)
	n.programs = slices.DeleteFunc(n.programs, func(s uint64) bool { return s == t.Offer.Ask.Service })
	if n.model.ConfirmsRunning {
		n.answer(now, t.Offer.Bind, &pb.OfferAnswer{Bind: t.Offer.Bind, Accepted: true, Load: n.loadNow(now)})
	} else {
		n.note(t, pb.Note_RUNNING, 1)
	}
	n.timers.Schedule(now+placement.Millis(t.Offer.Ask.RunsForMs), func(now placement.Millis) { n.end(now, t, pb.Why_FINISHED) })
	n.timers.Schedule(now+firstUsageNote, func(now placement.Millis) { n.noteUse(now, t) })
}

// ServiceFactor returns a factor between 0.5 and 1.5 that depends on the service alone.
func ServiceFactor(service uint64) float64 {
	return 0.5 + float64((service*0x9e3779b97f4a7c15)>>40&1023)/1023
}

func (n *Node) note(t *Task, k pb.Note_Kind, value float64) {
	n.sendTo(t.Offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_Note{Note: &pb.Note{Bind: t.Offer.Bind, Kind: k, Value: value}}})
}

func (n *Node) noteUse(now placement.Millis, t *Task) {
	if t.ended {
		return
	}
	n.note(t, pb.Note_CORES_USED, t.cores*n.surgeFactor(t))
	n.timers.Schedule(now+usageNoteInterval, func(now placement.Millis) { n.noteUse(now, t) })
}

// excess is how many times its usual use a workload now has.
func (n *Node) surgeFactor(t *Task) float64 {
	w, a := n.Surge, t.Offer.Ask
	if w.Factor > 1 && (w.Group == "" || w.Group == a.Group) && ServiceFactor(a.Service+2)-0.5 < w.Share {
		return w.Factor
	}
	return 1
}

// end takes a workload off the node.
func (n *Node) end(now placement.Millis, t *Task, why pb.Why) {
	if t.ended {
		return
	}
	t.ended = true
	n.tasks = slices.DeleteFunc(n.tasks, func(o *Task) bool { return o == t })
	delete(n.byBind, observer.KeyOf(t.Offer.Bind))
	if t.running && n.OnRunning != nil {
		n.OnRunning(t, false)
	}
	if t.running && n.model.CachedPrograms > 0 {
		s := t.Offer.Ask.Service
		n.programs = slices.DeleteFunc(n.programs, func(o uint64) bool { return o == s })
		if n.programs = append(n.programs, s); len(n.programs) > n.model.CachedPrograms {
			n.programs = n.programs[1:]
		}
	}
	if !t.running && n.model.ConfirmsRunning {
		n.answer(now, t.Offer.Bind, &pb.OfferAnswer{Bind: t.Offer.Bind, Why: why, Text: "ended before it ran", Load: n.loadNow(now)})
		return
	}
	n.sendTo(t.Offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: t.Offer.Bind, Why: why, Load: n.loadNow(now)}}})
}

// stopped takes a bind back, from the line or, unless only that was wanted, from the node.
func (n *Node) stopped(now placement.Millis, s *pb.Stop) {
	k := observer.KeyOf(s.Bind)
	for _, w := range n.queue {
		if w.offer != nil && observer.KeyOf(w.offer.Bind) == k {
			w.cancelled = true
			return
		}
	}
	switch t := n.byBind[k]; {
	case t == nil: // it ended before, and word of that may have been lost
		n.sendTo(s.Bind.Allocator, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: s.Bind, Why: pb.Why_STOPPED}}})
	case !s.OnlyWaiting:
		n.end(now, t, pb.Why_STOPPED)
	}
}

// report measures the load every ReportEvery, evicts where memory has run out, and tells the list.
func (n *Node) report(now placement.Millis) {
	for used := n.memoryUsed(); used > n.spec.Memory && len(n.tasks) > 0; used = n.memoryUsed() {
		n.end(now, n.evictionCandidate(), pb.Why_EVICTED)
	}
	cores := n.coresUsed()
	spare, memory := n.spec.Cores-cores, n.spec.Memory-n.memoryUsed()
	backlog, util := float64(len(n.queue)+len(n.toStart)+n.starting), min(1, n.coreDemand())
	if n.UnderreportedShare > 0 {
		spare, memory = spare+n.UnderreportedShare*(n.spec.Cores-spare), memory+n.UnderreportedShare*(n.spec.Memory-memory)
		backlog, util = backlog*(1-n.UnderreportedShare), util*(1-n.UnderreportedShare)
	}
	n.load = &pb.Load{SpareCores: &spare, SpareMemory: &memory, Backlog: &backlog, Utilization: &util}
	n.loadAt = now
	n.register(now)
	n.timers.Schedule(now+n.model.ReportInterval, n.report)
}

func (n *Node) evictionCandidate() *Task {
	return slices.MinFunc(n.tasks, func(x, y *Task) int {
		return cmp.Or(cmp.Compare(x.group.EvictionRank, y.group.EvictionRank),
			cmp.Compare(y.memory*n.surgeFactor(y)-y.Offer.Ask.Memory, x.memory*n.surgeFactor(x)-x.Offer.Ask.Memory))
	})
}

func (n *Node) coresUsed() float64 {
	used := n.NeighbourShare*n.spec.Cores + float64(n.starting)
	for _, t := range n.tasks {
		used += t.cores * n.surgeFactor(t)
	}
	return min(used, n.spec.Cores)
}

func (n *Node) memoryUsed() float64 {
	used := 0.0
	for _, t := range n.tasks {
		used += t.memory * n.surgeFactor(t)
	}
	return used
}

// busy is the cores that are wanted over those that are there; over 1 nobody gets all that it wants.
func (n *Node) coreDemand() float64 {
	wanted := float64(n.starting)
	for _, t := range n.tasks {
		wanted += t.cores * n.surgeFactor(t)
	}
	return wanted / max(0.1, n.spec.Cores*(1-n.NeighbourShare))
}

// loadNow is the last report with its age.
func (n *Node) loadNow(now placement.Millis) *pb.Load {
	if n.load == nil {
		return nil
	}
	return &pb.Load{
		SpareCores: n.load.SpareCores, SpareMemory: n.load.SpareMemory, Backlog: n.load.Backlog,
		Utilization: n.load.Utilization, AgeMs: float64(now - n.loadAt),
	}
}

// register sends the node's state and unrequested capacity to the discovery service.
func (n *Node) register(now placement.Millis) {
	cores, memory := n.requested()
	state := pb.NodeEntry_READY
	switch {
	case n.Leaves:
		state = pb.NodeEntry_GONE
	case n.draining:
		state = pb.NodeEntry_DRAINING
	}
	n.net.Send(n.list, &pb.Frame{Body: &pb.Frame_Register{Register: &pb.NodeEntry{
		Id: n.id, State: state, Kind: n.spec.Kind, Zone: n.spec.Zone, Cell: n.spec.Cell, Boot: n.incarnation, UpForMs: n.upFor(now),
		FreeCores: n.spec.Cores - cores, FreeMemory: n.spec.Memory - memory, Address: n.spec.Addr,
	}}})
}

// upFor returns the time since the node's start in ms, or -1 if it is not known.
func (n *Node) upFor(now placement.Millis) float64 {
	if math.IsInf(float64(n.startedAt), -1) {
		return -1
	}
	return float64(now - n.startedAt)
}

// Drain sets whether the node drains, and announces it.
func (n *Node) Drain(now placement.Millis, draining bool) {
	n.now = now
	n.draining = draining
	n.register(now)
	if n.model.AnnouncesDrain {
		for _, c := range n.allocators() {
			n.net.Send(c, &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}})
		}
	}
	if draining && n.model.DrainMode != scenario.DrainKeeps {
		n.evictAll(now)
	}
	n.wake()
}

// allocators are the connections to allocators that have said who they are, oldest first.
func (n *Node) allocators() (conns []transport.ConnID) {
	for c, name := range n.peers {
		if name != "" {
			conns = append(conns, c)
		}
	}
	slices.Sort(conns)
	return conns
}

func (n *Node) evictAll(now placement.Millis) {
	for n.draining && len(n.tasks) > 0 {
		n.end(now, n.tasks[0], pb.Why_SENT_AWAY)
		if n.model.DrainMode == scenario.DrainPaced {
			n.timers.Schedule(now+pacedEvictionInterval, n.evictAll)
			return
		}
	}
}

// UnblockStarts starts what was accepted while starts were blocked.
func (n *Node) UnblockStarts(now placement.Millis) {
	n.now, n.StartsBlocked = now, false
	n.startNext(now)
	n.wake()
}

// Stop ends the accounting of what runs on the node.
func (n *Node) Stop() {
	for _, t := range n.tasks {
		if t.running && n.OnRunning != nil {
			n.OnRunning(t, false)
		}
	}
}

// DropCachedPrograms drops that share of the cached programs.
func (n *Node) DropCachedPrograms(share float64) {
	n.programs = n.programs[int(math.Ceil(share*float64(len(n.programs)))):]
}
