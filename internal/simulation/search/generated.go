package search

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// Properties of the scenario "quiet", from which generated scripts are derived.
const (
	smallCores = 24
	largeCores = 48
	// meanCoreSeconds is the mean core time of a workload, in core seconds: mean cores times mean lifetime.
	meanCoreSeconds = 17
	// gangRateDivisor is the request rate of single workloads divided by that of gangs.
	gangRateDivisor = 60
)

// generated is a generated script. Its fields are the properties that are drawn at random; all others are those of the
// scenario "quiet".
type generated struct {
	seed            uint64
	allocators      int
	smallNodes      int
	largeNodes      int
	load            float64 // mean demand, as a share of the fleet's cores
	length          placement.Millis
	polled          bool // allocators poll the discovery service; otherwise it pushes changes
	confirmsRunning bool // nodes accept an offer only when the workload runs
	drainMode       scenario.DrainMode
	warmUpBudget    int
	faults          []scenario.Fault
	gangs           bool
	durable         bool // allocators have durable state, and clients retry at-most-once workloads after a disconnect
}

// faultSizes holds the ranges from which the sizes of faults are drawn, in the unit of the fault's kind.
var faultSizes = map[scenario.FaultKind][2]float64{
	scenario.NodeSlow:          {2, 12},
	scenario.NodePause:         {100, 900},
	scenario.NoisyNeighbour:    {0.3, 0.9},
	scenario.RequestBurst:      {1.3, 3},
	scenario.HotService:        {1.5, 4},
	scenario.UsageOverrun:      {2, 8},
	scenario.RollingDeploy:     {0.05, 0.4},
	scenario.CacheLoss:         {0.3, 1},
	scenario.ServiceRestart:    {0.1, 0.7},
	scenario.AllocatorPause:    {200, 2500},
	scenario.NodePreemption:    {0.05, 0.4},
	scenario.DiscoveryOverload: {2, 60},
	scenario.HotAllocator:      {0.2, 0.9},
	scenario.DiscoveryLate:     {300, 6e3},
	scenario.DiscoveryWrong:    {0.2, 5},
	scenario.ClockSkew:         {10, 500},
	scenario.ClockStep:         {100, 60e3},
	scenario.FramesReordered:   {5, 200},
	scenario.FramesDelayed:     {5, 400},
	scenario.LoadUnderreported: {0.2, 1},
}

// generator draws the properties of one script.
type generator struct{ rng *rand.Rand }

// between draws a number from the range [least, most).
func (g generator) between(least, most float64) float64 { return least + (most-least)*g.rng.Float64() }

// millis draws a duration from the range [least, most), in ms.
func (g generator) millis(least, most float64) placement.Millis {
	return placement.Millis(g.between(least, most))
}

// few draws a number from 1 to most; small numbers are more likely.
func (g generator) few(most int) int { return 1 + int(float64(most)*g.rng.Float64()*g.rng.Float64()) }

// oneIn returns true with a probability of 1/count.
func (g generator) oneIn(count int) bool { return g.rng.IntN(count) == 0 }

// generate returns the script of the run with this index. It depends only on the index and the search's seed and
// limits.
func (s *Search) generate(index int) *generated {
	draw := generator{rng: rand.New(rand.NewPCG(s.Seed, uint64(index)+1))}
	nodes := 3 + draw.few(max(1, s.Nodes-3))
	drainModes := []scenario.DrainMode{scenario.DrainKeeps, scenario.DrainPaced, scenario.DrainAtOnce}
	script := &generated{
		seed:            uint64(draw.rng.Uint32()) + 1,
		allocators:      draw.few(s.Allocators),
		smallNodes:      nodes - nodes/3,
		largeNodes:      nodes / 3,
		load:            draw.between(0.2, 1.3),
		length:          draw.millis(12e3, 24e3),
		polled:          draw.oneIn(2),
		confirmsRunning: draw.oneIn(3),
		drainMode:       drainModes[draw.rng.IntN(len(drainModes))],
		warmUpBudget:    6 + draw.rng.IntN(30),
		gangs:           draw.oneIn(4),
		durable:         draw.oneIn(4),
	}
	if script.durable {
		// Durable state has an effect only if allocators crash, and most if binds are in flight for a long time.
		script.confirmsRunning = true
		for range 2 {
			script.faults = append(script.faults, draw.allocatorCrash(script.length))
		}
	}
	for range 1 + draw.rng.IntN(4) {
		script.faults = append(script.faults, draw.fault(script.length))
	}
	return script
}

// allocatorCrash draws a crash of all allocators.
func (g generator) allocatorCrash(length placement.Millis) scenario.Fault {
	return scenario.Fault{
		Kind:     scenario.AllocatorCrash,
		At:       g.millis(0, float64(length)*0.6),
		Duration: g.millis(100, 2e3),
		Share:    1,
	}
}

// fault draws a fault of any kind.
func (g generator) fault(length placement.Millis) scenario.Fault {
	kinds := scenario.FaultKinds()
	kind := kinds[g.rng.IntN(len(kinds))]
	fault := scenario.Fault{
		Kind:      kind,
		At:        g.millis(0, float64(length)*0.8),
		Duration:  g.millis(300, 9e3),
		Interval:  g.millis(500, 4e3),
		Share:     g.between(0.05, 1),
		DrainTime: g.millis(300, 4e3),
	}
	if sizes, ok := faultSizes[kind]; ok {
		fault.Size = g.between(sizes[0], sizes[1])
	}
	if kind == scenario.GroupThrottled || kind == scenario.UsageOverrun {
		fault.Group = []string{"serve", "check", "trace"}[g.rng.IntN(3)]
	}
	if kind == scenario.ZoneCut {
		fault.Zone = []string{"hall-a", "hall-b"}[g.rng.IntN(2)]
	}
	return fault
}

// millis returns a duration in the format of scripts.
func millis(duration placement.Millis) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%.0fms", float64(duration)))
}

// text returns the text of the script.
func (g *generated) text() string {
	var b strings.Builder
	b.WriteString("about      = \"found by a hunt\"\nlike       = \"quiet\"\n")
	fmt.Fprintf(&b, "allocators = %d\nlength     = %s\n\n", g.allocators, millis(g.length))
	writeNodeKind(&b, "small", smallCores, g.smallNodes)
	writeNodeKind(&b, "large", largeCores, g.largeNodes)
	g.writeRules(&b)
	fleetCores := float64(smallCores*g.smallNodes + largeCores*g.largeNodes)
	rate := g.load * fleetCores / meanCoreSeconds
	fmt.Fprintf(&b, "load {\n  rate    = %.2f\n  insists = %v\n}\n", rate, g.durable)
	if g.durable {
		b.WriteString("\nstate {\n  disk = \"8ms\"\n}\n")
	}
	if g.gangs {
		writeGang(&b, rate/gangRateDivisor)
	}
	for i, fault := range g.faults {
		writeFault(&b, fmt.Sprint(i+1), fault)
	}
	return b.String()
}

// writeNodeKind writes a node kind. Its memory is twice its number of cores.
func writeNodeKind(b *strings.Builder, name string, cores, count int) {
	fmt.Fprintf(b, "kind %q {\n  cores  = %d\n  memory = %d\n  count  = %d\n}\n\n", name, cores, 2*cores, count)
}

// writeRules writes the blocks "rules" and "node", which set how allocators, nodes and the discovery service interact.
func (g *generated) writeRules(b *strings.Builder) {
	discovery := "push"
	if g.polled {
		discovery = "ask"
	}
	confirms := "accepted"
	if g.confirmsRunning {
		confirms = "running"
	}
	fmt.Fprintf(b, "rules {\n  list       = %q\n  confirms   = %q\n", discovery, confirms)
	fmt.Fprintf(b, "  cold_bears = %d\n}\n\n", g.warmUpBudget)
	fmt.Fprintf(b, "node {\n  drained = %q\n}\n\n", g.drainMode)
}

// writeGang writes a demand for gangs. Parts live longer than a lease: a shorter part that the allocator fails to stop
// would end before the auditor reports it.
func writeGang(b *strings.Builder, rate float64) {
	fmt.Fprintf(b, "\ngang \"parts\" {\n  group  = \"serve\"\n  rate   = %.3f\n", rate)
	b.WriteString("  parts  = 3\n  cores  = 4\n  memory = 6\n  life   = \"30s\"\n}\n")
}

// writeFault writes a fault with the properties that apply to its kind.
func writeFault(b *strings.Builder, name string, fault scenario.Fault) {
	fmt.Fprintf(b, "\nfault %q {\n  kind  = %q\n", name, fault.Kind)
	fmt.Fprintf(b, "  at    = %s\n  for   = %s\n", millis(fault.At), millis(fault.Duration))
	fmt.Fprintf(b, "  part  = %.3f\n", fault.Share)
	spec := scenario.FaultSpecs[fault.Kind]
	if spec.MaxSize > 0 {
		fmt.Fprintf(b, "  size  = %.4g\n", fault.Size)
	}
	if spec.DefaultInterval > 0 {
		fmt.Fprintf(b, "  every = %s\n", millis(fault.Interval))
	}
	if fault.Kind == scenario.RollingDeploy {
		fmt.Fprintf(b, "  drain = %s\n", millis(fault.DrainTime))
	}
	if fault.Group != "" {
		fmt.Fprintf(b, "  group = %q\n", fault.Group)
	}
	if fault.Zone != "" {
		fmt.Fprintf(b, "  zone  = %q\n", fault.Zone)
	}
	b.WriteString("}\n")
}

// play plays the script from its text, the form in which a report contains it.
func (g *generated) play(mutant simulation.Mutant) (*simulation.Result, error) {
	script, err := scenario.DecodeText("found.hcl", []byte(g.text()))
	if err != nil {
		return nil, err
	}
	return simulation.PlayVirtual(script, simulation.Options{Seed: g.seed, Mutant: mutant})
}

// breaks reports whether a run of the script breaks the rule. A script that cannot be played breaks none.
func (g *generated) breaks(rule int, mutant simulation.Mutant) bool {
	result, err := g.play(mutant)
	if err != nil {
		return false
	}
	ofRule := func(violation audit.Violation) bool { return violation.Rule == rule }
	return slices.ContainsFunc(result.Violations, ofRule)
}

// size describes the size of the script: faults, allocators, nodes and length.
func (g *generated) size() string {
	nodes := g.smallNodes + g.largeNodes
	seconds := float64(g.length) / 1000
	return fmt.Sprintf("%d faults, %d allocators, %d nodes, %.0f s", len(g.faults), g.allocators, nodes, seconds)
}
