package experiment

import "grebeglade/internal/simulation"

// preference is the direction in which a measure improves.
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

// measureFunc computes a measure's value in a run. known is false if the run has no data for the measure.
type measureFunc func(r *simulation.Result) (value float64, known bool)

// MeasureOf returns the measure with the given name, and whether it exists.
func MeasureOf(name string) (Measure, bool) {
	for _, m := range Measures {
		if m.Name == name {
			return m, true
		}
	}
	return Measure{}, false
}

// measureAll returns the values of all measures that are known in a run, by name.
func measureAll(r *simulation.Result) map[string]float64 {
	values := map[string]float64{}
	for _, m := range Measures {
		if v, known := m.value(r); known {
			values[m.Name] = v
		}
	}
	return values
}

// ratio divides two numbers. The value is unknown unless the divisor is positive.
func ratio(dividend, divisor float64) (value float64, known bool) {
	return dividend / divisor, divisor > 0
}

// percent returns a part in percent of a total. The value is unknown unless the total is positive.
func percent(part, total float64) (value float64, known bool) { return ratio(100*part, total) }

// requestPercent measures the percentage of requests with an outcome; count returns the number of these requests.
func requestPercent(count func(*simulation.Result) int) measureFunc {
	return func(r *simulation.Result) (float64, bool) {
		return percent(float64(count(r)), float64(r.Workloads))
	}
}

// perWorkload measures an amount divided by the number of requests, including retries.
func perWorkload(amount func(*simulation.Result) float64) measureFunc {
	return func(r *simulation.Result) (float64, bool) {
		return ratio(amount(r), float64(r.Workloads))
	}
}

// oraclePercent measures a share that the oracle computed, in percent. The value is unknown in a run without oracle.
func oraclePercent(share func(*simulation.Oracle) float64) measureFunc {
	return func(r *simulation.Result) (float64, bool) {
		if r.Oracle == nil {
			return 0, false
		}
		return 100 * share(r.Oracle), true
	}
}
