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
	value      measureFunc
}

// measureFunc computes a measure's value in a run. The value is not known if the run has nothing to compute it from.
type measureFunc func(r *simulation.Result) (value float64, known bool)

// MeasureOf returns the measure of a name.
func MeasureOf(name string) (Measure, bool) {
	for _, m := range Measures {
		if m.Name == name {
			return m, true
		}
	}
	return Measure{}, false
}

// measureAll returns the values of the measures that are known of a run, by name.
func measureAll(r *simulation.Result) map[string]float64 {
	values := map[string]float64{}
	for _, m := range Measures {
		if v, known := m.value(r); known {
			values[m.Name] = v
		}
	}
	return values
}

// ratio returns a ratio. It is unknown if the divisor is zero.
func ratio(dividend, divisor float64) (value float64, known bool) {
	return dividend / divisor, divisor > 0
}

// percent returns a share in percent. It is unknown if the total is zero.
func percent(part, total float64) (value float64, known bool) { return ratio(100*part, total) }

// requestPercent measures the share of the requests with an outcome.
func requestPercent(count func(*simulation.Result) int) measureFunc {
	return func(r *simulation.Result) (float64, bool) {
		return percent(float64(count(r)), float64(r.Workloads))
	}
}

// perWorkload measures an amount for each workload that was requested.
func perWorkload(amount func(*simulation.Result) float64) measureFunc {
	return func(r *simulation.Result) (float64, bool) {
		return ratio(amount(r), float64(r.Workloads))
	}
}

// oraclePercent measures a share that the oracle computed. It is unknown of a run without the oracle.
func oraclePercent(share func(*simulation.Oracle) float64) measureFunc {
	return func(r *simulation.Result) (float64, bool) {
		if r.Oracle == nil {
			return 0, false
		}
		return 100 * share(r.Oracle), true
	}
}
