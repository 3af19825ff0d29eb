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
	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/storage"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

const settleTime = placement.Millis(2e3) // ms after the last answer for what is still under way

// Options are what a day is played with, besides its script.
type Options struct {
	Seed           uint64
	Mutant         Mutant // an engine that breaks a rule on purpose
	Log            *slog.Logger
	MessageFault   *MessageFault
	Oracle         bool         // work out how much the best could have run, in virtual time
	Cancelled      func() error // asked now and then whether to give up, in virtual time
	Deadline       time.Time    // when a day in virtual time is given up, zero for never
	HistoryFile    string       // file that takes all that was seen from outside; "" for none
	TraceDirectory string       // directory that takes a trace of each allocator, in one of its own; "" for none
}

// Result is what came of a day. Every ask ends in one of Placed, Rejected, Unschedulable, Withdrawn (by its
// owner, before an answer), Cut (its allocator or connection went) and Unanswered.
type Result struct {
	Name                  string         `json:"name"`
	About                 string         `json:"about,omitempty"`
	Seed                  uint64         `json:"seed"`
	Virtual               bool           `json:"virtual"`
	Allocators            int            `json:"allocators"`
	Nodes                 int            `json:"nodes"`
	AllocatorIncarnations int            `json:"allocator_lives"` // processes of allocators, those that came back counted anew
	Workloads             int            `json:"workloads"`       // asks, those that came again too
	FirstRequests         int            `json:"firsts"`
	Placed                int            `json:"placed"`
	Rejected              int            `json:"rejected"`
	Unschedulable         int            `json:"unschedulable"`
	Withdrawn             int            `json:"withdrawn"`
	Disconnected          int            `json:"cut"`
	Unanswered            int            `json:"unanswered"`
	Binds                 uint64         `json:"binds"`
	Migrations            uint64         `json:"moves"`
	Probes                uint64         `json:"probes"`
	ListCalls             uint64         `json:"list_calls"`
	Duplicates            uint64         `json:"duplicates"`
	UnmatchedReplies      uint64         `json:"stray"`
	AnsweredFromStorage   uint64         `json:"known_before"` // asks answered by what was written down before
	Ended                 map[string]int `json:"ended"`
	WaitMedian            float64        `json:"wait_median_ms"` // from ask to yes
	Wait99                float64        `json:"wait_p99_ms"`
	OverloadedNodes       int            `json:"fell"` // cold nodes pushed over

	Ran            float64           `json:"core_time_share"` // of the core time that single workloads wanted while owners asked
	ListEntries    uint64            `json:"list_entries"`    // that allocators were told
	Oracle         *Oracle           `json:"oracle,omitempty"`
	FirstPlaced    float64           `json:"singles_placed_at_first"` // share of workloads in no group that their first ask placed
	Gangs          int               `json:"gangs"`                   // that owners wanted
	GangsStood     int               `json:"gangs_standing"`          // that stood at some time
	GangsGivenUp   int               `json:"gangs_given_up"`          // that never did, and are not asked for any more
	PartialLeft    int               `json:"partial_groups_left"`     // by the auditor, after the settle time
	GangMedian     float64           `json:"gang_wait_median_ms"`     // from a group's first ask until it stood
	GangWasted     float64           `json:"gang_wasted_share"`       // of the core time of parts, that of groups that did not stand
	GangStops      uint64            `json:"gang_stops"`              // parts that allocators stopped
	Frames         int               `json:"frames"`
	DaySeconds     float64           `json:"day_seconds"`
	RanSeconds     float64           `json:"ran_seconds"`
	Nearest        audit.LimitUse    `json:"nearest"` // how near to its limits it came
	Digest         string            `json:"digest"`
	Violations     []audit.Violation `json:"broken"`
	MoreViolations int               `json:"more_broken,omitempty"`
	Singles        int               `json:"singles"` // workloads wanted that are in no group
}

// Day is a script put together on a host.
type Run struct {
	script   *scenario.Script
	opts     Options
	host     Host
	observer observer.Observer
	rng      *rand.Rand

	discovery     *Interceptor
	nodes         []*Interceptor
	specs         []*NodeSpec
	allocators    []*Interceptor
	clients       []*Interceptor
	frontends     [][]*native.Frontend // by allocator, one for each life
	requestsStart placement.Millis     // when owners begin: nodes and allocators know of each other by then
	overloads     chan struct{}        // one for each node that fell over
	drains        map[*Interceptor][]oracle.Span

	wallClockOffset float64    // Unix time, in ms, at which the host's clock stood at 0
	mu              sync.Mutex // recorders are begun on the allocators' goroutines
	recorders       []*trace.Recorder
	traceErr        error
}

// NewDay brings the script's parties to the host and plans its faults.
func NewRun(s *scenario.Script, o Options, host Host, w observer.Observer, now placement.Millis) (*Run, error) {
	d := newRun(s, o, host, w, now)
	if err := d.populate(); err != nil {
		return nil, err
	}
	for i, f := range s.Faults {
		d.rng = rand.New(rand.NewPCG(o.Seed, uint64(1000+i)))
		d.planFault(f)
	}
	return d, nil
}

func newRun(s *scenario.Script, o Options, host Host, w observer.Observer, now placement.Millis) *Run {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	d := &Run{
		script: s, opts: o, host: host, observer: w, rng: rand.New(rand.NewPCG(o.Seed, 77)), requestsStart: now + s.SettleTime,
		overloads: make(chan struct{}, s.NodeCount()*100+1), drains: map[*Interceptor][]oracle.Span{},
	}
	if _, virtual := host.(*Virtual); !virtual {
		d.wallClockOffset = float64(time.Now().UnixNano())/1e6 - float64(now)
	}
	return d
}

func (d *Run) zone(i int) string { return d.script.Zones[i%len(d.script.Zones)] }

func (d *Run) newDiscovery() *Interceptor {
	return NewInterceptor("list", pb.Role_LIST, 0, d.observer, func(inc uint64) transport.FrameHandler { return NewDiscoveryService(&d.script.Discovery, inc) })
}

// addNodes brings the nodes in. Kinds and halls are dealt out by chance, so that no hall is of one kind.
func (d *Run) addNodes(list string) error {
	s := d.script
	for k, count := range s.NodeCounts {
		for range count {
			i := len(d.specs)
			d.specs = append(d.specs, &NodeSpec{
				ID: uint32(mixHash(d.opts.Seed, uint64(i))%1_000_000)*1000 + uint32(i%1000) + 1, Kind: s.NodeKinds[k],
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

func (d *Run) populate() error {
	s := d.script
	d.discovery = d.newDiscovery()
	list, err := d.host.AddHandler(d.discovery, d.zone(0))
	if err != nil {
		return err
	}
	if err := d.addNodes(list); err != nil {
		return err
	}
	owner := s.Client
	for i := range s.Allocators {
		g := d.allocator(i, list)
		d.allocators = append(d.allocators, g)
		addr, err := d.host.AddHandler(g, d.zone(i))
		if err != nil {
			return err
		}
		owner.Allocators = append(owner.Allocators, addr)
	}
	owner.Demand, owner.From, owner.Until = s.Demand, d.requestsStart, d.requestsStart+s.Length
	owner.Rate /= float64(s.Clients)
	owner.Gangs = slices.Clone(owner.Gangs)
	for i := range owner.Gangs {
		owner.Gangs[i].Rate /= float64(s.Clients)
	}
	for i := range s.Clients {
		name := fmt.Sprintf("owner-%d", i+1)
		g := NewInterceptor(name, pb.Role_OWNER, i, d.observer, func(uint64) transport.FrameHandler {
			return NewClient(name, i, &owner, d.opts.Seed)
		})
		d.clients = append(d.clients, g)
		if _, err := d.host.AddHandler(g, d.zone(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Run) addNode(spec *NodeSpec) error {
	var g *Interceptor
	g = NewInterceptor(fmt.Sprintf("node-%d", spec.ID), pb.Role_NODE, int(spec.ID), d.observer, func(boot uint64) transport.FrameHandler {
		n := NewNode(spec, &d.script.Node, boot)
		n.OnOverload = func() {
			d.overloads <- struct{}{}
			g.Kill(g.net.Now())
		}
		n.OnRunning = func(t *task, runs bool) {
			switch now := min(g.net.Now(), d.RequestsEnd()); {
			case t.offer.Gang != nil:
			case runs:
				t.since = now
			default:
				spec.coreTime += t.offer.Ask.Cores * float64(now-t.since)
			}
		}
		return n
	})
	g.OnKill = func(inner transport.FrameHandler) { inner.(*Node).Stop() }
	d.nodes = append(d.nodes, g)
	addr, err := d.host.AddHandler(g, spec.Zone)
	spec.Addr = addr
	return err
}

func (d *Run) allocator(i int, list string) *Interceptor {
	s := d.script
	settings := s.Settings
	settings.Allocators, settings.Ordinal = s.Allocators, i
	if d.opts.Mutant == ExceedsMaxBinds {
		settings.MaxBinds += 4
	}
	if d.opts.Mutant == IgnoresSpread {
		settings.Groups = slices.Clone(settings.Groups)
		for g := range settings.Groups {
			settings.Groups[g].SpreadScope = placement.ScopeNone
		}
	}
	name := fmt.Sprintf("allocator-%d", i+1)
	d.frontends = append(d.frontends, nil)
	var recorder *trace.Recorder
	var gate *Interceptor
	journal := &simulatedLog{
		disk: storage.NewMemoryDisk(mixHash(d.opts.Seed, uint64(i))), syncTime: s.Storage.SyncTime, syncs: d.opts.Mutant != NeverSyncs,
		now:      func() placement.Millis { return gate.net.Now() },
		schedule: func(at placement.Millis, do func(now placement.Millis)) { d.host.RunAt(gate, at, do) },
	}
	frames := 0
	gate = NewInterceptor(name, pb.Role_ALLOCATOR, i, d.observer, func(inc uint64) transport.FrameHandler {
		c := native.Config{
			Name: name, Incarnation: inc, Seed: mixHash(d.opts.Seed, uint64(i)<<20|inc), Settings: settings,
			GroupNames: s.Groups, KindNames: s.NodeKinds, Zone: d.zone(i), DiscoveryAddress: list, MaxWorkloads: s.Limits.MaxWorkloads,
			Log: d.opts.Log.With("allocator", name), WallClockOffset: d.wallClockOffset,
		}
		if d.opts.TraceDirectory != "" {
			if lives := d.frontends[i]; len(lives) > 0 {
				lives[len(lives)-1].FlushTrace()
			}
			if recorder = d.startTrace(recorder, c); recorder != nil {
				c.Trace = recorder
			}
		}
		if s.Storage.SyncTime > 0 {
			if err := journal.begin(&c); err != nil {
				panic(err) // the disk is ours, and fails only when it is told to
			}
			if d.opts.Mutant == IgnoresStorage {
				c.RecoveredBinds = nil
			}
		}
		p := native.New(c)
		d.frontends[i] = append(d.frontends[i], p)
		if m := d.opts.MessageFault; m != nil && i == 0 {
			return &faultInjector{
				FrameHandler: p, fault: m, frames: &frames,
				schedule: func(at placement.Millis, do func(now placement.Millis)) {
					d.host.RunAt(gate, at, func(now placement.Millis) {
						if gate.Alive() {
							do(now)
						}
					})
				},
				crash: func(now placement.Millis) {
					gate.Kill(now)
					if m.Restarts {
						d.host.RunAt(gate, now+crashDuration, gate.Restart)
					}
				},
			}
		}
		return d.opts.Mutant.wrap(p)
	})
	gate.OnKill = func(transport.FrameHandler) { journal.crash() }
	return gate
}

// record begins the trace of an allocator's life, after the end of the one before.
func (d *Run) startTrace(before *trace.Recorder, c native.Config) *trace.Recorder {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before != nil {
		before.Close()
		d.recorders = slices.DeleteFunc(d.recorders, func(r *trace.Recorder) bool { return r == before })
	}
	source := &tracepb.Source{Allocator: c.Name, Incarnation: c.Incarnation, WallMs: c.WallClockOffset}
	r, err := trace.NewRecorder(filepath.Join(d.opts.TraceDirectory, c.Name), source, trace.DefaultLimits, c.Log)
	if err != nil {
		d.traceErr = err
		return nil
	}
	_, r.BlockWhenFull = d.host.(*Virtual)
	d.recorders = append(d.recorders, r)
	return r
}

// endTraces writes what is left of the traces, once the parties have come to rest.
func (d *Run) closeTraces() error {
	for _, lives := range d.frontends {
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
func mixHash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Ends is when owners have stopped asking and the last answer is due.
func (d *Run) Deadline() placement.Millis {
	last := placement.Millis(0)
	for _, g := range d.script.Demand {
		last = max(last, g.PendingTimeout)
	}
	for _, g := range d.script.Client.Gangs {
		last = max(last, g.PendingTimeout)
	}
	return d.requestsStart + d.script.Length + last + d.script.Client.AnswerSlack + settleTime
}

// SinglesWanted tells whether workloads in no group were wanted.
func (r *Result) SinglesWanted() bool { return r.Singles > 0 }

// QuietAt is when owners have stopped asking.
func (d *Run) RequestsEnd() placement.Millis { return d.requestsStart + d.script.Length }

// Open is the number of asks that wait for an answer. The owners' goroutines must not run meanwhile.
func (d *Run) PendingRequests() (n int) {
	for _, g := range d.clients {
		if o, ok := g.Handler().(*Client); ok {
			n += o.Open()
		}
	}
	return n
}

// Result sums the day up once all its parties have come to rest.
func (d *Run) Result(a *audit.Auditor) *Result {
	s := d.script
	r := &Result{
		Name: s.Name, About: s.About, Seed: d.opts.Seed, Allocators: s.Allocators, Nodes: len(d.nodes),
		Ended: map[string]int{}, Frames: a.Frames, Violations: a.Violations, MoreViolations: a.MoreViolations, OverloadedNodes: len(d.overloads), Nearest: a.LimitUse,
		DaySeconds: float64(s.Length) / 1000,
	}
	if r.Violations == nil {
		r.Violations = []audit.Violation{}
	}
	var waits, gangWaits []float64
	singles, placedFirst, wasted, used := 0, 0, 0.0, 0.0
	for _, g := range d.clients {
		t := &g.Handler().(*Client).Tally
		r.Workloads += t.Requests
		r.FirstRequests += t.FirstRequests
		r.Placed += t.Placed
		r.Rejected += t.Rejected
		r.Unschedulable += t.Unschedulable
		r.Withdrawn += t.Withdrawn
		r.Disconnected += t.Disconnected
		r.Unanswered += t.Unanswered
		waits = append(waits, t.Waits...)
		gangWaits = append(gangWaits, t.GangWaits...)
		wasted, used = wasted+t.Wasted, used+t.Used
		singles += t.SinglesFirst
		placedFirst += t.SinglesPlaced
		r.Gangs += t.Gangs
		r.GangsStood += t.GangsStarted
		r.GangsGivenUp += t.GangsAbandoned
		for why, n := range t.Ended {
			r.Ended[why.String()] += n
		}
	}
	r.Singles = singles
	r.FirstPlaced = float64(placedFirst) / float64(max(1, singles))
	slices.Sort(gangWaits)
	r.GangMedian = percentile(gangWaits, 0.5)
	r.PartialLeft, r.GangWasted = a.IncompleteGangs(), a.WastedCoreShare()
	if wasted+used > 0 {
		r.GangWasted = wasted / (wasted + used)
	}
	for i, g := range d.nodes {
		if n, ok := g.Handler().(*Node); ok {
			n.Stop() // the day is over
		}
		r.Ran += d.specs[i].coreTime
	}
	if wanted := d.wantedCores(); wanted > 0 {
		r.Ran /= wanted
	}
	slices.Sort(waits)
	r.WaitMedian, r.Wait99 = percentile(waits, 0.5), percentile(waits, 0.99)
	digest := xxhash.New()
	for _, lives := range d.frontends {
		r.AllocatorIncarnations += len(lives)
		for _, p := range lives {
			r.Binds += p.Counters.Binds
			r.Migrations += p.Counters.Migrations
			r.Probes += p.Counters.HealthChecks
			r.ListCalls += p.Counters.DiscoveryCalls
			r.ListEntries += p.Counters.DiscoveryEntries
			r.GangStops += p.Counters.GangPartStops
			r.Duplicates += p.Counters.DuplicateRequests
			r.UnmatchedReplies += p.Counters.UnmatchedReplies
			r.AnsweredFromStorage += p.Counters.AnsweredFromJournal
			digest.Write(binary.LittleEndian.AppendUint64(nil, p.EventLog().Digest()))
		}
	}
	r.Digest = fmt.Sprintf("%016x", digest.Sum64())
	return r
}

// wantedCores is the core time, in core milliseconds, that single workloads wanted until owners stopped asking.
func (d *Run) wantedCores() (sum float64) {
	for _, w := range d.wantedWorkloads() {
		sum += w.Cores * float64(max(0, min(w.Until, d.RequestsEnd())-w.From))
	}
	return sum
}

func (d *Run) wantedWorkloads() (all []*Want) {
	for _, g := range d.clients {
		all = append(all, g.Handler().(*Client).Tally.Wants...)
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
func (d *Run) planFault(f scenario.Fault) {
	at, until := d.requestsStart+f.At, d.requestsStart+f.At+f.Duration
	switch f.Kind {
	case scenario.NodeCrash:
		for _, g := range d.sample(d.nodes, f.Share) {
			d.host.RunAt(g, at, g.Kill)
			d.host.RunAt(g, until, g.Restart)
		}
	case scenario.AllocatorCrash:
		for _, g := range d.sample(d.allocators, f.Share) {
			d.host.RunAt(g, at, g.Kill)
			d.host.RunAt(g, until, g.Restart)
		}
	case scenario.NodePause:
		d.pauseRepeatedly(d.sample(d.nodes, f.Share), f, at, until)
	case scenario.AllocatorPause:
		d.pauseRepeatedly(d.sample(d.allocators, f.Share), f, at, until)
	case scenario.NodeSlow:
		d.duringFault(f, at, until, func(n *Node) { n.Slowdown = f.Size }, func(n *Node) { n.Slowdown = 1 })
	case scenario.GroupThrottled:
		d.duringFault(f, at, until, func(n *Node) { n.ThrottledGroup = f.Group }, func(n *Node) { n.ThrottledGroup = "" })
	case scenario.HotService:
		swell := UsageSurge{Share: f.Share, Factor: f.Size}
		f.Share = 1
		d.duringFault(f, at, until, func(n *Node) { n.Surge = swell }, func(n *Node) { n.Surge = UsageSurge{} })
	case scenario.UsageOverrun:
		swell := UsageSurge{Group: f.Group, Share: f.Share, Factor: f.Size}
		f.Share = 1
		d.duringFault(f, at, until, func(n *Node) { n.Surge = swell }, func(n *Node) { n.Surge = UsageSurge{} })
	case scenario.NoisyNeighbour:
		for _, g := range d.sample(d.nodes, f.Share) {
			shift := f.Interval * placement.Millis(d.rng.Float64())
			for t := at + shift; t < until; t += 2 * f.Interval {
				d.onNode(g, t, func(_ placement.Millis, n *Node) { n.NeighbourShare = f.Size })
				d.onNode(g, min(until, t+f.Interval), func(_ placement.Millis, n *Node) { n.NeighbourShare = 0 })
			}
		}
	case scenario.LoadUnderreported:
		d.duringFault(f, at, until, func(n *Node) { n.UnderreportedShare = f.Size }, func(n *Node) { n.UnderreportedShare = 0 })
	case scenario.StartsNeverHappen:
		for _, g := range d.sample(d.nodes, f.Share) {
			d.onNode(g, at, func(_ placement.Millis, n *Node) { n.StartsBlocked = true })
			d.onNode(g, until, func(now placement.Millis, n *Node) { n.UnblockStarts(now) })
		}
	case scenario.CacheLoss:
		for _, g := range d.sample(d.nodes, f.Share) {
			d.onNode(g, at, func(_ placement.Millis, n *Node) { n.DropCachedPrograms(f.Size) })
		}
	case scenario.RollingDeploy:
		d.rollNodes(f, at, f.DrainTime, true)
	case scenario.NodePreemption:
		d.rollNodes(f, at, f.Duration, false)
	case scenario.ZoneCut:
		for i, g := range d.nodes {
			if d.specs[i].Zone == f.Zone {
				d.host.RunAt(g, at, g.Cut)
				d.host.RunAt(g, at+CutTimeout, g.BreakConnections)
				d.host.RunAt(g, until, g.Heal)
			}
		}
	default:
		d.planClientsAndDiscovery(f, at, until)
	}
}

// planOutside plans what happens to owners and the list.
func (d *Run) planClientsAndDiscovery(f scenario.Fault, at, until placement.Millis) {
	owners := func(at placement.Millis, do func(now placement.Millis, o *Client)) {
		for _, g := range d.clients {
			d.host.RunAt(g, at, func(now placement.Millis) {
				if o, ok := g.Handler().(*Client); ok {
					do(g.clock.toLocal(now), o)
				}
			})
		}
	}
	switch f.Kind {
	case scenario.RequestBurst:
		owners(at, func(_ placement.Millis, o *Client) { o.RateFactor = f.Size })
		owners(until, func(_ placement.Millis, o *Client) { o.RateFactor = 1 })
	case scenario.HotAllocator:
		owners(at, func(_ placement.Millis, o *Client) { o.FirstAllocatorShare = f.Size })
		owners(until, func(_ placement.Millis, o *Client) { o.FirstAllocatorShare = 0 })
	case scenario.ServiceRestart:
		owners(at, func(now placement.Millis, o *Client) { o.Restart(now, f.Size, f.Duration) })
	case scenario.ClientDisconnect:
		for _, g := range d.sample(d.clients, f.Share) {
			d.host.RunAt(g, at, g.Cut)
			d.host.RunAt(g, at+1, g.BreakConnections)
			d.host.RunAt(g, at+2, g.Heal)
		}
	case scenario.DiscoveryOverload:
		d.onDiscovery(at, func(_ placement.Millis, l *DiscoveryService) {
			l.Slowdown, l.ExtraLag = f.Size, placement.Millis(f.Size)*50
		})
		d.onDiscovery(until, func(_ placement.Millis, l *DiscoveryService) { l.Slowdown, l.ExtraLag = 1, 0 })
	case scenario.DiscoveryLate:
		d.onDiscovery(at, func(_ placement.Millis, l *DiscoveryService) { l.ExtraLag = placement.Millis(f.Size) })
		d.onDiscovery(until, func(_ placement.Millis, l *DiscoveryService) { l.ExtraLag = 0 })
	case scenario.DiscoveryStale:
		d.onDiscovery(at, func(now placement.Millis, l *DiscoveryService) { l.SetStale(now, true) })
		d.onDiscovery(until, func(now placement.Millis, l *DiscoveryService) { l.SetStale(now, false) })
	case scenario.DiscoveryWrong:
		d.onDiscovery(at, func(now placement.Millis, l *DiscoveryService) { l.Misreport(now, f.Size, false) })
		d.onDiscovery(until, func(now placement.Millis, l *DiscoveryService) { l.Misreport(now, 1, false) })
	case scenario.DiscoveryEmpty:
		d.onDiscovery(at, func(now placement.Millis, l *DiscoveryService) { l.Misreport(now, 1, true) })
		d.onDiscovery(until, func(now placement.Millis, l *DiscoveryService) { l.Misreport(now, 1, false) })
	default:
		d.planNetwork(f, at, until)
	}
}

// planNetwork plans what happens between the parties, and to their clocks.
func (d *Run) planNetwork(f scenario.Fault, at, until placement.Millis) {
	everyone := slices.Concat(d.nodes, d.allocators, d.clients, []*Interceptor{d.discovery})
	switch f.Kind {
	case scenario.OneWayCut:
		for i, g := range d.sample(d.nodes, f.Share) {
			out := i%2 == 0
			d.host.RunAt(g, at, func(placement.Millis) { g.CutDirection(out) })
			d.host.RunAt(g, at+CutTimeout, g.BreakConnections)
			d.host.RunAt(g, until, g.Heal)
		}
	case scenario.ClockSkew:
		for _, g := range d.sample(everyone, f.Share) {
			rate := 1 + f.Size/1e6*(2*d.rng.Float64()-1)
			d.host.RunAt(g, at, func(now placement.Millis) { g.SetClock(now, rate, 0) })
			d.host.RunAt(g, until, func(now placement.Millis) { g.SetClock(now, 1, 0) })
		}
	case scenario.ClockStep:
		for _, g := range d.sample(slices.Concat(d.nodes, []*Interceptor{d.discovery}), f.Share) {
			d.host.RunAt(g, at, func(now placement.Millis) { g.SetClock(now, 1, placement.Millis(f.Size)) })
		}
	case scenario.FramesDuplicated: // not at owners: an answer that comes twice is what the first rule is about
		d.injectFrameFaults(slices.Concat(d.nodes, d.allocators, []*Interceptor{d.discovery}), f, at, until, FrameFaults{Duplicate: true})
	case scenario.FramesDelayed:
		d.injectFrameFaults(everyone, f, at, until, FrameFaults{Delay: placement.Millis(f.Size)})
	case scenario.FramesReordered:
		d.injectFrameFaults(everyone, f, at, until, FrameFaults{Delay: placement.Millis(f.Size), Reorder: true})
	}
}

// trouble has the network strike part of the frames that reach these.
func (d *Run) injectFrameFaults(gates []*Interceptor, f scenario.Fault, at, until placement.Millis, t FrameFaults) {
	for _, g := range gates {
		t := t
		t.Share, t.rng = f.Share, rand.New(rand.NewPCG(d.rng.Uint64(), 3))
		later := func(at placement.Millis, do func(now placement.Millis)) { d.host.RunAt(g, at, do) }
		d.host.RunAt(g, at, func(placement.Millis) { g.SetFrameFaults(&t, later) })
		d.host.RunAt(g, until, func(placement.Millis) { g.SetFrameFaults(nil, later) })
	}
}

// some draws a part of them, at least one where the part is above nought.
func (d *Run) sample(of []*Interceptor, part float64) []*Interceptor {
	drawn := slices.Clone(of)
	d.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(len(drawn), int(math.Ceil(part*float64(len(drawn)))))]
}

// stills has each stand still again and again, not all at once.
func (d *Run) pauseRepeatedly(gates []*Interceptor, f scenario.Fault, at, until placement.Millis) {
	for _, g := range gates {
		for t := at + f.Interval*placement.Millis(d.rng.Float64()); t < until; t += f.Interval {
			size := placement.Millis(f.Size)
			d.host.RunAt(g, t, func(now placement.Millis) { g.Pause(now, now+size) })
			d.host.RunAt(g, t+size, g.Resume)
		}
	}
}

func (d *Run) onNode(g *Interceptor, at placement.Millis, do func(now placement.Millis, n *Node)) {
	d.host.RunAt(g, at, func(now placement.Millis) {
		if n, ok := g.Handler().(*Node); ok {
			do(g.clock.toLocal(now), n)
		}
	})
}

func (d *Run) duringFault(f scenario.Fault, at, until placement.Millis, begin, end func(*Node)) {
	for _, g := range d.sample(d.nodes, f.Share) {
		d.onNode(g, at, func(_ placement.Millis, n *Node) { begin(n) })
		d.onNode(g, until, func(_ placement.Millis, n *Node) { end(n) })
	}
}

// waves takes a part of the fleet away, some nodes at a time, and brings each back cold.
func (d *Run) rollNodes(f scenario.Fault, at, away placement.Millis, drained bool) {
	nodes := d.sample(d.nodes, f.Share)
	batch := max(1, int(f.Size*float64(len(d.nodes))))
	for i, g := range nodes {
		t := at + placement.Millis(i/batch)*f.Interval
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
func (d *Run) onDiscovery(at placement.Millis, do func(now placement.Millis, l *DiscoveryService)) {
	d.host.RunAt(d.discovery, at, func(now placement.Millis) {
		if l, ok := d.discovery.Handler().(*DiscoveryService); ok {
			do(d.discovery.clock.toLocal(now), l)
		}
	})
}
