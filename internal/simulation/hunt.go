package simulation

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"grebeglade/placement"
)

// Hunt is a search for days that break a rule, or on which most is lost.
type Hunt struct {
	Seed       uint64
	Days       int           // at most, 0 for no bound
	Time       time.Duration // at most, 0 for no bound
	Allocators int           // at most, a day
	Nodes      int
	Worst      int // days kept that break nothing and lose most
	Sabotage   Sabotage
}

// Find is a day that a hunt kept.
type Find struct {
	Rule   int     `json:"rule,omitempty"` // that broke; 0 for a day that only loses much
	What   string  `json:"what"`
	Lost   float64 `json:"lost"` // share of the workloads wanted that were never placed
	Day    int     `json:"day"`  // number in the hunt
	Times  int     `json:"times"`
	Shrunk string  `json:"shrunk"` // from what to what
	Script string  `json:"script"`
	Seed   uint64  `json:"seed"`
}

// HuntReport is what a hunt found.
type HuntReport struct {
	Days    int            `json:"days"`
	Seconds float64        `json:"seconds"`
	Finds   []Find         `json:"finds"`
	Faults  map[string]int `json:"faults"`  // days on which each was played
	Nearest Nearest        `json:"nearest"` // how near to each limit any day came
}

// Nearest is how near to its limits a day came: 1 is the limit.
type Nearest struct {
	Answer float64 `json:"answer_time"`  // of the pending timeout, until an answer
	Drain  float64 `json:"drain_grace"`  // of the grace, until the last offer to a draining node
	Cold   float64 `json:"cold_budget"`  // of what a cold node bears
	Spread float64 `json:"spread_limit"` // of the most in one place
}

func (n *Nearest) atLeast(m Nearest) {
	n.Answer, n.Drain = max(n.Answer, m.Answer), max(n.Drain, m.Drain)
	n.Cold, n.Spread = max(n.Cold, m.Cold), max(n.Spread, m.Spread)
}

// drawn is a day as a hunt makes it up: what differs from the quiet day.
type drawn struct {
	seed         uint64
	allocators   int
	small, large int
	load         float64
	length       placement.Millis
	ask, running bool // how the list is read, and what a node's yes means
	away         string
	bears        int
	faults       []Fault
	gangs        bool
	state        bool // allocators write down what must not run twice, and owners insist on it
}

// ranges are what a hunt draws the size of a fault from.
var ranges = map[string][2]float64{
	"slow": {2, 12}, "stall": {100, 900}, "neighbour": {0.3, 0.9}, "burst": {1.3, 3}, "hot-service": {1.5, 4},
	"overrun": {2, 8}, "deploy": {0.05, 0.4}, "forget": {0.3, 1}, "reconnect": {0.1, 0.7},
	"allocator-still": {200, 2500}, "preempt": {0.05, 0.4}, "list-overrun": {2, 60}, "hot-allocator": {0.2, 0.9},
	"list-late": {300, 6e3}, "list-wrong": {0.2, 5}, "clock-skew": {10, 500}, "clock-step": {100, 60e3}, "reordered": {5, 200},
	"delayed": {5, 400}, "lying": {0.2, 1},
}

// draw makes a day up.
func (h *Hunt) draw(day int) *drawn {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(day)+1))
	between := func(least, most float64) float64 { return least + (most-least)*rng.Float64() }
	few := func(most int) int { return 1 + int(float64(most)*rng.Float64()*rng.Float64()) } // small ones more often
	nodes := 3 + few(max(1, h.Nodes-3))
	d := &drawn{
		seed: uint64(rng.Uint32()) + 1, allocators: few(h.Allocators), small: nodes - nodes/3, large: nodes / 3,
		load: between(0.2, 1.3), length: placement.Millis(between(12e3, 24e3)), ask: rng.IntN(2) == 0, running: rng.IntN(3) == 0,
		away: []string{"keeps", "paced", "at-once"}[rng.IntN(3)], bears: 6 + rng.IntN(30), gangs: rng.IntN(4) == 0,
		state: rng.IntN(4) == 0,
	}
	if d.state { // it shows only where allocators die, and most where a bind is out for long
		d.running = true
		for range 2 {
			d.faults = append(d.faults, Fault{
				Kind: "allocator-death", At: placement.Millis(between(0, float64(d.length)*0.6)), For: placement.Millis(between(100, 2e3)), Part: 1,
			})
		}
	}
	kinds := slices.Sorted(maps.Keys(faultKinds))
	for range 1 + rng.IntN(4) {
		kind := kinds[rng.IntN(len(kinds))]
		f := Fault{
			Kind: kind, At: placement.Millis(between(0, float64(d.length)*0.8)), For: placement.Millis(between(300, 9e3)),
			Every: placement.Millis(between(500, 4e3)), Part: between(0.05, 1), Wait: placement.Millis(between(300, 4e3)),
		}
		if r, ok := ranges[kind]; ok {
			f.Size = between(r[0], r[1])
		}
		switch kind {
		case "throttle", "overrun":
			f.Group = []string{"serve", "check", "trace"}[rng.IntN(3)]
		case "hall-cut":
			f.Zone = []string{"hall-a", "hall-b"}[rng.IntN(2)]
		}
		d.faults = append(d.faults, f)
	}
	return d
}

// text is the day as a script.
func (d *drawn) text() string {
	var b strings.Builder
	ms := func(t placement.Millis) string { return fmt.Sprintf("%q", fmt.Sprintf("%.0fms", float64(t))) }
	list, confirms := "push", "accepted"
	if d.ask {
		list = "ask"
	}
	if d.running {
		confirms = "running"
	}
	fmt.Fprintf(&b, "about      = \"found by a hunt\"\nlike       = \"quiet\"\nallocators = %d\nlength     = %s\n\n", d.allocators, ms(d.length))
	fmt.Fprintf(&b, "kind \"small\" {\n  cores  = 24\n  memory = 48\n  count  = %d\n}\n\n", d.small)
	fmt.Fprintf(&b, "kind \"large\" {\n  cores  = 48\n  memory = 96\n  count  = %d\n}\n\n", d.large)
	fmt.Fprintf(&b, "rules {\n  list       = %q\n  confirms   = %q\n  cold_bears = %d\n}\n\nnode {\n  drained = %q\n}\n\n", list, confirms, d.bears, d.away)
	rate := d.load * float64(24*d.small+48*d.large) / 17 // cores that a workload of the quiet day takes, times its seconds
	fmt.Fprintf(&b, "load {\n  rate    = %.2f\n  insists = %v\n}\n", rate, d.state)
	if d.state {
		b.WriteString("\nstate {\n  disk = \"8ms\"\n}\n")
	}
	if d.gangs {
		fmt.Fprintf(&b, "\ngang \"parts\" {\n  group  = \"serve\"\n  rate   = %.3f\n  parts  = 3\n  cores  = 4\n  memory = 6\n"+
			"  life   = \"30s\"\n}\n", rate/60) // parts that outlive a lease, or a forgotten one ends unseen
	}
	for i, f := range d.faults {
		fmt.Fprintf(&b, "\nfault \"%d\" {\n  kind  = %q\n  at    = %s\n  for   = %s\n  part  = %.3f\n", i+1, f.Kind, ms(f.At), ms(f.For), f.Part)
		known := faultKinds[f.Kind]
		if known.most > 0 {
			fmt.Fprintf(&b, "  size  = %.4g\n", f.Size)
		}
		if known.every > 0 {
			fmt.Fprintf(&b, "  every = %s\n", ms(f.Every))
		}
		if f.Kind == "deploy" {
			fmt.Fprintf(&b, "  drain = %s\n", ms(f.Wait))
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
func (d *drawn) play(how Sabotage) (*Result, error) {
	s, err := DecodeScript("found.hcl", []byte(d.text()))
	if err != nil {
		return nil, err
	}
	return PlayVirtual(s, Options{Seed: d.seed, Sabotage: how})
}

// lost is the share of the workloads wanted that no ask placed.
func lost(r *Result) float64 { return 1 - r.FirstPlaced }

// size is what shrinking makes less of.
func (d *drawn) size() string {
	return fmt.Sprintf("%d faults, %d allocators, %d nodes, %.0f s", len(d.faults), d.allocators, d.small+d.large, float64(d.length)/1000)
}

// shrink looks for a smaller day that breaks the same rule: fewer faults first, then fewer allocators and nodes, a
// shorter day, a lower load. Every step is played; what does not break the rule any more is not taken.
func (d *drawn) shrink(rule int, how Sabotage) *drawn {
	holds := func(c *drawn) bool {
		r, err := c.play(how)
		return err == nil && slices.ContainsFunc(r.Broken, func(b Broken) bool { return b.Rule == rule })
	}
	try := func(change func(*drawn) bool) bool {
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
			if try(func(c *drawn) bool { c.faults = slices.Delete(c.faults, i, i+1); return true }) {
				again = true
			} else {
				i++
			}
		}
		for _, change := range []func(*drawn) bool{
			func(c *drawn) bool { c.gangs = false; return d.gangs },
			func(c *drawn) bool { c.state = false; return d.state },
			func(c *drawn) bool { c.allocators /= 2; return c.allocators >= 1 },
			func(c *drawn) bool { c.small, c.large = c.small/2, c.large/2; return c.small >= 1 },
			func(c *drawn) bool { c.length /= 2; return c.length >= 2e3 },
			func(c *drawn) bool { c.load /= 2; return c.load > 0.05 },
		} {
			again = try(change) || again
		}
	}
	return d
}

// outcome is one day of a hunt.
type outcome struct {
	day int
	d   *drawn
	r   *Result
}

// Run hunts on all cores. Which days are drawn depends on the seed alone; how many of them, on the bounds.
func (h *Hunt) Run(ctx context.Context, told func(days, finds int)) (*HuntReport, error) {
	if h.Time > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.Time)
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
				r, err := d.play(h.Sabotage)
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
		for day := 0; ctx.Err() == nil && (h.Days == 0 || day < h.Days); day++ {
			days <- day
		}
		close(days)
		wg.Wait()
	}()
	report := &HuntReport{Faults: map[string]int{}, Finds: []Find{}}
	var broken, worst []outcome
	for o := range outcomes {
		report.Days++
		for _, f := range o.d.faults {
			report.Faults[f.Kind]++
		}
		report.Nearest.atLeast(o.r.Nearest)
		if len(o.r.Broken) > 0 {
			broken = append(broken, o)
		} else if h.Worst > 0 {
			worst = append(worst, o)
			slices.SortFunc(worst, func(x, y outcome) int { return cmp.Or(cmp.Compare(lost(y.r), lost(x.r)), x.day-y.day) })
			worst = worst[:min(len(worst), h.Worst)]
		}
		if told != nil && report.Days%100 == 0 {
			told(report.Days, len(broken))
		}
	}
	if failed != nil {
		return nil, failed
	}
	report.keep(broken, worst, h.Sabotage)
	report.Seconds = time.Since(began).Seconds()
	return report, nil
}

// keep shrinks one day of each kind of break: the same rule, told in the same words but for figures.
func (r *HuntReport) keep(broken, worst []outcome, how Sabotage) {
	slices.SortFunc(broken, func(x, y outcome) int { return x.day - y.day })
	kinds := map[string]int{} // to place in Finds
	for _, o := range broken {
		b := o.r.Broken[0]
		kind := fmt.Sprintf("%d %s", b.Rule, strings.Map(func(c rune) rune {
			if c >= '0' && c <= '9' {
				return -1
			}
			return c
		}, b.What))
		if at, met := kinds[kind]; met {
			r.Finds[at].Times++
			continue
		}
		kinds[kind] = len(r.Finds)
		before := o.d.size()
		small := o.d.shrink(b.Rule, how)
		r.Finds = append(r.Finds, Find{
			Rule: b.Rule, What: b.What, Lost: lost(o.r), Day: o.day, Times: 1, Shrunk: before + " -> " + small.size(),
			Script: small.text(), Seed: small.seed,
		})
	}
	for _, o := range worst {
		r.Finds = append(r.Finds, Find{
			What: "much is lost, and no rule is broken", Lost: lost(o.r), Day: o.day, Times: 1, Script: o.d.text(), Seed: o.d.seed,
		})
	}
}
