package simulation

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"grebeglade/internal/frontend/native"
	"grebeglade/internal/oracle"
	"grebeglade/internal/storage"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

const settleFor = placement.Millis(2e3) // ms after the last answer for what is still under way

// Options are what a day is played with, besides its script.
type Options struct {
	Seed     uint64
	Sabotage Sabotage // an engine that breaks a rule on purpose
	Log      *slog.Logger
	Mishap   *Mishap
	Oracle   bool         // work out how much the best could have run, in virtual time
	Stopped  func() error // asked now and then whether to give up, in virtual time
	Until    time.Time    // when a day in virtual time is given up, zero for never
	History  string       // file that takes all that was seen from outside; "" for none
	Trace    string       // directory that takes a trace of each allocator, in one of its own; "" for none
}

// Result is what came of a day. Every ask ends in one of Placed, Rejected, Unschedulable, Withdrawn (by its
// owner, before an answer), Cut (its allocator or connection went) and Unanswered.
type Result struct {
	Name          string         `json:"name"`
	About         string         `json:"about,omitempty"`
	Seed          uint64         `json:"seed"`
	Virtual       bool           `json:"virtual"`
	Allocators    int            `json:"allocators"`
	Nodes         int            `json:"nodes"`
	Lives         int            `json:"allocator_lives"` // processes of allocators, those that came back counted anew
	Workloads     int            `json:"workloads"`       // asks, those that came again too
	Firsts        int            `json:"firsts"`
	Placed        int            `json:"placed"`
	Rejected      int            `json:"rejected"`
	Unschedulable int            `json:"unschedulable"`
	Withdrawn     int            `json:"withdrawn"`
	Cut           int            `json:"cut"`
	Unanswered    int            `json:"unanswered"`
	Binds         uint64         `json:"binds"`
	Moves         uint64         `json:"moves"`
	Probes        uint64         `json:"probes"`
	ListCalls     uint64         `json:"list_calls"`
	Duplicates    uint64         `json:"duplicates"`
	Stray         uint64         `json:"stray"`
	Known         uint64         `json:"known_before"` // asks answered by what was written down before
	Ended         map[string]int `json:"ended"`
	WaitMedian    float64        `json:"wait_median_ms"` // from ask to yes
	Wait99        float64        `json:"wait_p99_ms"`
	Fell          int            `json:"fell"` // cold nodes pushed over

	Ran          float64  `json:"core_time_share"` // of the core time that single workloads wanted while owners asked
	ListEntries  uint64   `json:"list_entries"`    // that allocators were told
	Oracle       *Oracle  `json:"oracle,omitempty"`
	FirstPlaced  float64  `json:"singles_placed_at_first"` // share of workloads in no group that their first ask placed
	Gangs        int      `json:"gangs"`                   // that owners wanted
	GangsStood   int      `json:"gangs_standing"`          // that stood at some time
	GangsGivenUp int      `json:"gangs_given_up"`          // that never did, and are not asked for any more
	PartialLeft  int      `json:"partial_groups_left"`     // by the auditor, after the settle time
	GangMedian   float64  `json:"gang_wait_median_ms"`     // from a group's first ask until it stood
	GangWasted   float64  `json:"gang_wasted_share"`       // of the core time of parts, that of groups that did not stand
	GangStops    uint64   `json:"gang_stops"`              // parts that allocators stopped
	Frames       int      `json:"frames"`
	DaySeconds   float64  `json:"day_seconds"`
	RanSeconds   float64  `json:"ran_seconds"`
	Nearest      Nearest  `json:"nearest"` // how near to its limits it came
	Digest       string   `json:"digest"`
	Broken       []Broken `json:"broken"`
	MoreBroken   int      `json:"more_broken,omitempty"`
	Singles      int      `json:"singles"` // workloads wanted that are in no group
}

// Day is a script put together on a host.
type Day struct {
	script *Script
	opts   Options
	host   Host
	w      Witness
	rng    *rand.Rand

	list   *Gate
	nodes  []*Gate
	specs  []*NodeSpec
	allocs []*Gate
	owners []*Gate
	ports  [][]*native.Frontend // by allocator, one for each life
	begins placement.Millis     // when owners begin: nodes and allocators know of each other by then
	fell   chan struct{}        // one for each node that fell over
	drains map[*Gate][]oracle.Span

	wall      float64    // Unix time, in ms, at which the host's clock stood at 0
	mu        sync.Mutex // recorders are begun on the allocators' goroutines
	recorders []*trace.Recorder
	traceErr  error
}

// Terms are what the script's day is audited by.
func (s *Script) Terms() Terms {
	t := Terms{
		Slack: s.Owner.Slack, DrainGrace: s.Drain, MaxBinds: s.Settings.MaxBinds, Model: &s.Node, Groups: map[string]placement.Group{},
	}
	for i, name := range s.Groups {
		t.Groups[name] = s.Settings.Groups[i]
	}
	return t
}

// NewDay brings the script's parties to the host and plans its faults.
func NewDay(s *Script, o Options, host Host, w Witness, now placement.Millis) (*Day, error) {
	d := newDay(s, o, host, w, now)
	if err := d.populate(); err != nil {
		return nil, err
	}
	for i, f := range s.Faults {
		d.rng = rand.New(rand.NewPCG(o.Seed, uint64(1000+i)))
		d.plan(f)
	}
	return d, nil
}

func newDay(s *Script, o Options, host Host, w Witness, now placement.Millis) *Day {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	d := &Day{
		script: s, opts: o, host: host, w: w, rng: rand.New(rand.NewPCG(o.Seed, 77)), begins: now + s.Settle,
		fell: make(chan struct{}, s.Nodes()*100+1), drains: map[*Gate][]oracle.Span{},
	}
	if _, virtual := host.(*Virtual); !virtual {
		d.wall = float64(time.Now().UnixNano())/1e6 - float64(now)
	}
	return d
}

func (d *Day) zone(i int) string { return d.script.Zones[i%len(d.script.Zones)] }

func (d *Day) newList() *Gate {
	return NewGate("list", pb.Role_LIST, 0, d.w, func(inc uint64) transport.FrameHandler { return NewList(&d.script.List, inc) })
}

// addNodes brings the nodes in. Kinds and halls are dealt out by chance, so that no hall is of one kind.
func (d *Day) addNodes(list string) error {
	s := d.script
	for k, count := range s.Counts {
		for range count {
			i := len(d.specs)
			d.specs = append(d.specs, &NodeSpec{
				ID: uint32(hashOf(d.opts.Seed, uint64(i))%1_000_000)*1000 + uint32(i%1000) + 1, Kind: s.Kinds[k],
				Cores: s.Settings.NodeKinds[k].Cores, Memory: s.Settings.NodeKinds[k].Memory, ListAddr: list,
			})
		}
	}
	d.rng.Shuffle(len(d.specs), func(i, j int) { d.specs[i], d.specs[j] = d.specs[j], d.specs[i] })
	for i, spec := range d.specs {
		spec.Zone = d.zone(i)
		spec.Cell = fmt.Sprintf("%s/%d", spec.Zone, i/len(s.Zones)/4)
		if err := d.addNode(spec); err != nil {
			return err
		}
	}
	return nil
}

func (d *Day) populate() error {
	s := d.script
	d.list = d.newList()
	list, err := d.host.AddHandler(d.list, d.zone(0))
	if err != nil {
		return err
	}
	if err := d.addNodes(list); err != nil {
		return err
	}
	owner := s.Owner
	for i := range s.Allocators {
		g := d.allocator(i, list)
		d.allocs = append(d.allocs, g)
		addr, err := d.host.AddHandler(g, d.zone(i))
		if err != nil {
			return err
		}
		owner.Allocators = append(owner.Allocators, addr)
	}
	owner.Groups, owner.From, owner.Until = s.Demand, d.begins, d.begins+s.Length
	owner.Rate /= float64(s.Owners)
	owner.Gangs = slices.Clone(owner.Gangs)
	for i := range owner.Gangs {
		owner.Gangs[i].Rate /= float64(s.Owners)
	}
	for i := range s.Owners {
		name := fmt.Sprintf("owner-%d", i+1)
		g := NewGate(name, pb.Role_OWNER, i, d.w, func(uint64) transport.FrameHandler {
			return NewOwner(name, i, &owner, d.opts.Seed)
		})
		d.owners = append(d.owners, g)
		if _, err := d.host.AddHandler(g, d.zone(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Day) addNode(spec *NodeSpec) error {
	var g *Gate
	g = NewGate(fmt.Sprintf("node-%d", spec.ID), pb.Role_NODE, int(spec.ID), d.w, func(boot uint64) transport.FrameHandler {
		n := NewNode(spec, &d.script.Node, boot)
		n.Fell = func() {
			d.fell <- struct{}{}
			g.Kill(g.net.Now())
		}
		n.Runs = func(t *task, runs bool) {
			switch now := min(g.net.Now(), d.QuietAt()); {
			case t.offer.Gang != nil:
			case runs:
				t.since = now
			default:
				spec.ran += t.offer.Ask.Cores * float64(now-t.since)
			}
		}
		return n
	})
	g.Dies = func(inner transport.FrameHandler) { inner.(*Node).Died() }
	d.nodes = append(d.nodes, g)
	addr, err := d.host.AddHandler(g, spec.Zone)
	spec.Addr = addr
	return err
}

func (d *Day) allocator(i int, list string) *Gate {
	s := d.script
	settings := s.Settings
	settings.Allocators, settings.Ordinal = s.Allocators, i
	if d.opts.Sabotage == BindsMore {
		settings.MaxBinds += 4
	}
	if d.opts.Sabotage == SpreadBlind {
		settings.Groups = slices.Clone(settings.Groups)
		for g := range settings.Groups {
			settings.Groups[g].SpreadScope = placement.ScopeNone
		}
	}
	name := fmt.Sprintf("allocator-%d", i+1)
	d.ports = append(d.ports, nil)
	var recorder *trace.Recorder
	var gate *Gate
	journal := &journal{
		disk: storage.NewMemoryDisk(hashOf(d.opts.Seed, uint64(i))), takes: s.State.Disk, honest: d.opts.Sabotage != SyncsNever,
		now:   func() placement.Millis { return gate.net.Now() },
		later: func(at placement.Millis, do func(now placement.Millis)) { d.host.RunAt(gate, at, do) },
	}
	frames := 0
	gate = NewGate(name, pb.Role_ALLOCATOR, i, d.w, func(inc uint64) transport.FrameHandler {
		c := native.Config{
			Name: name, Incarnation: inc, Seed: hashOf(d.opts.Seed, uint64(i)<<20|inc), Settings: settings,
			GroupNames: s.Groups, KindNames: s.Kinds, Zone: d.zone(i), DiscoveryAddress: list, MaxWorkloads: s.Limits.MaxWorkloads,
			Log: d.opts.Log.With("allocator", name), WallClockOffset: d.wall,
		}
		if d.opts.Trace != "" {
			if lives := d.ports[i]; len(lives) > 0 {
				lives[len(lives)-1].FlushTrace()
			}
			if recorder = d.record(recorder, c); recorder != nil {
				c.Trace = recorder
			}
		}
		if s.State.Disk > 0 {
			if err := journal.begin(&c); err != nil {
				panic(err) // the disk is ours, and fails only when it is told to
			}
			if d.opts.Sabotage == ForgetsState {
				c.RecoveredBinds = nil
			}
		}
		p := native.New(c)
		d.ports[i] = append(d.ports[i], p)
		if m := d.opts.Mishap; m != nil && i == 0 {
			return &unlucky{
				FrameHandler: p, m: m, seen: &frames,
				delay: func(at placement.Millis, do func(now placement.Millis)) {
					d.host.RunAt(gate, at, func(now placement.Millis) {
						if gate.Alive() {
							do(now)
						}
					})
				},
				crash: func(now placement.Millis) {
					gate.Kill(now)
					if m.Back {
						d.host.RunAt(gate, now+mishapAway, gate.Restart)
					}
				},
			}
		}
		return d.opts.Sabotage.around(p)
	})
	gate.Dies = func(transport.FrameHandler) { journal.crash() }
	return gate
}

// record begins the trace of an allocator's life, after the end of the one before.
func (d *Day) record(before *trace.Recorder, c native.Config) *trace.Recorder {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before != nil {
		before.Close()
		d.recorders = slices.DeleteFunc(d.recorders, func(r *trace.Recorder) bool { return r == before })
	}
	source := &tracepb.Source{Allocator: c.Name, Incarnation: c.Incarnation, WallMs: c.WallClockOffset}
	r, err := trace.NewRecorder(filepath.Join(d.opts.Trace, c.Name), source, trace.DefaultLimits, c.Log)
	if err != nil {
		d.traceErr = err
		return nil
	}
	_, r.BlockWhenFull = d.host.(*Virtual)
	d.recorders = append(d.recorders, r)
	return r
}

// endTraces writes what is left of the traces, once the parties have come to rest.
func (d *Day) endTraces() error {
	for _, lives := range d.ports {
		if len(lives) > 0 {
			lives[len(lives)-1].FlushTrace()
		}
	}
	for _, r := range d.recorders {
		r.Close()
	}
	return d.traceErr
}

// hashOf mixes two numbers into one that looks like chance.
func hashOf(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Ends is when owners have stopped asking and the last answer is due.
func (d *Day) Ends() placement.Millis {
	last := placement.Millis(0)
	for _, g := range d.script.Demand {
		last = max(last, g.Pending)
	}
	for _, g := range d.script.Owner.Gangs {
		last = max(last, g.Pending)
	}
	return d.begins + d.script.Length + last + d.script.Owner.Slack + settleFor
}

// SinglesWanted tells whether workloads in no group were wanted.
func (r *Result) SinglesWanted() bool { return r.Singles > 0 }

// QuietAt is when owners have stopped asking.
func (d *Day) QuietAt() placement.Millis { return d.begins + d.script.Length }

// Open is the number of asks that wait for an answer. The owners' goroutines must not run meanwhile.
func (d *Day) Open() (n int) {
	for _, g := range d.owners {
		if o, ok := g.Inner().(*Owner); ok {
			n += o.Open()
		}
	}
	return n
}

// Result sums the day up once all its parties have come to rest.
func (d *Day) Result(a *Auditor) *Result {
	s := d.script
	r := &Result{
		Name: s.Name, About: s.About, Seed: d.opts.Seed, Allocators: s.Allocators, Nodes: len(d.nodes),
		Ended: map[string]int{}, Frames: a.Frames, Broken: a.Broken, MoreBroken: a.More, Fell: len(d.fell), Nearest: a.Nearest,
		DaySeconds: float64(s.Length) / 1000,
	}
	if r.Broken == nil {
		r.Broken = []Broken{}
	}
	var waits, gangWaits []float64
	singles, placedFirst, wasted, used := 0, 0, 0.0, 0.0
	for _, g := range d.owners {
		t := &g.Inner().(*Owner).Tally
		r.Workloads += t.Asks
		r.Firsts += t.Firsts
		r.Placed += t.Placed
		r.Rejected += t.Rejected
		r.Unschedulable += t.Unschedulable
		r.Withdrawn += t.Withdrawn
		r.Cut += t.Cut
		r.Unanswered += t.Unanswered
		waits = append(waits, t.Waits...)
		gangWaits = append(gangWaits, t.GangWaits...)
		wasted, used = wasted+t.Wasted, used+t.Used
		singles += t.SinglesFirst
		placedFirst += t.SinglesPlaced
		r.Gangs += t.Gangs
		r.GangsStood += t.GangsStood
		r.GangsGivenUp += t.GangsGivenUp
		for why, n := range t.Ended {
			r.Ended[why.String()] += n
		}
	}
	r.Singles = singles
	r.FirstPlaced = float64(placedFirst) / float64(max(1, singles))
	slices.Sort(gangWaits)
	r.GangMedian = percentile(gangWaits, 0.5)
	r.PartialLeft, r.GangWasted = a.Partial, a.wastedShare()
	if wasted+used > 0 {
		r.GangWasted = wasted / (wasted + used)
	}
	for i, g := range d.nodes {
		if n, ok := g.Inner().(*Node); ok {
			n.Died() // the day is over
		}
		r.Ran += d.specs[i].ran
	}
	if wanted := d.wantedCores(); wanted > 0 {
		r.Ran /= wanted
	}
	slices.Sort(waits)
	r.WaitMedian, r.Wait99 = percentile(waits, 0.5), percentile(waits, 0.99)
	digest := xxhash.New()
	for _, lives := range d.ports {
		r.Lives += len(lives)
		for _, p := range lives {
			r.Binds += p.Counters.Binds
			r.Moves += p.Counters.Migrations
			r.Probes += p.Counters.HealthChecks
			r.ListCalls += p.Counters.DiscoveryCalls
			r.ListEntries += p.Counters.DiscoveryEntries
			r.GangStops += p.Counters.GangPartStops
			r.Duplicates += p.Counters.DuplicateRequests
			r.Stray += p.Counters.UnmatchedReplies
			r.Known += p.Counters.AnsweredFromJournal
			digest.Write(binary.LittleEndian.AppendUint64(nil, p.EventLog().Digest()))
		}
	}
	r.Digest = fmt.Sprintf("%016x", digest.Sum64())
	return r
}

// wantedCores is the core time, in core milliseconds, that single workloads wanted until owners stopped asking.
func (d *Day) wantedCores() (sum float64) {
	for _, w := range d.wants() {
		sum += w.Cores * float64(max(0, min(w.Until, d.QuietAt())-w.From))
	}
	return sum
}

func (d *Day) wants() (all []*Want) {
	for _, g := range d.owners {
		all = append(all, g.Inner().(*Owner).Tally.Wants...)
	}
	return all
}

// percentile is the value below which that share of sorted values lies, 0 of none.
func percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// plan has a fault happen at its time to those whom chance names.
func (d *Day) plan(f Fault) {
	at, until := d.begins+f.At, d.begins+f.At+f.For
	switch f.Kind {
	case "crash":
		for _, g := range d.some(d.nodes, f.Part) {
			d.host.RunAt(g, at, g.Kill)
			d.host.RunAt(g, until, g.Restart)
		}
	case "allocator-death":
		for _, g := range d.some(d.allocs, f.Part) {
			d.host.RunAt(g, at, g.Kill)
			d.host.RunAt(g, until, g.Restart)
		}
	case "stall":
		d.stills(d.some(d.nodes, f.Part), f, at, until)
	case "allocator-still":
		d.stills(d.some(d.allocs, f.Part), f, at, until)
	case "slow":
		d.during(f, at, until, func(n *Node) { n.Slow = f.Size }, func(n *Node) { n.Slow = 1 })
	case "throttle":
		d.during(f, at, until, func(n *Node) { n.Throttled = f.Group }, func(n *Node) { n.Throttled = "" })
	case "hot-service":
		swell := Swelling{Part: f.Part, Times: f.Size}
		f.Part = 1
		d.during(f, at, until, func(n *Node) { n.Swells = swell }, func(n *Node) { n.Swells = Swelling{} })
	case "overrun":
		swell := Swelling{Group: f.Group, Part: f.Part, Times: f.Size}
		f.Part = 1
		d.during(f, at, until, func(n *Node) { n.Swells = swell }, func(n *Node) { n.Swells = Swelling{} })
	case "neighbour":
		for _, g := range d.some(d.nodes, f.Part) {
			shift := f.Every * placement.Millis(d.rng.Float64())
			for t := at + shift; t < until; t += 2 * f.Every {
				d.onNode(g, t, func(_ placement.Millis, n *Node) { n.Neighbour = f.Size })
				d.onNode(g, min(until, t+f.Every), func(_ placement.Millis, n *Node) { n.Neighbour = 0 })
			}
		}
	case "lying":
		d.during(f, at, until, func(n *Node) { n.Lies = f.Size }, func(n *Node) { n.Lies = 0 })
	case "never-starts":
		for _, g := range d.some(d.nodes, f.Part) {
			d.onNode(g, at, func(_ placement.Millis, n *Node) { n.Stuck = true })
			d.onNode(g, until, func(now placement.Millis, n *Node) { n.Unstick(now) })
		}
	case "forget":
		for _, g := range d.some(d.nodes, f.Part) {
			d.onNode(g, at, func(_ placement.Millis, n *Node) { n.Forget(f.Size) })
		}
	case "deploy":
		d.waves(f, at, f.Wait, true)
	case "preempt":
		d.waves(f, at, f.For, false)
	case "hall-cut":
		for i, g := range d.nodes {
			if d.specs[i].Zone == f.Zone {
				d.host.RunAt(g, at, g.Cut)
				d.host.RunAt(g, at+cutBreaks, g.BreakCut)
				d.host.RunAt(g, until, g.Heal)
			}
		}
	default:
		d.planOutside(f, at, until)
	}
}

// planOutside plans what happens to owners and the list.
func (d *Day) planOutside(f Fault, at, until placement.Millis) {
	owners := func(at placement.Millis, do func(now placement.Millis, o *Owner)) {
		for _, g := range d.owners {
			d.host.RunAt(g, at, func(now placement.Millis) {
				if o, ok := g.Inner().(*Owner); ok {
					do(g.clock.local(now), o)
				}
			})
		}
	}
	switch f.Kind {
	case "burst":
		owners(at, func(_ placement.Millis, o *Owner) { o.Burst = f.Size })
		owners(until, func(_ placement.Millis, o *Owner) { o.Burst = 1 })
	case "hot-allocator":
		owners(at, func(_ placement.Millis, o *Owner) { o.HotFirst = f.Size })
		owners(until, func(_ placement.Millis, o *Owner) { o.HotFirst = 0 })
	case "reconnect":
		owners(at, func(now placement.Millis, o *Owner) { o.Restart(now, f.Size, f.For) })
	case "owner-disconnect":
		for _, g := range d.some(d.owners, f.Part) {
			d.host.RunAt(g, at, g.Cut)
			d.host.RunAt(g, at+1, g.BreakCut)
			d.host.RunAt(g, at+2, g.Heal)
		}
	case "list-overrun":
		d.onList(at, func(_ placement.Millis, l *List) { l.Slower, l.Later = f.Size, placement.Millis(f.Size)*50 })
		d.onList(until, func(_ placement.Millis, l *List) { l.Slower, l.Later = 1, 0 })
	case "list-late":
		d.onList(at, func(_ placement.Millis, l *List) { l.Later = placement.Millis(f.Size) })
		d.onList(until, func(_ placement.Millis, l *List) { l.Later = 0 })
	case "list-stale":
		d.onList(at, func(now placement.Millis, l *List) { l.Stale(now, true) })
		d.onList(until, func(now placement.Millis, l *List) { l.Stale(now, false) })
	case "list-wrong":
		d.onList(at, func(now placement.Millis, l *List) { l.Tell(now, f.Size, false) })
		d.onList(until, func(now placement.Millis, l *List) { l.Tell(now, 1, false) })
	case "list-empty":
		d.onList(at, func(now placement.Millis, l *List) { l.Tell(now, 1, true) })
		d.onList(until, func(now placement.Millis, l *List) { l.Tell(now, 1, false) })
	default:
		d.planNetwork(f, at, until)
	}
}

// planNetwork plans what happens between the parties, and to their clocks.
func (d *Day) planNetwork(f Fault, at, until placement.Millis) {
	everyone := slices.Concat(d.nodes, d.allocs, d.owners, []*Gate{d.list})
	switch f.Kind {
	case "one-way":
		for i, g := range d.some(d.nodes, f.Part) {
			out := i%2 == 0
			d.host.RunAt(g, at, func(placement.Millis) { g.CutOne(out) })
			d.host.RunAt(g, at+cutBreaks, g.BreakCut)
			d.host.RunAt(g, until, g.Heal)
		}
	case "clock-skew":
		for _, g := range d.some(everyone, f.Part) {
			rate := 1 + f.Size/1e6*(2*d.rng.Float64()-1)
			d.host.RunAt(g, at, func(now placement.Millis) { g.SetClock(now, rate, 0) })
			d.host.RunAt(g, until, func(now placement.Millis) { g.SetClock(now, 1, 0) })
		}
	case "clock-step":
		for _, g := range d.some(slices.Concat(d.nodes, []*Gate{d.list}), f.Part) {
			d.host.RunAt(g, at, func(now placement.Millis) { g.SetClock(now, 1, placement.Millis(f.Size)) })
		}
	case "doubled": // not at owners: an answer that comes twice is what the first rule is about
		d.trouble(slices.Concat(d.nodes, d.allocs, []*Gate{d.list}), f, at, until, Trouble{Doubled: true})
	case "delayed":
		d.trouble(everyone, f, at, until, Trouble{Delay: placement.Millis(f.Size)})
	case "reordered":
		d.trouble(everyone, f, at, until, Trouble{Delay: placement.Millis(f.Size), Overtake: true})
	}
}

// trouble has the network strike part of the frames that reach these.
func (d *Day) trouble(gates []*Gate, f Fault, at, until placement.Millis, t Trouble) {
	for _, g := range gates {
		t := t
		t.Part, t.rng = f.Part, rand.New(rand.NewPCG(d.rng.Uint64(), 3))
		later := func(at placement.Millis, do func(now placement.Millis)) { d.host.RunAt(g, at, do) }
		d.host.RunAt(g, at, func(placement.Millis) { g.SetTrouble(&t, later) })
		d.host.RunAt(g, until, func(placement.Millis) { g.SetTrouble(nil, later) })
	}
}

// some draws a part of them, at least one where the part is above nought.
func (d *Day) some(of []*Gate, part float64) []*Gate {
	drawn := slices.Clone(of)
	d.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(len(drawn), int(math.Ceil(part*float64(len(drawn)))))]
}

// stills has each stand still again and again, not all at once.
func (d *Day) stills(gates []*Gate, f Fault, at, until placement.Millis) {
	for _, g := range gates {
		for t := at + f.Every*placement.Millis(d.rng.Float64()); t < until; t += f.Every {
			size := placement.Millis(f.Size)
			d.host.RunAt(g, t, func(now placement.Millis) { g.Still(now, now+size) })
			d.host.RunAt(g, t+size, g.Go)
		}
	}
}

func (d *Day) onNode(g *Gate, at placement.Millis, do func(now placement.Millis, n *Node)) {
	d.host.RunAt(g, at, func(now placement.Millis) {
		if n, ok := g.Inner().(*Node); ok {
			do(g.clock.local(now), n)
		}
	})
}

func (d *Day) during(f Fault, at, until placement.Millis, begin, end func(*Node)) {
	for _, g := range d.some(d.nodes, f.Part) {
		d.onNode(g, at, func(_ placement.Millis, n *Node) { begin(n) })
		d.onNode(g, until, func(_ placement.Millis, n *Node) { end(n) })
	}
}

// waves takes a part of the fleet away, some nodes at a time, and brings each back cold.
func (d *Day) waves(f Fault, at, away placement.Millis, drained bool) {
	nodes := d.some(d.nodes, f.Part)
	batch := max(1, int(f.Size*float64(len(d.nodes))))
	for i, g := range nodes {
		t := at + placement.Millis(i/batch)*f.Every
		if drained {
			d.onNode(g, t, func(now placement.Millis, n *Node) { n.Drain(now, true) })
			d.drains[g] = append(d.drains[g], oracle.Span{From: t, Until: t + away})
			d.host.RunAt(g, t+away, g.Kill)
			d.host.RunAt(g, t+away+300, g.Restart)
		} else {
			d.host.RunAt(g, t, g.Kill)
			d.host.RunAt(g, t+away, g.Restart)
		}
	}
}

// onList changes how the machine list behaves.
func (d *Day) onList(at placement.Millis, do func(now placement.Millis, l *List)) {
	d.host.RunAt(d.list, at, func(now placement.Millis) {
		if l, ok := d.list.Inner().(*List); ok {
			do(d.list.clock.local(now), l)
		}
	})
}
