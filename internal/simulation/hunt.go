package simulation

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

	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// Hunt is a search for days that break a rule, or on which most is lost.
type Search struct {
	Seed       uint64
	MaxRuns    int           // at most, 0 for no bound
	MaxTime    time.Duration // at most, 0 for no bound
	Allocators int           // at most, a day
	Nodes      int
	KeepWorst  int // days kept that break nothing and lose most
	Mutant     Mutant
}

// Find is a day that a hunt kept.
type Finding struct {
	Rule      int     `json:"rule,omitempty"` // that broke; 0 for a day that only loses much
	What      string  `json:"what"`
	Lost      float64 `json:"lost"` // share of the workloads wanted that were never placed
	Run       int     `json:"day"`  // number in the hunt
	Times     int     `json:"times"`
	Reduction string  `json:"shrunk"` // from what to what
	Script    string  `json:"script"`
	Seed      uint64  `json:"seed"`
}

// HuntReport is what a hunt found.
type SearchReport struct {
	Runs     int            `json:"days"`
	Seconds  float64        `json:"seconds"`
	Findings []Finding      `json:"finds"`
	Faults   map[string]int `json:"faults"`  // days on which each was played
	Nearest  audit.LimitUse `json:"nearest"` // how near to each limit any day came
}

// drawn is a day as a hunt makes it up: what differs from the quiet day.
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

// ranges are what a hunt draws the size of a fault from.
var faultSizes = map[scenario.FaultKind][2]float64{
	scenario.NodeSlow: {2, 12}, scenario.NodePause: {100, 900}, scenario.NoisyNeighbour: {0.3, 0.9}, scenario.RequestBurst: {1.3, 3}, scenario.HotService: {1.5, 4},
	scenario.UsageOverrun: {2, 8}, scenario.RollingDeploy: {0.05, 0.4}, scenario.CacheLoss: {0.3, 1}, scenario.ServiceRestart: {0.1, 0.7},
	scenario.AllocatorPause: {200, 2500}, scenario.NodePreemption: {0.05, 0.4}, scenario.DiscoveryOverload: {2, 60}, scenario.HotAllocator: {0.2, 0.9},
	scenario.DiscoveryLate: {300, 6e3}, scenario.DiscoveryWrong: {0.2, 5}, scenario.ClockSkew: {10, 500}, scenario.ClockStep: {100, 60e3}, scenario.FramesReordered: {5, 200},
	scenario.FramesDelayed: {5, 400}, scenario.LoadUnderreported: {0.2, 1},
}

// draw makes a day up.
func (h *Search) draw(day int) *generated {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(day)+1))
	between := func(least, most float64) float64 { return least + (most-least)*rng.Float64() }
	few := func(most int) int { return 1 + int(float64(most)*rng.Float64()*rng.Float64()) } // small ones more often
	nodes := 3 + few(max(1, h.Nodes-3))
	d := &generated{
		seed: uint64(rng.Uint32()) + 1, allocators: few(h.Allocators), smallNodes: nodes - nodes/3, largeNodes: nodes / 3,
		load: between(0.2, 1.3), length: placement.Millis(between(12e3, 24e3)), polled: rng.IntN(2) == 0, confirmsRunning: rng.IntN(3) == 0,
		drainMode: []string{"keeps", "paced", "at-once"}[rng.IntN(3)], warmUpBudget: 6 + rng.IntN(30), gangs: rng.IntN(4) == 0,
		durable: rng.IntN(4) == 0,
	}
	if d.durable { // it shows only where allocators die, and most where a bind is out for long
		d.confirmsRunning = true
		for range 2 {
			d.faults = append(d.faults, scenario.Fault{
				Kind: scenario.AllocatorCrash, At: placement.Millis(between(0, float64(d.length)*0.6)), Duration: placement.Millis(between(100, 2e3)), Share: 1,
			})
		}
	}
	kinds := scenario.FaultKinds()
	for range 1 + rng.IntN(4) {
		kind := kinds[rng.IntN(len(kinds))]
		f := scenario.Fault{
			Kind: kind, At: placement.Millis(between(0, float64(d.length)*0.8)), Duration: placement.Millis(between(300, 9e3)),
			Interval: placement.Millis(between(500, 4e3)), Share: between(0.05, 1), DrainTime: placement.Millis(between(300, 4e3)),
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

// text is the day as a script.
func (d *generated) text() string {
	var b strings.Builder
	ms := func(t placement.Millis) string { return fmt.Sprintf("%q", fmt.Sprintf("%.0fms", float64(t))) }
	list, confirms := "push", "accepted"
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

// play plays the day from its text, as anybody would who was given it.
func (d *generated) play(how Mutant) (*Result, error) {
	s, err := scenario.DecodeText("found.hcl", []byte(d.text()))
	if err != nil {
		return nil, err
	}
	return PlayVirtual(s, Options{Seed: d.seed, Mutant: how})
}

// lost is the share of the workloads wanted that no ask placed.
func unplacedShare(r *Result) float64 { return 1 - r.FirstPlaced }

// size is what shrinking makes less of.
func (d *generated) size() string {
	return fmt.Sprintf("%d faults, %d allocators, %d nodes, %.0f s", len(d.faults), d.allocators, d.smallNodes+d.largeNodes, float64(d.length)/1000)
}

// shrink looks for a smaller day that breaks the same rule: fewer faults first, then fewer allocators and nodes, a
// shorter day, a lower load. Every step is played; what does not break the rule any more is not taken.
func (d *generated) reduce(rule int, how Mutant) *generated {
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
				c.smallNodes, c.largeNodes = c.smallNodes/2, c.largeNodes/2
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

// outcome is one day of a hunt.
type outcome struct {
	day int
	d   *generated
	r   *Result
}

// Run hunts on all cores. Which days are drawn depends on the seed alone; how many of them, on the bounds.
func (h *Search) Run(ctx context.Context, told func(days, finds int)) (*SearchReport, error) {
	if h.MaxTime > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.MaxTime)
		defer cancel()
	}
	began := time.Now()
	days, outcomes := make(chan int), make(chan outcome)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for day := range days {
				d := h.draw(day)
				r, err := d.play(h.Mutant)
				if err != nil {
					mu.Lock()
					if failed == nil {
						failed = fmt.Errorf("day %d: %w\n%s", day, err, d.text())
					}
					mu.Unlock()
					continue
				}
				outcomes <- outcome{day: day, d: d, r: r}
			}
		}()
	}
	go func() {
		defer close(outcomes)
		for day := 0; ctx.Err() == nil && (h.MaxRuns == 0 || day < h.MaxRuns); day++ {
			days <- day
		}
		close(days)
		wg.Wait()
	}()
	report := &SearchReport{Faults: map[string]int{}, Findings: []Finding{}}
	var broken, worst []outcome
	for o := range outcomes {
		report.Runs++
		for _, f := range o.d.faults {
			report.Faults[string(f.Kind)]++
		}
		report.Nearest.RaiseTo(o.r.Nearest)
		if len(o.r.Violations) > 0 {
			broken = append(broken, o)
		} else if h.KeepWorst > 0 {
			worst = append(worst, o)
			slices.SortFunc(worst, func(x, y outcome) int {
				return cmp.Or(cmp.Compare(unplacedShare(y.r), unplacedShare(x.r)), x.day-y.day)
			})
			worst = worst[:min(len(worst), h.KeepWorst)]
		}
		if told != nil && report.Runs%100 == 0 {
			told(report.Runs, len(broken))
		}
	}
	if failed != nil {
		return nil, failed
	}
	report.keep(broken, worst, h.Mutant)
	report.Seconds = time.Since(began).Seconds()
	return report, nil
}

// keep shrinks one day of each kind of break: the same rule, told in the same words but for figures.
func (r *SearchReport) keep(broken, worst []outcome, how Mutant) {
	slices.SortFunc(broken, func(x, y outcome) int { return x.day - y.day })
	kinds := map[string]int{} // to place in Finds
	for _, o := range broken {
		b := o.r.Violations[0]
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
		before := o.d.size()
		small := o.d.reduce(b.Rule, how)
		r.Findings = append(r.Findings, Finding{
			Rule: b.Rule, What: b.Message, Lost: unplacedShare(o.r), Run: o.day, Times: 1, Reduction: before + " -> " + small.size(),
			Script: small.text(), Seed: small.seed,
		})
	}
	for _, o := range worst {
		r.Findings = append(r.Findings, Finding{
			What: "much is lost, and no rule is broken", Lost: unplacedShare(o.r), Run: o.day, Times: 1, Script: o.d.text(), Seed: o.d.seed,
		})
	}
}
