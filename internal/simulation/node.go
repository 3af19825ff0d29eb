package simulation

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	noteEvery    = placement.Millis(5e3) // ms between notes of what a workload uses
	firstNote    = placement.Millis(800) // ms after its start
	pacedAway    = placement.Millis(300) // ms between workloads that a node sends away bit by bit
	rememberMost = 4096                  // binds whose answer a node remembers
	crowdedSlow  = 4.0                   // times slower that starts get while the cores are asked for twice over
)

// errNotAllocator rejects a hello that is not an allocator's.
var errNotAllocator = errors.New("a node serves allocators")

// NodeModel is how the nodes of a day behave.
type NodeModel struct {
	OverCores, OverMemory float64          // asks are accepted up to so many times the node's size
	Admit                 placement.Millis // looking at one ask
	Line                  int              // asks that wait to be looked at
	Starts                int              // at a time
	Setup                 float64          // times as long where the program is not kept
	Kept                  int              // programs, after their last workload
	ReportEvery           placement.Millis
	ConfirmsRunning       bool
	Away                  string // what a draining node does with its workloads: keeps, paced, at-once
	TellsDrain            bool   // to allocators itself, besides the list
	ColdFrom              float64
	ColdFor               placement.Millis
	ColdBears             float64
	Overload              float64 // times what a cold node can start that push it over, for OverloadFor
	OverloadFor           placement.Millis
	Groups                map[string]*GroupModel
}

// GroupModel is how the workloads of a group behave on a node.
type GroupModel struct {
	Work          placement.Millis // start work where the program is kept
	Cores, Memory float64          // share of the ask that is used, in the mean
	Rank          int              // lower ones are evicted first
}

// Swelling is use far over the asks.
type Swelling struct {
	Group string  // "" for every group
	Part  float64 // of the services
	Times float64 // their usual use
}

// Node is a stand-in for a machine. Its faults are set from outside, on its goroutine.
type Node struct {
	id    uint32
	spec  *NodeSpec
	model *NodeModel
	boot  uint64
	born  placement.Millis

	net    transport.FrameNetwork
	timers transport.Timers
	now    placement.Millis

	list      transport.ConnID
	peers     map[transport.ConnID]string // allocator's name, "" before its hello
	conns     map[string]transport.ConnID
	fence     map[string]uint64 // latest incarnation met of each allocator
	line      []*waiting
	looking   bool
	tasks     []*task // in the order of their acceptance
	byBind    map[bindKey]*task
	answered  map[bindKey]*pb.OfferAnswer
	order     []bindKey // of answered
	toStart   []*task
	starting  int
	programs  []uint64 // kept, latest last
	load      *pb.Load
	loadAt    placement.Millis
	arrivals  []placement.Millis // offers while cold
	draining  bool
	fallen    bool
	Slow      float64 // times slower
	Neighbour float64 // share of the machine that another program takes
	Throttled string  // group that is turned away without a reason
	Swells    Swelling
	Lies      float64                  // share of its load that it does not report
	Stuck     bool                     // accepts, and starts nothing
	Leaves    bool                     // the list is told that it goes for good
	Fell      func()                   // called when it was pushed over
	Runs      func(t *task, runs bool) // called as a workload begins to run, and as it ends
}

// NodeSpec is one machine of a day.
type NodeSpec struct {
	ID            uint32
	Kind          string
	Zone, Cell    string
	Cores, Memory float64
	ListAddr      string
	Addr          string
	ran           float64 // core milliseconds that single workloads ran while owners asked
}

type bindKey struct {
	allocator   string
	incarnation uint64
	workload    uint64
	number      uint32
}

func keyOf(b *pb.BindID) bindKey {
	return bindKey{b.GetAllocator(), b.GetIncarnation(), b.GetWorkload(), b.GetNumber()}
}

// waiting is an offer or a probe in the admission line.
type waiting struct {
	offer   *pb.Offer
	probe   uint64
	from    transport.ConnID
	arrived placement.Millis
	off     bool // called off meanwhile
}

// task is a workload that was accepted.
type task struct {
	offer   *pb.Offer
	group   *GroupModel
	running bool
	over    bool
	kept    bool // its gang stands
	since   placement.Millis
	cores   float64 // in use when it runs
	memory  float64
}

// NewNode makes a node; its earlier incarnations left nothing. At its first boot it has been up for long.
func NewNode(spec *NodeSpec, m *NodeModel, boot uint64) *Node {
	return &Node{
		id: spec.ID, spec: spec, model: m, boot: boot, born: placement.DistantPast, peers: map[transport.ConnID]string{},
		conns: map[string]transport.ConnID{}, fence: map[string]uint64{}, byBind: map[bindKey]*task{},
		answered: map[bindKey]*pb.OfferAnswer{}, Slow: 1,
	}
}

func (n *Node) Start(now placement.Millis, net transport.FrameNetwork) {
	n.net, n.now = net, now
	if n.boot > 1 {
		n.born = now
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

func (n *Node) Wake(now placement.Millis) {
	n.now = now
	n.timers.RunDue(now)
	n.wake()
}

func (n *Node) Opened(now placement.Millis, c transport.ConnID) {
	n.now = now
	if c == n.list {
		n.net.Send(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "node", Node: n.id, Incarnation: n.boot}))
		n.register(now)
	} else {
		n.peers[c] = ""
	}
	n.wake()
}

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

func (n *Node) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	n.now = now
	name, known := n.peers[c]
	switch {
	case !known:
	case name == "":
		n.greet(c, f)
	default:
		switch b := f.Body.(type) {
		case *pb.Frame_Offer:
			n.offered(now, c, b.Offer)
		case *pb.Frame_Stop:
			n.stopped(now, b.Stop)
		case *pb.Frame_Keep:
			if t := n.byBind[keyOf(b.Keep.Bind)]; t != nil {
				t.kept = true
			}
		case *pb.Frame_Probe:
			n.enter(now, &waiting{probe: b.Probe.Id, from: c, arrived: now})
		}
	}
	n.wake()
}

// greet tells an allocator what of its workloads stands here.
func (n *Node) greet(c transport.ConnID, f *pb.Frame) {
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
	n.fence[h.Name] = max(n.fence[h.Name], h.Incarnation)
	hello := &pb.Hello{
		Role: pb.Role_NODE, Name: "node", Node: n.id, Incarnation: n.boot,
		ConfirmsRunning: n.model.ConfirmsRunning, Draining: n.draining, UpForMs: n.upFor(n.now),
	}
	for _, t := range n.tasks {
		if t.offer.Bind.Allocator == h.Name && (t.running || !n.model.ConfirmsRunning) {
			hello.Standing = append(hello.Standing, &pb.Standing{Offer: t.offer, Running: t.running, Kept: t.kept})
		}
	}
	n.net.Send(c, transport.HelloFrame(hello))
}

// cold tells whether the node is, and at which share of its pace it then starts workloads.
func (n *Node) cold(now placement.Millis) (pace float64, cold bool) {
	up := now - n.born
	if up >= n.model.ColdFor {
		return 1, false
	}
	return n.model.ColdFrom + (1-n.model.ColdFrom)*float64(up/n.model.ColdFor), true
}

// offered puts an offer in line. Too many at a cold node push it over.
func (n *Node) offered(now placement.Millis, c transport.ConnID, o *pb.Offer) {
	if n.fallen {
		return
	}
	if a := n.answered[keyOf(o.Bind)]; a != nil {
		n.net.Send(c, &pb.Frame{Body: &pb.Frame_OfferAnswer{OfferAnswer: a}})
		return
	}
	if n.byBind[keyOf(o.Bind)] != nil || slices.ContainsFunc(n.line, func(w *waiting) bool {
		return w.offer != nil && keyOf(w.offer.Bind) == keyOf(o.Bind)
	}) {
		return // it came twice, and is answered once
	}
	if pace, cold := n.cold(now); cold {
		arrived := now
		if g, ok := n.net.(interface{ Arrived() placement.Millis }); ok {
			arrived = g.Arrived()
		}
		n.arrivals = append(n.arrivals, arrived)
		n.arrivals = slices.DeleteFunc(n.arrivals, func(at placement.Millis) bool { return at < now-n.model.OverloadFor })
		if float64(len(n.arrivals)) > n.model.bears(pace) {
			n.fallen = true
			n.timers.Schedule(now, func(placement.Millis) { n.Fell() })
			return
		}
	}
	n.enter(now, &waiting{offer: o, from: c, arrived: now})
}

// bears is the number of offers within OverloadFor that a cold node stands at that pace.
func (m *NodeModel) bears(pace float64) float64 {
	work := 1.0
	for _, g := range m.Groups {
		work = max(work, float64(g.Work)*m.Setup)
	}
	return max(m.ColdBears, m.Overload*pace*float64(m.Starts)/work*float64(m.OverloadFor))
}

func (n *Node) enter(now placement.Millis, w *waiting) {
	if len(n.line) >= n.model.Line {
		n.decline(now, w, pb.Why_TOO_MANY_WAITING, "too many offers wait")
		return
	}
	n.line = append(n.line, w)
	n.look(now)
}

// look takes the first of the line, if nothing is looked at.
func (n *Node) look(now placement.Millis) {
	if n.looking || len(n.line) == 0 {
		return
	}
	n.looking = true
	w := n.line[0]
	n.timers.Schedule(now+n.model.Admit*placement.Millis(n.Slow), func(now placement.Millis) {
		n.looking = false
		n.line = n.line[1:]
		n.decide(now, w)
		n.look(now)
	})
}

func (n *Node) decide(now placement.Millis, w *waiting) {
	if w.offer == nil {
		n.net.Send(w.from, &pb.Frame{Body: &pb.Frame_ProbeAnswer{ProbeAnswer: &pb.ProbeAnswer{Id: w.probe, Load: n.loadNow(now)}}})
		return
	}
	o := w.offer
	cores, memory := n.asked()
	switch {
	case w.off:
		n.decline(now, w, pb.Why_NOT_HERE, "called off")
	case now-w.arrived > placement.Millis(o.AcceptWithinMs):
		n.decline(now, w, pb.Why_NOT_HERE, "too late")
	case o.Bind.Incarnation < n.fence[o.Bind.Allocator]:
		n.decline(now, w, pb.Why_NOT_HERE, "from an earlier incarnation of the allocator")
	case n.draining:
		n.decline(now, w, pb.Why_NOT_HERE, "draining")
	case n.Throttled == o.Ask.Group:
		n.decline(now, w, pb.Why_WHY_UNSPECIFIED, "")
	case n.copyStands(o):
		n.decline(now, w, pb.Why_NOT_HERE, "a copy stands here")
	case cores+o.Ask.Cores > n.model.OverCores*n.spec.Cores:
		n.decline(now, w, pb.Why_NO_CORES, "no cores left")
	case memory+o.Ask.Memory > n.model.OverMemory*n.spec.Memory:
		n.decline(now, w, pb.Why_NO_MEMORY, "no memory left")
	default:
		n.accept(now, o)
	}
}

func (n *Node) copyStands(o *pb.Offer) bool {
	return slices.ContainsFunc(n.tasks, func(t *task) bool { return t.offer.Ask.Key == o.Ask.Key })
}

// asked is what those here ask for.
func (n *Node) asked() (cores, memory float64) {
	for _, t := range n.tasks {
		cores += t.offer.Ask.Cores
		memory += t.offer.Ask.Memory
	}
	return cores, memory
}

func (n *Node) accept(now placement.Millis, o *pb.Offer) {
	t := &task{offer: o, group: n.model.Groups[o.Ask.Group]}
	n.tasks = append(n.tasks, t)
	n.byBind[keyOf(o.Bind)] = t
	if !n.model.ConfirmsRunning {
		n.answer(now, o.Bind, &pb.OfferAnswer{Bind: o.Bind, Accepted: true, Load: n.loadNow(now)})
	}
	n.toStart = append(n.toStart, t)
	n.startNext(now)
	// A part that nobody declared standing ends by itself, by this node's own clock: its allocator may be no more.
	if g := o.Gang; g != nil {
		n.timers.Schedule(now+placement.Millis(g.LeaseMs), func(now placement.Millis) {
			if !t.kept {
				n.end(now, t, pb.Why_LEASE_OVER)
			}
		})
	}
}

func (n *Node) decline(now placement.Millis, w *waiting, why pb.Why, text string) {
	if w.offer == nil {
		return // a probe that finds no place is not answered
	}
	n.answer(now, w.offer.Bind, &pb.OfferAnswer{Bind: w.offer.Bind, Why: why, Text: text, Load: n.loadNow(now)})
}

// answer gives a bind its one answer, and remembers it in case the offer comes again.
func (n *Node) answer(_ placement.Millis, b *pb.BindID, a *pb.OfferAnswer) {
	k := keyOf(b)
	n.answered[k] = a
	if n.order = append(n.order, k); len(n.order) > rememberMost {
		delete(n.answered, n.order[0])
		n.order = n.order[1:]
	}
	n.tell(b.Allocator, &pb.Frame{Body: &pb.Frame_OfferAnswer{OfferAnswer: a}})
}

// tell sends to an allocator if it is connected.
func (n *Node) tell(allocator string, f *pb.Frame) {
	if c, ok := n.conns[allocator]; ok {
		n.net.Send(c, f)
	}
}

func (n *Node) startNext(now placement.Millis) {
	for n.starting < n.model.Starts && len(n.toStart) > 0 && !n.Stuck {
		t := n.toStart[0]
		n.toStart = n.toStart[1:]
		if t.over {
			continue
		}
		n.starting++
		n.timers.Schedule(now+n.startTime(now, t), func(now placement.Millis) {
			n.starting--
			if !t.over {
				n.started(now, t)
			}
			n.startNext(now)
		})
	}
}

func (n *Node) startTime(now placement.Millis, t *task) placement.Millis {
	work := float64(t.group.Work) * n.Slow
	s := t.offer.Ask.Service
	if !slices.Contains(n.programs, s) &&
		!slices.ContainsFunc(n.tasks, func(o *task) bool { return o.running && o.offer.Ask.Service == s }) {
		work *= n.model.Setup
	}
	pace, _ := n.cold(now)
	work *= 1 + crowdedSlow*max(0, n.busy()-1)
	return placement.Millis(work / pace)
}

func (n *Node) started(now placement.Millis, t *task) {
	t.running = true
	if n.Runs != nil {
		n.Runs(t, true)
	}
	t.cores = t.offer.Ask.Cores * t.group.Cores * spread(t.offer.Ask.Service)
	t.memory = t.offer.Ask.Memory * t.group.Memory * spread(t.offer.Ask.Service+1)
	n.programs = slices.DeleteFunc(n.programs, func(s uint64) bool { return s == t.offer.Ask.Service })
	if n.model.ConfirmsRunning {
		n.answer(now, t.offer.Bind, &pb.OfferAnswer{Bind: t.offer.Bind, Accepted: true, Load: n.loadNow(now)})
	} else {
		n.note(t, pb.Note_RUNNING, 1)
	}
	n.timers.Schedule(now+placement.Millis(t.offer.Ask.RunsForMs), func(now placement.Millis) { n.end(now, t, pb.Why_FINISHED) })
	n.timers.Schedule(now+firstNote, func(now placement.Millis) { n.noteUse(now, t) })
}

// spread is a factor between a half and one and a half that belongs to a service.
func spread(service uint64) float64 {
	return 0.5 + float64((service*0x9e3779b97f4a7c15)>>40&1023)/1023
}

func (n *Node) note(t *task, k pb.Note_Kind, value float64) {
	n.tell(t.offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_Note{Note: &pb.Note{Bind: t.offer.Bind, Kind: k, Value: value}}})
}

func (n *Node) noteUse(now placement.Millis, t *task) {
	if t.over {
		return
	}
	n.note(t, pb.Note_CORES_USED, t.cores*n.excess(t))
	n.timers.Schedule(now+noteEvery, func(now placement.Millis) { n.noteUse(now, t) })
}

// excess is how many times its usual use a workload now has.
func (n *Node) excess(t *task) float64 {
	w, a := n.Swells, t.offer.Ask
	if w.Times > 1 && (w.Group == "" || w.Group == a.Group) && spread(a.Service+2)-0.5 < w.Part {
		return w.Times
	}
	return 1
}

// end takes a workload off the node.
func (n *Node) end(now placement.Millis, t *task, why pb.Why) {
	if t.over {
		return
	}
	t.over = true
	n.tasks = slices.DeleteFunc(n.tasks, func(o *task) bool { return o == t })
	delete(n.byBind, keyOf(t.offer.Bind))
	if t.running && n.Runs != nil {
		n.Runs(t, false)
	}
	if t.running && n.model.Kept > 0 {
		s := t.offer.Ask.Service
		n.programs = slices.DeleteFunc(n.programs, func(o uint64) bool { return o == s })
		if n.programs = append(n.programs, s); len(n.programs) > n.model.Kept {
			n.programs = n.programs[1:]
		}
	}
	if !t.running && n.model.ConfirmsRunning {
		n.answer(now, t.offer.Bind, &pb.OfferAnswer{Bind: t.offer.Bind, Why: why, Text: "ended before it ran", Load: n.loadNow(now)})
		return
	}
	n.tell(t.offer.Bind.Allocator, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: t.offer.Bind, Why: why, Load: n.loadNow(now)}}})
}

// stopped takes a bind back, from the line or, unless only that was wanted, from the node.
func (n *Node) stopped(now placement.Millis, s *pb.Stop) {
	k := keyOf(s.Bind)
	for _, w := range n.line {
		if w.offer != nil && keyOf(w.offer.Bind) == k {
			w.off = true
			return
		}
	}
	switch t := n.byBind[k]; {
	case t == nil: // it ended before, and word of that may have been lost
		n.tell(s.Bind.Allocator, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: s.Bind, Why: pb.Why_STOPPED}}})
	case !s.OnlyWaiting:
		n.end(now, t, pb.Why_STOPPED)
	}
}

// report measures the load every ReportEvery, evicts where memory has run out, and tells the list.
func (n *Node) report(now placement.Millis) {
	for used := n.memoryUsed(); used > n.spec.Memory && len(n.tasks) > 0; used = n.memoryUsed() {
		n.end(now, n.victim(), pb.Why_EVICTED)
	}
	cores := n.coresUsed()
	spare, memory := n.spec.Cores-cores, n.spec.Memory-n.memoryUsed()
	backlog, util := float64(len(n.line)+len(n.toStart)+n.starting), min(1, n.busy())
	if n.Lies > 0 {
		spare, memory = spare+n.Lies*(n.spec.Cores-spare), memory+n.Lies*(n.spec.Memory-memory)
		backlog, util = backlog*(1-n.Lies), util*(1-n.Lies)
	}
	n.load = &pb.Load{SpareCores: &spare, SpareMemory: &memory, Backlog: &backlog, Utilization: &util}
	n.loadAt = now
	n.register(now)
	n.timers.Schedule(now+n.model.ReportEvery, n.report)
}

func (n *Node) victim() *task {
	return slices.MinFunc(n.tasks, func(x, y *task) int {
		return cmp.Or(cmp.Compare(x.group.Rank, y.group.Rank),
			cmp.Compare(y.memory*n.excess(y)-y.offer.Ask.Memory, x.memory*n.excess(x)-x.offer.Ask.Memory))
	})
}

func (n *Node) coresUsed() float64 {
	used := n.Neighbour*n.spec.Cores + float64(n.starting)
	for _, t := range n.tasks {
		used += t.cores * n.excess(t)
	}
	return min(used, n.spec.Cores)
}

func (n *Node) memoryUsed() float64 {
	used := 0.0
	for _, t := range n.tasks {
		used += t.memory * n.excess(t)
	}
	return used
}

// busy is the cores that are wanted over those that are there; over 1 nobody gets all that it wants.
func (n *Node) busy() float64 {
	wanted := float64(n.starting)
	for _, t := range n.tasks {
		wanted += t.cores * n.excess(t)
	}
	return wanted / max(0.1, n.spec.Cores*(1-n.Neighbour))
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

// register tells the list who this is and how much room nobody has asked for, where that changed.
func (n *Node) register(now placement.Millis) {
	cores, memory := n.asked()
	state := pb.NodeEntry_READY
	switch {
	case n.Leaves:
		state = pb.NodeEntry_GONE
	case n.draining:
		state = pb.NodeEntry_DRAINING
	}
	n.net.Send(n.list, &pb.Frame{Body: &pb.Frame_Register{Register: &pb.NodeEntry{
		Id: n.id, State: state, Kind: n.spec.Kind, Zone: n.spec.Zone, Cell: n.spec.Cell, Boot: n.boot, UpForMs: n.upFor(now),
		FreeCores: n.spec.Cores - cores, FreeMemory: n.spec.Memory - memory, Address: n.spec.Addr,
	}}})
}

// upFor is the time since the node's start, below nought where nobody remembers it.
func (n *Node) upFor(now placement.Millis) float64 {
	if math.IsInf(float64(n.born), -1) {
		return -1
	}
	return float64(now - n.born)
}

// Drain has the node take nothing new, or take again.
func (n *Node) Drain(now placement.Millis, draining bool) {
	n.now = now
	n.draining = draining
	n.register(now)
	if n.model.TellsDrain {
		for _, c := range n.allocators() {
			n.net.Send(c, &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}})
		}
	}
	if draining && n.model.Away != "keeps" {
		n.sendAway(now)
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

func (n *Node) sendAway(now placement.Millis) {
	for n.draining && len(n.tasks) > 0 {
		n.end(now, n.tasks[0], pb.Why_SENT_AWAY)
		if n.model.Away == "paced" {
			n.timers.Schedule(now+pacedAway, n.sendAway)
			return
		}
	}
}

// Unstick has it start what it has accepted meanwhile.
func (n *Node) Unstick(now placement.Millis) {
	n.now, n.Stuck = now, false
	n.startNext(now)
	n.wake()
}

// Died ends the count of what ran here.
func (n *Node) Died() {
	for _, t := range n.tasks {
		if t.running && n.Runs != nil {
			n.Runs(t, false)
		}
	}
}

// Forget loses the programs that are kept, that share of them.
func (n *Node) Forget(share float64) {
	n.programs = n.programs[int(math.Ceil(share*float64(len(n.programs)))):]
}
