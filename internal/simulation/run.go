// Package simulation plays scenarios: real allocators run against emulated nodes, clients and a discovery service, in
// virtual time or on loopback sockets, and an audit checks the rules.
package simulation

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"grebeglade/internal/frontend/native"
	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// settleTime is the time, in ms, for which a run continues after the last answer, so that workloads and gangs finish
// starting or ending.
const settleTime = placement.Millis(2e3)

// Stream numbers of a run's random sources, in addition to those of the processes: one for the fleet, and one per
// fault, starting at firstFaultStream.
const (
	fleetStream      = 77
	firstFaultStream = 1000
)

const (
	nodesPerCell    = 4
	maxNodeFailures = 100 // failures per node for which Run.overloads has room
)

// Options are the options of a run in addition to its script.
type Options struct {
	Seed           uint64
	Mutant         Mutant                // deliberate violation of a rule, or NoMutant
	Log            *slog.Logger          // nil to discard log records
	MessageFault   *network.MessageFault // injected at the first allocator; nil for none
	Oracle         bool                  // compare with the optimal placement; virtual time only
	Cancelled      func() error          // polled during a run in virtual time, which ends on an error; may be nil
	Deadline       time.Time             // wall-clock time at which a run in virtual time is stopped; zero for none
	HistoryFile    string                // name of the history file to write; "" for none
	TraceDirectory string                // parent of a trace directory per allocator; "" for no traces
}

// Run is a script that is played on a host. It must not be copied. It holds the script and options, the processes, and
// the state that the processes share.
type Run struct {
	script   *scenario.Script
	opts     Options
	host     network.Host
	observer observer.Observer
	rng      *rand.Rand
	processes
	requestsStart   placement.Millis                       // start of requests, after the script's settle time
	overloads       chan struct{}                          // one value per overload of a node during warm-up
	drains          map[*network.Interceptor][]oracle.Span // planned drains, by node
	wallClockOffset float64                                // Unix time, in ms, of the host clock's zero; 0 in virtual time
	traces          traces
}

// processes are the processes of a run.
type processes struct {
	discovery  *network.Interceptor
	nodes      []*network.Interceptor
	specs      []*emulator.NodeSpec // node specs, in the order of nodes
	allocators []*network.Interceptor
	clients    []*network.Interceptor
	frontends  [][]*native.Frontend // index: allocator, incarnation
}

// NewRun adds the processes of the script to the host and schedules its faults.
func NewRun(s *scenario.Script, o Options, host network.Host, w observer.Observer, now placement.Millis) (*Run, error) {
	run := newRun(s, o, host, w, now)
	if err := run.populate(); err != nil {
		return nil, err
	}
	for i, fault := range s.Faults {
		run.rng = rand.New(rand.NewPCG(o.Seed, uint64(firstFaultStream+i)))
		run.planFault(fault)
	}
	return run, nil
}

// newRun returns a run without processes.
func newRun(s *scenario.Script, o Options, host network.Host, w observer.Observer, now placement.Millis) *Run {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	run := &Run{
		script:        s,
		opts:          o,
		host:          host,
		observer:      w,
		rng:           rand.New(rand.NewPCG(o.Seed, fleetStream)),
		requestsStart: now + s.SettleTime,
		overloads:     make(chan struct{}, s.NodeCount()*maxNodeFailures+1),
		drains:        map[*network.Interceptor][]oracle.Span{},
	}
	if !run.virtual() {
		run.wallClockOffset = float64(time.Now().UnixNano())/1e6 - float64(now)
	}
	return run
}

// virtual reports whether the run is in virtual time.
func (r *Run) virtual() bool {
	_, virtual := r.host.(*network.Virtual)
	return virtual
}

// zone returns the zone of a process, given its index among the processes of its role.
func (r *Run) zone(i int) string { return r.script.Zones[i%len(r.script.Zones)] }

// newDiscovery returns the discovery service.
func (r *Run) newDiscovery() *network.Interceptor {
	newService := func(incarnation uint64) transport.FrameHandler {
		return emulator.NewDiscoveryService(&r.script.Discovery, incarnation)
	}
	return network.NewInterceptor("list", pb.Role_DISCOVERY, 0, r.observer, newService)
}

// addNodes adds the nodes. They are shuffled before they are assigned to zones, so that zones have a mix of kinds.
func (r *Run) addNodes(discoveryAddress string) error {
	for kind, count := range r.script.NodeCounts {
		for range count {
			r.specs = append(r.specs, r.newNodeSpec(kind, discoveryAddress))
		}
	}
	r.rng.Shuffle(len(r.specs), func(i, j int) { r.specs[i], r.specs[j] = r.specs[j], r.specs[i] })
	for i, spec := range r.specs {
		spec.Zone = r.zone(i)
		spec.Cell = fmt.Sprintf("%s/%d", spec.Zone, i/len(r.script.Zones)/nodesPerCell)
		if err := r.addNode(spec); err != nil {
			return err
		}
	}
	return nil
}

// newNodeSpec returns the spec of the next node of a kind, without zone and cell. The ID depends on the seed; its last
// three digits depend only on the node's index, which keeps IDs unique for up to 1000 nodes.
func (r *Run) newNodeSpec(kind int, discoveryAddress string) *emulator.NodeSpec {
	i := len(r.specs)
	return &emulator.NodeSpec{
		ID:            uint32(mixHash(r.opts.Seed, uint64(i))%1_000_000)*1000 + uint32(i%1000) + 1,
		Kind:          r.script.NodeKinds[kind],
		Cores:         r.script.Settings.NodeKinds[kind].Cores,
		Memory:        r.script.Settings.NodeKinds[kind].Memory,
		DiscoveryAddr: discoveryAddress,
	}
}

// populate adds all processes: the discovery service, nodes, allocators and clients.
func (r *Run) populate() error {
	r.discovery = r.newDiscovery()
	discoveryAddress, err := r.host.AddHandler(r.discovery, r.zone(0))
	if err != nil {
		return err
	}
	if err := r.addNodes(discoveryAddress); err != nil {
		return err
	}
	var addresses []string
	for i := range r.script.Allocators {
		allocator := r.newAllocator(i, discoveryAddress)
		r.allocators = append(r.allocators, allocator)
		address, err := r.host.AddHandler(allocator, r.zone(i))
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	return r.addClients(addresses)
}

// addClients adds the clients, each with an equal share of the request rates.
func (r *Run) addClients(allocators []string) error {
	model := r.clientModel(allocators)
	for i := range r.script.Clients {
		name := fmt.Sprintf("owner-%d", i+1)
		newClient := func(uint64) transport.FrameHandler {
			return emulator.NewClient(name, i, model, r.opts.Seed)
		}
		client := network.NewInterceptor(name, pb.Role_CLIENT, i, r.observer, newClient)
		r.clients = append(r.clients, client)
		if _, err := r.host.AddHandler(client, r.zone(i)); err != nil {
			return err
		}
	}
	return nil
}

// clientModel returns the script's client model with the times and allocator addresses of the run, and the rates of one
// client.
func (r *Run) clientModel(allocators []string) *scenario.ClientModel {
	model := r.script.Client
	model.Allocators = append(model.Allocators, allocators...)
	model.Demand = r.script.Demand
	model.From = r.requestsStart
	model.Until = r.RequestsEnd()
	model.Rate /= float64(r.script.Clients)
	model.Gangs = slices.Clone(model.Gangs)
	for i := range model.Gangs {
		model.Gangs[i].Rate /= float64(r.script.Clients)
	}
	return &model
}

// addNode adds a node, which is killed if too many offers overload it.
func (r *Run) addNode(spec *emulator.NodeSpec) error {
	var process *network.Interceptor
	newNode := func(incarnation uint64) transport.FrameHandler {
		node := emulator.NewNode(spec, &r.script.Node, incarnation)
		node.OnOverload = func() {
			r.overloads <- struct{}{}
			process.Kill(process.HostNow())
		}
		node.OnRunning = func(task *emulator.Task, runs bool) {
			r.countCoreTime(spec, task, runs, process.HostNow())
		}
		return node
	}
	process = network.NewInterceptor(fmt.Sprintf("node-%d", spec.ID), pb.Role_NODE, int(spec.ID), r.observer, newNode)
	process.OnKill = func(inner transport.FrameHandler) { inner.(*emulator.Node).Stop() }
	r.nodes = append(r.nodes, process)
	address, err := r.host.AddHandler(process, spec.Zone)
	spec.Addr = address
	return err
}

// countCoreTime adds the core time of a single workload to its node, up to the end of the requests. It is called when
// the workload starts or stops running.
func (r *Run) countCoreTime(spec *emulator.NodeSpec, task *emulator.Task, runs bool, at placement.Millis) {
	at = min(at, r.RequestsEnd())
	switch {
	case task.Offer.Gang != nil:
	case runs:
		task.RunningSince = at
	default:
		spec.CoreTime += task.Offer.Request.Cores * float64(at-task.RunningSince)
	}
}

// mixHash returns a hash of two numbers, used to derive seeds.
func mixHash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Deadline returns the time after which no more answers are due, including the settle time.
func (r *Run) Deadline() placement.Millis {
	longest := placement.Millis(0)
	for _, demand := range r.script.Demand {
		longest = max(longest, demand.PendingTimeout)
	}
	for _, gang := range r.script.Client.Gangs {
		longest = max(longest, gang.PendingTimeout)
	}
	return r.RequestsEnd() + longest + r.script.Client.AnswerSlack + settleTime
}

// RequestsEnd returns the time at which clients stop sending requests.
func (r *Run) RequestsEnd() placement.Millis { return r.requestsStart + r.script.Length }

// PendingRequests returns the number of requests without an answer. Clients must not run during the call.
func (r *Run) PendingRequests() (count int) {
	for _, process := range r.clients {
		if client, ok := process.Handler().(*emulator.Client); ok {
			count += client.PendingRequests()
		}
	}
	return count
}
