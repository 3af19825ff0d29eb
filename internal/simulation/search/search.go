// Package search plays generated scripts and looks for runs that break a rule; those that it finds it reduces to minimal examples.
package search

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// Search looks for runs that break a rule, or that place least.
type Search struct {
	Seed       uint64
	MaxRuns    int           // 0 for no limit
	MaxTime    time.Duration // 0 for no limit
	Allocators int           // at most, in a run
	Nodes      int           // at most, in a run
	KeepWorst  int           // runs without a violation that are reported
	Mutant     simulation.Mutant
}

// Finding is a run that a search reports.
type Finding struct {
	Rule      int     `json:"rule,omitempty"` // that broke; 0 for a run that only places little
	What      string  `json:"what"`
	Lost      float64 `json:"lost"` // share of the workloads wanted that were never placed
	Run       int     `json:"day"`  // index in the search
	Times     int     `json:"times"`
	Reduction string  `json:"shrunk"` // from which size to which
	Script    string  `json:"script"`
	Seed      uint64  `json:"seed"`
}

// Report is the result of a search.
type Report struct {
	Runs     int            `json:"days"`
	Seconds  float64        `json:"seconds"`
	Findings []Finding      `json:"finds"`
	Faults   map[string]int `json:"faults"`  // runs in which each was injected
	Nearest  audit.LimitUse `json:"nearest"` // how close to each limit any run came
}

// progressInterval is the number of runs between calls of the progress function.
const progressInterval = 100

// generated is a generated script: what differs from the quiet scenario.
type generated struct {
	seed                    uint64
	allocators              int
	smallNodes, largeNodes  int
	load                    float64
	length                  placement.Millis
	polled, confirmsRunning bool // how the list is read, and what a node's yes means
	drainMode               string
	warmUpBudget            int
	faults                  []scenario.Fault
	gangs                   bool
	durable                 bool // allocators write down what must not run twice, and owners insist on it
}

// faultSizes are the ranges from which the sizes of faults are drawn.
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

// generate returns the script of a run. It depends on the seed and the index alone.
func (h *Search) generate(index int) *generated {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(index)+1))
	between := func(least, most float64) float64 { return least + (most-least)*rng.Float64() }
	few := func(most int) int { return 1 + int(float64(most)*rng.Float64()*rng.Float64()) } // small ones more often
	nodes := 3 + few(max(1, h.Nodes-3))
	d := &generated{
		seed:            uint64(rng.Uint32()) + 1,
		allocators:      few(h.Allocators),
		smallNodes:      nodes - nodes/3,
		largeNodes:      nodes / 3,
		load:            between(0.2, 1.3),
		length:          placement.Millis(between(12e3, 24e3)),
		polled:          rng.IntN(2) == 0,
		confirmsRunning: rng.IntN(3) == 0,
		drainMode:       []string{"keeps", "paced", "at-once"}[rng.IntN(3)],
		warmUpBudget:    6 + rng.IntN(30),
		gangs:           rng.IntN(4) == 0,
		durable:         rng.IntN(4) == 0,
	}
	if d.durable { // it shows only where allocators die, and most where a bind is out for long
		d.confirmsRunning = true
		for range 2 {
			d.faults = append(d.faults, scenario.Fault{
				Kind:     scenario.AllocatorCrash,
				At:       placement.Millis(between(0, float64(d.length)*0.6)),
				Duration: placement.Millis(between(100, 2e3)),
				Share:    1,
			})
		}
	}
	kinds := scenario.FaultKinds()
	for range 1 + rng.IntN(4) {
		kind := kinds[rng.IntN(len(kinds))]
		f := scenario.Fault{
			Kind:      kind,
			At:        placement.Millis(between(0, float64(d.length)*0.8)),
			Duration:  placement.Millis(between(300, 9e3)),
			Interval:  placement.Millis(between(500, 4e3)),
			Share:     between(0.05, 1),
			DrainTime: placement.Millis(between(300, 4e3)),
		}
		if r, ok := faultSizes[kind]; ok {
			f.Size = between(r[0], r[1])
		}
		switch kind {
		case scenario.GroupThrottled, scenario.UsageOverrun:
			f.Group = []string{"serve", "check", "trace"}[rng.IntN(3)]
		case scenario.ZoneCut:
			f.Zone = []string{"hall-a", "hall-b"}[rng.IntN(2)]
		}
		d.faults = append(d.faults, f)
	}
	return d
}

// text returns the script.
func (d *generated) text() string {
	var b strings.Builder
	ms := func(t placement.Millis) string { return fmt.Sprintf("%q", fmt.Sprintf("%.0fms", float64(t))) }
	list := "push"
	confirms := "accepted"
	if d.polled {
		list = "ask"
	}
	if d.confirmsRunning {
		confirms = "running"
	}
	fmt.Fprintf(&b, "about      = \"found by a hunt\"\nlike       = \"quiet\"\nallocators = %d\nlength     = %s\n\n", d.allocators, ms(d.length))
	fmt.Fprintf(&b, "kind \"small\" {\n  cores  = 24\n  memory = 48\n  count  = %d\n}\n\n", d.smallNodes)
	fmt.Fprintf(&b, "kind \"large\" {\n  cores  = 48\n  memory = 96\n  count  = %d\n}\n\n", d.largeNodes)
	fmt.Fprintf(&b, "rules {\n  list       = %q\n  confirms   = %q\n  cold_bears = %d\n}\n\nnode {\n  drained = %q\n}\n\n", list, confirms, d.warmUpBudget, d.drainMode)
	rate := d.load * float64(24*d.smallNodes+48*d.largeNodes) / 17 // cores that a workload of the quiet day takes, times its seconds
	fmt.Fprintf(&b, "load {\n  rate    = %.2f\n  insists = %v\n}\n", rate, d.durable)
	if d.durable {
		b.WriteString("\nstate {\n  disk = \"8ms\"\n}\n")
	}
	if d.gangs {
		fmt.Fprintf(&b, "\ngang \"parts\" {\n  group  = \"serve\"\n  rate   = %.3f\n  parts  = 3\n  cores  = 4\n  memory = 6\n"+
			"  life   = \"30s\"\n}\n", rate/60) // parts that outlive a lease, or a forgotten one ends unseen
	}
	for i, f := range d.faults {
		fmt.Fprintf(&b, "\nfault \"%d\" {\n  kind  = %q\n  at    = %s\n  for   = %s\n  part  = %.3f\n", i+1, f.Kind, ms(f.At), ms(f.Duration), f.Share)
		known := scenario.FaultSpecs[f.Kind]
		if known.MaxSize > 0 {
			fmt.Fprintf(&b, "  size  = %.4g\n", f.Size)
		}
		if known.DefaultInterval > 0 {
			fmt.Fprintf(&b, "  every = %s\n", ms(f.Interval))
		}
		if f.Kind == scenario.RollingDeploy {
			fmt.Fprintf(&b, "  drain = %s\n", ms(f.DrainTime))
		}
		if f.Group != "" {
			fmt.Fprintf(&b, "  group = %q\n", f.Group)
		}
		if f.Zone != "" {
			fmt.Fprintf(&b, "  zone  = %q\n", f.Zone)
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// play plays the script from its text, as anybody would who was given it.
func (d *generated) play(how simulation.Mutant) (*simulation.Result, error) {
	s, err := scenario.DecodeText("found.hcl", []byte(d.text()))
	if err != nil {
		return nil, err
	}
	return simulation.PlayVirtual(s, simulation.Options{Seed: d.seed, Mutant: how})
}

// unplacedShare returns the share of the workloads wanted that no first request placed.
func unplacedShare(r *simulation.Result) float64 { return 1 - r.FirstPlaced }

// size describes what reduce makes smaller.
func (d *generated) size() string {
	return fmt.Sprintf("%d faults, %d allocators, %d nodes, %.0f s", len(d.faults), d.allocators, d.smallNodes+d.largeNodes, float64(d.length)/1000)
}

// reduce looks for a smaller script that breaks the same rule: fewer faults first, then fewer allocators and nodes, a shorter
// run, a lower load. Every step is played; a step after which the rule holds is not taken.
func (d *generated) reduce(rule int, how simulation.Mutant) *generated {
	holds := func(c *generated) bool {
		r, err := c.play(how)
		return err == nil && slices.ContainsFunc(r.Violations, func(b audit.Violation) bool { return b.Rule == rule })
	}
	try := func(change func(*generated) bool) bool {
		c := *d
		c.faults = slices.Clone(d.faults)
		if !change(&c) || !holds(&c) {
			return false
		}
		*d = c
		return true
	}
	for again := true; again; {
		again = false
		for i := 0; i < len(d.faults); {
			if try(func(c *generated) bool { c.faults = slices.Delete(c.faults, i, i+1); return true }) {
				again = true
			} else {
				i++
			}
		}
		for _, change := range []func(*generated) bool{
			func(c *generated) bool { c.gangs = false; return d.gangs },
			func(c *generated) bool { c.durable = false; return d.durable },
			func(c *generated) bool { c.allocators /= 2; return c.allocators >= 1 },
			func(c *generated) bool {
				c.smallNodes /= 2
				c.largeNodes /= 2
				return c.smallNodes >= 1
			},
			func(c *generated) bool { c.length /= 2; return c.length >= 2e3 },
			func(c *generated) bool { c.load /= 2; return c.load > 0.05 },
		} {
			again = try(change) || again
		}
	}
	return d
}

// outcome is one run of a search.
type outcome struct {
	index  int
	script *generated
	result *simulation.Result
}

// Run searches on all cores. Which runs are generated depends on the seed alone; how many of them, on the limits. Progress, if
// not nil, is called now and then with the numbers of runs and of violations so far.
func (h *Search) Run(ctx context.Context, progress func(runs, violations int)) (*Report, error) {
	if h.MaxTime > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.MaxTime)
		defer cancel()
	}
	began := time.Now()
	outcomes, failure := h.playAll(ctx)
	report := &Report{Faults: map[string]int{}, Findings: []Finding{}}
	var broken, worst []outcome
	for o := range outcomes {
		report.count(o)
		if len(o.result.Violations) > 0 {
			broken = append(broken, o)
		} else if h.KeepWorst > 0 {
			worst = h.insertWorst(worst, o)
		}
		if progress != nil && report.Runs%progressInterval == 0 {
			progress(report.Runs, len(broken))
		}
	}
	if err := failure(); err != nil {
		return nil, err
	}
	report.keep(broken, worst, h.Mutant)
	report.Seconds = time.Since(began).Seconds()
	return report, nil
}

// playAll plays runs until the context or the number of runs ends, one on each core at a time. The channel is closed after the
// last; failure then returns the first error.
func (h *Search) playAll(ctx context.Context) (outcomes chan outcome, failure func() error) {
	indexes := make(chan int)
	outcomes = make(chan outcome)
	var workers sync.WaitGroup
	var mu sync.Mutex
	var first error
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for index := range indexes {
				script := h.generate(index)
				result, err := script.play(h.Mutant)
				if err == nil {
					outcomes <- outcome{index, script, result}
					continue
				}
				mu.Lock()
				if first == nil {
					first = fmt.Errorf("day %d: %w\n%s", index, err, script.text())
				}
				mu.Unlock()
			}
		})
	}
	go func() {
		defer close(outcomes)
		for index := 0; ctx.Err() == nil && (h.MaxRuns == 0 || index < h.MaxRuns); index++ {
			indexes <- index
		}
		close(indexes)
		workers.Wait()
	}()
	return outcomes, func() error { return first }
}

// insertWorst returns the KeepWorst runs that placed least of the workloads wanted.
func (h *Search) insertWorst(worst []outcome, o outcome) []outcome {
	worst = append(worst, o)
	slices.SortFunc(worst, func(x, y outcome) int {
		return cmp.Or(cmp.Compare(unplacedShare(y.result), unplacedShare(x.result)), x.index-y.index)
	})
	return worst[:min(len(worst), h.KeepWorst)]
}

// count adds a run to the report's totals.
func (r *Report) count(o outcome) {
	r.Runs++
	for _, f := range o.script.faults {
		r.Faults[string(f.Kind)]++
	}
	r.Nearest.RaiseTo(o.result.LimitUse)
}

// keep adds one run of each kind of violation, reduced, and the worst runs. Violations are of one kind if the rule and the
// message, but for its digits, are the same.
func (r *Report) keep(broken, worst []outcome, how simulation.Mutant) {
	slices.SortFunc(broken, func(x, y outcome) int { return x.index - y.index })
	kinds := map[string]int{} // to place in Finds
	for _, o := range broken {
		b := o.result.Violations[0]
		kind := fmt.Sprintf("%d %s", b.Rule, strings.Map(func(c rune) rune {
			if c >= '0' && c <= '9' {
				return -1
			}
			return c
		}, b.Message))
		if at, met := kinds[kind]; met {
			r.Findings[at].Times++
			continue
		}
		kinds[kind] = len(r.Findings)
		before := o.script.size()
		small := o.script.reduce(b.Rule, how)
		r.Findings = append(r.Findings, Finding{
			Rule:      b.Rule,
			What:      b.Message,
			Lost:      unplacedShare(o.result),
			Run:       o.index,
			Times:     1,
			Reduction: before + " -> " + small.size(),
			Script:    small.text(),
			Seed:      small.seed,
		})
	}
	for _, o := range worst {
		r.Findings = append(r.Findings, Finding{
			What:   "much is lost, and no rule is broken",
			Lost:   unplacedShare(o.result),
			Run:    o.index,
			Times:  1,
			Script: o.script.text(),
			Seed:   o.script.seed,
		})
	}
}
