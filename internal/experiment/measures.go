package experiment

import "grebeglade/internal/simulation"

// Names of measures with special handling.
const (
	brokenMeasure = "broken" // number of rule violations
	costMeasure   = "cost"   // wall time, which differs between identical runs
)

// Keys of simulation.Result.Ended: the reasons for which workloads ended.
const (
	endEvicted = "EVICTED"
	endLost    = "LOST"
)

// Measures are the measures of each run, in the order of the report.
var Measures = []Measure{
	{
		Name:       "core_time",
		Unit:       "%",
		About:      "core time that ran, of what was wanted while clients were requesting",
		preference: higherIsBetter,
		value: func(r *simulation.Result) (float64, bool) {
			return 100 * r.CoreTimeShare, r.SinglesWanted()
		},
	},
	{
		Name:       "placed_at_first",
		Unit:       "%",
		About:      "workloads that were placed at their first request",
		preference: higherIsBetter,
		value: func(r *simulation.Result) (float64, bool) {
			return 100 * r.FirstPlaced, r.SinglesWanted()
		},
	},
	{
		Name:       "rejected",
		Unit:       "%",
		About:      "requests that were rejected",
		preference: lowerIsBetter,
		value:      requestPercent(func(r *simulation.Result) int { return r.Rejected }),
	},
	{
		Name:       "unschedulable",
		Unit:       "%",
		About:      "requests whose workload may have run, and that ended without a placement",
		preference: lowerIsBetter,
		value:      requestPercent(func(r *simulation.Result) int { return r.Unschedulable }),
	},
	{
		Name:       "wait_median",
		Unit:       "ms",
		About:      "from request to placement, median",
		preference: lowerIsBetter,
		value: func(r *simulation.Result) (float64, bool) {
			return r.WaitMedian, r.Placed > 0
		},
	},
	{
		Name:       "wait_p99",
		Unit:       "ms",
		About:      "from request to placement, 99th percentile",
		preference: lowerIsBetter,
		value: func(r *simulation.Result) (float64, bool) {
			return r.Wait99, r.Placed > 0
		},
	},
	{
		Name:       "wasted_binds",
		Unit:       "%",
		About:      "binds that placed nothing",
		preference: lowerIsBetter,
		value: func(r *simulation.Result) (float64, bool) {
			return percent(float64(r.Binds)-float64(r.Placed), float64(r.Binds))
		},
	},
	{
		Name:       "lost",
		Unit:       "%",
		About:      "placed workloads that were evicted or lost with their node",
		preference: lowerIsBetter,
		value: func(r *simulation.Result) (float64, bool) {
			return percent(float64(r.Ended[endEvicted]+r.Ended[endLost]), float64(r.Placed))
		},
	},
	{
		Name:       "probes",
		Unit:       "a workload",
		About:      "health checks sent to nodes",
		preference: neitherIsBetter,
		value:      perWorkload(func(r *simulation.Result) float64 { return float64(r.HealthChecks) }),
	},
	{
		Name:       "list_entries",
		Unit:       "a workload",
		About:      "entries of the node list that allocators received",
		preference: neitherIsBetter,
		value:      discoveryEntries,
	},
	{
		Name:       "frames",
		Unit:       "a workload",
		About:      "frames at both ends",
		preference: neitherIsBetter,
		value:      perWorkload(func(r *simulation.Result) float64 { return float64(r.Frames) }),
	},
	{
		Name:       costMeasure,
		Unit:       "ms a workload",
		About:      "time on one core for the run, with its set-up; differs between identical runs",
		preference: neitherIsBetter,
		value:      perWorkload(func(r *simulation.Result) float64 { return 1000 * r.RanSeconds }),
	},
	{
		Name:       brokenMeasure,
		About:      "broken rules",
		preference: lowerIsBetter,
		value: func(r *simulation.Result) (float64, bool) {
			return float64(len(r.Violations) + r.MoreViolations), true
		},
	},
	{
		Name:       "oracle_best",
		Unit:       "%",
		About:      "core time that is known to have been possible",
		preference: neitherIsBetter,
		value:      oraclePercent(func(o *simulation.Oracle) float64 { return o.Best }),
	},
	{
		Name:       "oracle_bound",
		Unit:       "%",
		About:      "core time that no scheduler exceeds",
		preference: neitherIsBetter,
		value:      oraclePercent(func(o *simulation.Oracle) float64 { return o.Bound }),
	},
	{
		Name:       "behind_best",
		Unit:       "points",
		About:      "core time below the best known",
		preference: lowerIsBetter,
		value:      behindBest,
	},
	{
		Name:       "by_knowledge",
		Unit:       "points",
		About:      "of that: late knowledge, and allocators that do not know of each other",
		preference: lowerIsBetter,
		value:      oraclePercent(func(o *simulation.Oracle) float64 { return o.Knowledge }),
	},
	{
		Name:       "by_rules",
		Unit:       "points",
		About:      "of that: spread and warm-up budgets",
		preference: lowerIsBetter,
		value:      oraclePercent(func(o *simulation.Oracle) float64 { return o.Rules }),
	},
	{
		Name:       "by_asking",
		Unit:       "points",
		About:      "of that: clients that retry late, or must not, after a node was lost",
		preference: lowerIsBetter,
		value:      oraclePercent(func(o *simulation.Oracle) float64 { return o.Asking }),
	},
	{
		Name:       "by_decisions",
		Unit:       "points",
		About:      "of that: the engine's decisions given the true state, and the time that starts take",
		preference: lowerIsBetter,
		value:      oraclePercent(func(o *simulation.Oracle) float64 { return o.Decisions }),
	},
}

// discoveryEntries returns the entries of the node list per request, including retries. The value is unknown if the
// count is zero, because older builds do not count entries.
func discoveryEntries(r *simulation.Result) (value float64, known bool) {
	value, known = ratio(float64(r.DiscoveryEntries), float64(r.Workloads))
	return value, known && r.DiscoveryEntries > 0
}

func behindBest(r *simulation.Result) (value float64, known bool) {
	if r.Oracle == nil {
		return 0, false
	}
	return 100 * (r.Oracle.Best - r.CoreTimeShare), true
}
