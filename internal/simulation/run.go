// Package simulation plays scenarios: real allocators against emulated nodes, clients and a discovery service, in virtual time
// or on loopback sockets, with an audit of the rules.
package simulation

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"grebeglade/internal/frontend/native"
	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/storage"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// settleTime is how long a run goes on after the last answer, in ms.
const settleTime = placement.Millis(2e3) // ms after the last answer for what is still under way

// Options are the options of a run, besides its script.
type Options struct {
	Seed           uint64
	Mutant         Mutant // breaks a rule on purpose
	Log            *slog.Logger
	MessageFault   *network.MessageFault
	Oracle         bool         // compare with the best possible placement; in virtual time only
	Cancelled      func() error // polled; an error ends a run in virtual time
	Deadline       time.Time    // of a run in virtual time, by the wall clock; zero for none
	HistoryFile    string       // to which the history is written; "" for none
	TraceDirectory string       // with a directory for each allocator's trace; "" for none
}

// Run is a script that is played on a host. It must not be copied. It has more than fifteen fields as it holds every process of
// the run by its role.
type Run struct {
	script   *scenario.Script
	opts     Options
	host     network.Host
	observer observer.Observer
	rng      *rand.Rand

	discovery     *network.Interceptor
	nodes         []*network.Interceptor
	specs         []*emulator.NodeSpec
	allocators    []*network.Interceptor
	clients       []*network.Interceptor
	frontends     [][]*native.Frontend // by allocator and incarnation
	requestsStart placement.Millis     // first requests; nodes and allocators are connected by then
	overloads     chan struct{}        // a value for each node that failed while warming up
	drains        map[*network.Interceptor][]oracle.Span

	wallClockOffset float64    // Unix time, in ms, at which the host's clock stood at 0
	mu              sync.Mutex // guards the fields below: traces are started on the allocators' goroutines
	recorders       []*trace.Recorder
	traceErr        error
}

// NewRun adds the processes of the script to the host and schedules its faults.
func NewRun(s *scenario.Script, o Options, host network.Host, w observer.Observer, now placement.Millis) (*Run, error) {
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

func newRun(s *scenario.Script, o Options, host network.Host, w observer.Observer, now placement.Millis) *Run {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	d := &Run{
		script:        s,
		opts:          o,
		host:          host,
		observer:      w,
		rng:           rand.New(rand.NewPCG(o.Seed, 77)),
		requestsStart: now + s.SettleTime,
		overloads:     make(chan struct{}, s.NodeCount()*100+1),
		drains:        map[*network.Interceptor][]oracle.Span{},
	}
	if _, virtual := host.(*network.Virtual); !virtual {
		d.wallClockOffset = float64(time.Now().UnixNano())/1e6 - float64(now)
	}
	return d
}

func (d *Run) zone(i int) string { return d.script.Zones[i%len(d.script.Zones)] }

func (d *Run) newDiscovery() *network.Interceptor {
	return network.NewInterceptor("list", pb.Role_DISCOVERY, 0, d.observer, func(inc uint64) transport.FrameHandler { return emulator.NewDiscoveryService(&d.script.Discovery, inc) })
}

// addNodes adds the nodes. Kinds and zones are assigned at random, so that no zone has nodes of one kind only.
func (d *Run) addNodes(list string) error {
	s := d.script
	for k, count := range s.NodeCounts {
		for range count {
			i := len(d.specs)
			d.specs = append(d.specs, &emulator.NodeSpec{
				ID:            uint32(mixHash(d.opts.Seed, uint64(i))%1_000_000)*1000 + uint32(i%1000) + 1,
				Kind:          s.NodeKinds[k],
				Cores:         s.Settings.NodeKinds[k].Cores,
				Memory:        s.Settings.NodeKinds[k].Memory,
				DiscoveryAddr: list,
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
	client := s.Client
	for i := range s.Allocators {
		g := d.allocator(i, list)
		d.allocators = append(d.allocators, g)
		addr, err := d.host.AddHandler(g, d.zone(i))
		if err != nil {
			return err
		}
		client.Allocators = append(client.Allocators, addr)
	}
	client.Demand = s.Demand
	client.From = d.requestsStart
	client.Until = d.requestsStart + s.Length
	client.Rate /= float64(s.Clients)
	client.Gangs = slices.Clone(client.Gangs)
	for i := range client.Gangs {
		client.Gangs[i].Rate /= float64(s.Clients)
	}
	for i := range s.Clients {
		name := fmt.Sprintf("owner-%d", i+1)
		g := network.NewInterceptor(name, pb.Role_CLIENT, i, d.observer, func(uint64) transport.FrameHandler {
			return emulator.NewClient(name, i, &client, d.opts.Seed)
		})
		d.clients = append(d.clients, g)
		if _, err := d.host.AddHandler(g, d.zone(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Run) addNode(spec *emulator.NodeSpec) error {
	var g *network.Interceptor
	g = network.NewInterceptor(fmt.Sprintf("node-%d", spec.ID), pb.Role_NODE, int(spec.ID), d.observer, func(boot uint64) transport.FrameHandler {
		n := emulator.NewNode(spec, &d.script.Node, boot)
		n.OnOverload = func() {
			d.overloads <- struct{}{}
			g.Kill(g.HostNow())
		}
		n.OnRunning = func(t *emulator.Task, runs bool) {
			switch now := min(g.HostNow(), d.RequestsEnd()); {
			case t.Offer.Gang != nil:
			case runs:
				t.RunningSince = now
			default:
				spec.CoreTime += t.Offer.Request.Cores * float64(now-t.RunningSince)
			}
		}
		return n
	})
	g.OnKill = func(inner transport.FrameHandler) { inner.(*emulator.Node).Stop() }
	d.nodes = append(d.nodes, g)
	addr, err := d.host.AddHandler(g, spec.Zone)
	spec.Addr = addr
	return err
}

// allocator returns a new allocator. Its durable state, if there is any, survives its incarnations.
func (d *Run) allocator(i int, discoveryAddress string) *network.Interceptor {
	name := fmt.Sprintf("allocator-%d", i+1)
	d.frontends = append(d.frontends, nil)
	var recorder *trace.Recorder
	var process *network.Interceptor
	durable := &simulatedLog{
		disk:     storage.NewMemoryDisk(mixHash(d.opts.Seed, uint64(i))),
		syncTime: d.script.Storage.SyncTime,
		syncs:    d.opts.Mutant != NeverSyncs,
		now:      func() placement.Millis { return process.HostNow() },
		schedule: func(at placement.Millis, do func(now placement.Millis)) { d.host.RunAt(process, at, do) },
	}
	frames := 0
	process = network.NewInterceptor(name, pb.Role_ALLOCATOR, i, d.observer, func(incarnation uint64) transport.FrameHandler {
		c := d.allocatorConfig(i, name, incarnation, discoveryAddress)
		if d.opts.TraceDirectory != "" {
			d.flushTrace(i)
			if recorder = d.startTrace(recorder, c); recorder != nil {
				c.Trace = recorder
			}
		}
		if d.script.Storage.SyncTime > 0 {
			if err := durable.begin(&c); err != nil {
				panic(err) // a disk in memory fails only when it is told to
			}
			if d.opts.Mutant == IgnoresStorage {
				c.RecoveredBinds = nil
			}
		}
		frontend := native.New(c)
		d.frontends[i] = append(d.frontends[i], frontend)
		if d.opts.MessageFault != nil && i == 0 {
			return d.injectMessageFault(process, frontend, &frames)
		}
		return d.opts.Mutant.wrap(frontend)
	})
	process.OnKill = func(transport.FrameHandler) { durable.crash() }
	return process
}

// allocatorConfig returns the configuration of one incarnation of an allocator.
func (d *Run) allocatorConfig(i int, name string, incarnation uint64, discoveryAddress string) native.Config {
	s := d.script
	settings := s.Settings
	settings.Allocators = s.Allocators
	settings.Ordinal = i
	switch d.opts.Mutant {
	case ExceedsMaxBinds:
		settings.MaxBinds += 4
	case IgnoresSpread:
		settings.Groups = slices.Clone(settings.Groups)
		for g := range settings.Groups {
			settings.Groups[g].SpreadScope = placement.ScopeNone
		}
	}
	return native.Config{
		Name:             name,
		Incarnation:      incarnation,
		Seed:             mixHash(d.opts.Seed, uint64(i)<<20|incarnation),
		Settings:         settings,
		GroupNames:       s.Groups,
		KindNames:        s.NodeKinds,
		Zone:             d.zone(i),
		DiscoveryAddress: discoveryAddress,
		MaxWorkloads:     s.Limits.MaxWorkloads,
		Log:              d.opts.Log.With("allocator", name),
		WallClockOffset:  d.wallClockOffset,
	}
}

// injectMessageFault wraps an allocator's handler. Frames are counted over all its incarnations.
func (d *Run) injectMessageFault(process *network.Interceptor, h transport.FrameHandler, frames *int) transport.FrameHandler {
	fault := d.opts.MessageFault
	return &network.Injector{
		FrameHandler: h,
		Fault:        fault,
		Frames:       frames,
		Schedule: func(at placement.Millis, do func(now placement.Millis)) {
			d.host.RunAt(process, at, func(now placement.Millis) {
				if process.Alive() {
					do(now)
				}
			})
		},
		Crash: func(now placement.Millis) {
			process.Kill(now)
			if fault.Restarts {
				d.host.RunAt(process, now+network.CrashDuration, process.Restart)
			}
		},
	}
}

// flushTrace writes out the trace of an allocator's last incarnation.
func (d *Run) flushTrace(i int) {
	if incarnations := d.frontends[i]; len(incarnations) > 0 {
		incarnations[len(incarnations)-1].FlushTrace()
	}
}

// startTrace begins the trace of an allocator's incarnation, after it has closed that of the one before.
func (d *Run) startTrace(before *trace.Recorder, c native.Config) *trace.Recorder {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before != nil {
		before.Close()
		d.recorders = slices.DeleteFunc(d.recorders, func(r *trace.Recorder) bool { return r == before })
	}
	source := &tracepb.Source{
		Allocator:   c.Name,
		Incarnation: c.Incarnation,
		WallMs:      c.WallClockOffset,
	}
	r, err := trace.NewRecorder(filepath.Join(d.opts.TraceDirectory, c.Name), source, trace.DefaultLimits, c.Log)
	if err != nil {
		d.traceErr = err
		return nil
	}
	_, r.BlockWhenFull = d.host.(*network.Virtual)
	d.recorders = append(d.recorders, r)
	return r
}

// closeTraces writes out and closes all traces. No handler may run any more.
func (d *Run) closeTraces() error {
	for i := range d.frontends {
		d.flushTrace(i)
	}
	for _, r := range d.recorders {
		r.Close()
	}
	return d.traceErr
}

// mixHash hashes two numbers into one.
func mixHash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Deadline returns the time by which the last answer is due.
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

// RequestsEnd returns the time at which clients stop sending requests.
func (d *Run) RequestsEnd() placement.Millis { return d.requestsStart + d.script.Length }

// PendingRequests returns the number of requests that wait for an answer. The clients must not run meanwhile.
func (d *Run) PendingRequests() (n int) {
	for _, g := range d.clients {
		if o, ok := g.Handler().(*emulator.Client); ok {
			n += o.PendingRequests()
		}
	}
	return n
}
