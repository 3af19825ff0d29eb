package experiment

import "grebeglade/internal/simulation"

// Measure is one figure of a day.
type Measure struct {
	Name  string
	Unit  string
	About string
	Lower bool // less is better
	Plain bool // neither more nor less is better by itself
	of    func(r *simulation.Result) (float64, bool)
}

func share(n, of float64) (float64, bool) { return 100 * n / of, of > 0 }

func each(n, of float64) (float64, bool) { return n / of, of > 0 }

// Measures are what is kept of each day, in the order in which reports show them.
var Measures = []Measure{
	{"core_time", "%", "core time that ran, of what was wanted while owners asked", false, false,
		func(r *simulation.Result) (float64, bool) { return 100 * r.Ran, r.SinglesWanted() }},
	{"placed_at_first", "%", "workloads that their first ask placed", false, false,
		func(r *simulation.Result) (float64, bool) { return 100 * r.FirstPlaced, r.SinglesWanted() }},
	{"rejected", "%", "asks that were rejected", true, false,
		func(r *simulation.Result) (float64, bool) { return share(float64(r.Rejected), float64(r.Workloads)) }},
	{"unschedulable", "%", "asks whose workload may have run, and that ended without a place", true, false,
		func(r *simulation.Result) (float64, bool) {
			return share(float64(r.Unschedulable), float64(r.Workloads))
		}},
	{"wait_median", "ms", "from ask to yes, median", true, false,
		func(r *simulation.Result) (float64, bool) { return r.WaitMedian, r.Placed > 0 }},
	{"wait_p99", "ms", "from ask to yes, 99th percentile", true, false,
		func(r *simulation.Result) (float64, bool) { return r.Wait99, r.Placed > 0 }},
	{"wasted_binds", "%", "binds that placed nothing", true, false,
		func(r *simulation.Result) (float64, bool) {
			return share(float64(r.Binds)-float64(r.Placed), float64(r.Binds))
		}},
	{"lost", "%", "placed workloads that were evicted or lost with their node", true, false,
		func(r *simulation.Result) (float64, bool) {
			return share(float64(r.Ended["EVICTED"]+r.Ended["LOST"]), float64(r.Placed))
		}},
	{"probes", "a workload", "probes sent to nodes", true, true,
		func(r *simulation.Result) (float64, bool) { return each(float64(r.Probes), float64(r.Workloads)) }},
	{"list_entries", "a workload", "entries of the machine list that allocators were told", true, true,
		func(r *simulation.Result) (float64, bool) { // earlier builds do not count them
			v, ok := each(float64(r.ListEntries), float64(r.Workloads))
			return v, ok && r.ListEntries > 0
		}},
	{"frames", "a workload", "frames at both ends", true, true,
		func(r *simulation.Result) (float64, bool) { return each(float64(r.Frames), float64(r.Workloads)) }},
	{"cost", "ms a workload", "time on one core to play the day, set-up too; not the same on every run", true, true,
		func(r *simulation.Result) (float64, bool) { return each(1000*r.RanSeconds, float64(r.Workloads)) }},
	{"broken", "", "breaks of a rule", true, false,
		func(r *simulation.Result) (float64, bool) { return float64(len(r.Violations) + r.MoreViolations), true }},
	{"oracle_best", "%", "core time that is known to have been possible", true, true,
		func(r *simulation.Result) (float64, bool) {
			return oracle(r, func(o *simulation.Oracle) float64 { return o.Best })
		}},
	{"oracle_bound", "%", "core time that no scheduler exceeds", true, true,
		func(r *simulation.Result) (float64, bool) {
			return oracle(r, func(o *simulation.Oracle) float64 { return o.Bound })
		}},
	{"behind_best", "points", "core time that the day lacks of the best known", true, false,
		func(r *simulation.Result) (float64, bool) {
			return oracle(r, func(o *simulation.Oracle) float64 { return o.Best - r.Ran })
		}},
	{"by_knowledge", "points", "of that: late knowledge, and allocators that do not know of each other", true, false,
		func(r *simulation.Result) (float64, bool) {
			return oracle(r, func(o *simulation.Oracle) float64 { return o.Knowledge })
		}},
	{"by_rules", "points", "of that: spread and cold budgets", true, false,
		func(r *simulation.Result) (float64, bool) {
			return oracle(r, func(o *simulation.Oracle) float64 { return o.Rules })
		}},
	{"by_asking", "points", "of that: owners that ask again late, or must not, for what a machine lost", true, false,
		func(r *simulation.Result) (float64, bool) {
			return oracle(r, func(o *simulation.Oracle) float64 { return o.Asking })
		}},
	{"by_decisions", "points", "of that: the engine's choices with the true state at hand, and starts that take time", true, false,
		func(r *simulation.Result) (float64, bool) {
			return oracle(r, func(o *simulation.Oracle) float64 { return o.Decisions })
		}},
}

func oracle(r *simulation.Result, of func(o *simulation.Oracle) float64) (float64, bool) {
	if r.Oracle == nil {
		return 0, false
	}
	return 100 * of(r.Oracle), true
}

// MeasureOf finds a measure by name.
func MeasureOf(name string) (Measure, bool) {
	for _, m := range Measures {
		if m.Name == name {
			return m, true
		}
	}
	return Measure{}, false
}
