package experiment

import "grebeglade/internal/simulation"

// preference says which values of a measure are better.
type preference uint8

const (
	higherIsBetter preference = iota
	lowerIsBetter
	neitherIsBetter
)

// Measure is a figure of a scenario run.
type Measure struct {
	Name  string
	Unit  string
	About string

	preference preference
	of         func(r *simulation.Result) (value float64, known bool)
}

// brokenMeasure is the name of the measure that counts broken rules.
const brokenMeasure = "broken"

// costMeasure is the name of the measure that is wall time, and so differs between identical runs.
const costMeasure = "cost"

// measure returns the values of the measures that are known of a run, by name.
func measure(r *simulation.Result) map[string]float64 {
	values := map[string]float64{}
	for _, m := range Measures {
		if v, known := m.of(r); known {
			values[m.Name] = v
		}
	}
	return values
}

// percent returns a share in percent. It is unknown if there is nothing to have a share of.
func percent(n, of float64) (value float64, known bool) { return 100 * n / of, of > 0 }

// ratio returns a ratio. It is unknown if the divisor is zero.
func ratio(n, of float64) (value float64, known bool) { return n / of, of > 0 }

// oraclePercent returns a share that the oracle computed, in percent. It is unknown of a run without the oracle.
func oraclePercent(r *simulation.Result, share func(o *simulation.Oracle) float64) (value float64, known bool) {
	if r.Oracle == nil {
		return 0, false
	}
	return 100 * share(r.Oracle), true
}

// Measures are the figures that are kept of each run, in the order in which reports show them.
var Measures = []Measure{
	{
		"core_time", "%", "core time that ran, of what was wanted while clients were requesting", higherIsBetter,
		func(r *simulation.Result) (float64, bool) { return 100 * r.CoreTimeShare, r.SinglesWanted() },
	},
	{
		"placed_at_first", "%", "workloads that were placed at their first request", higherIsBetter,
		func(r *simulation.Result) (float64, bool) { return 100 * r.FirstPlaced, r.SinglesWanted() },
	},
	{
		"rejected", "%", "requests that were rejected", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) { return percent(float64(r.Rejected), float64(r.Workloads)) },
	},
	{
		"unschedulable", "%", "requests whose workload may have run, and that ended without a placement", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return percent(float64(r.Unschedulable), float64(r.Workloads))
		},
	},
	{
		"wait_median", "ms", "from request to placement, median", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) { return r.WaitMedian, r.Placed > 0 },
	},
	{
		"wait_p99", "ms", "from request to placement, 99th percentile", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) { return r.Wait99, r.Placed > 0 },
	},
	{
		"wasted_binds", "%", "binds that placed nothing", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return percent(float64(r.Binds)-float64(r.Placed), float64(r.Binds))
		},
	},
	{
		"lost", "%", "placed workloads that were evicted or lost with their node", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return percent(float64(r.Ended["EVICTED"]+r.Ended["LOST"]), float64(r.Placed))
		},
	},
	{
		"probes", "a workload", "health checks sent to nodes", neitherIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return ratio(float64(r.HealthChecks), float64(r.Workloads))
		},
	},
	{
		"list_entries", "a workload", "entries of the node list that allocators received", neitherIsBetter,
		func(r *simulation.Result) (float64, bool) { // earlier builds do not count them
			v, ok := ratio(float64(r.DiscoveryEntries), float64(r.Workloads))
			return v, ok && r.DiscoveryEntries > 0
		},
	},
	{
		"frames", "a workload", "frames at both ends", neitherIsBetter,
		func(r *simulation.Result) (float64, bool) { return ratio(float64(r.Frames), float64(r.Workloads)) },
	},
	{
		costMeasure, "ms a workload", "time on one core for the run, with its set-up; differs between identical runs", neitherIsBetter,
		func(r *simulation.Result) (float64, bool) { return ratio(1000*r.RanSeconds, float64(r.Workloads)) },
	},
	{
		brokenMeasure, "", "broken rules", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) { return float64(len(r.Violations) + r.MoreViolations), true },
	},
	{
		"oracle_best", "%", "core time that is known to have been possible", neitherIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return oraclePercent(r, func(o *simulation.Oracle) float64 { return o.Best })
		},
	},
	{
		"oracle_bound", "%", "core time that no scheduler exceeds", neitherIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return oraclePercent(r, func(o *simulation.Oracle) float64 { return o.Bound })
		},
	},
	{
		"behind_best", "points", "core time below the best known", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return oraclePercent(r, func(o *simulation.Oracle) float64 { return o.Best - r.CoreTimeShare })
		},
	},
	{
		"by_knowledge", "points", "of that: late knowledge, and allocators that do not know of each other", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return oraclePercent(r, func(o *simulation.Oracle) float64 { return o.Knowledge })
		},
	},
	{
		"by_rules", "points", "of that: spread and warm-up budgets", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return oraclePercent(r, func(o *simulation.Oracle) float64 { return o.Rules })
		},
	},
	{
		"by_asking", "points", "of that: clients that retry late, or must not, after a node was lost", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return oraclePercent(r, func(o *simulation.Oracle) float64 { return o.Asking })
		},
	},
	{
		"by_decisions", "points", "of that: the engine's decisions given the true state, and the time that starts take", lowerIsBetter,
		func(r *simulation.Result) (float64, bool) {
			return oraclePercent(r, func(o *simulation.Oracle) float64 { return o.Decisions })
		},
	},
}

// MeasureOf returns the measure of a name.
func MeasureOf(name string) (Measure, bool) {
	for _, m := range Measures {
		if m.Name == name {
			return m, true
		}
	}
	return Measure{}, false
}
