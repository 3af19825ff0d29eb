package benchmark

import (
	"testing"
	"time"
)

// thousandNodes is a fleet on which the placement module's work dominates a decision.
var thousandNodes = Fleet{Nodes: 1000, Residents: 10}

// BenchmarkDecision measures decisions of the placement module alone and of the engine, one after the other, as
// MeasureRates does. Both make the same decisions. Allocations show a change that times hide: the engine makes one
// allocation a decision more than the module, its entry of the workload.
func BenchmarkDecision(b *testing.B) {
	for _, subject := range []struct {
		name  string
		start func(Fleet) *decisions
	}{
		{"module", func(f Fleet) *decisions { return f.decisions(f.startModule()) }},
		{"engine", func(f Fleet) *decisions { return f.decisions(f.startEngine()) }},
	} {
		b.Run(subject.name+"/nodes=1000", func(b *testing.B) {
			sequence := subject.start(thousandNodes)
			b.ReportAllocs()
			for b.Loop() {
				sequence.next()
			}
		})
	}
}

// BenchmarkDecision_Alternating makes each decision with the module and with the engine, in alternating order, so that
// other load on the machine affects both alike. It reports the median time of each, and the median of their ratios.
func BenchmarkDecision_Alternating(b *testing.B) {
	module := thousandNodes.decisions(thousandNodes.startModule())
	engine := thousandNodes.decisions(thousandNodes.startEngine())
	var moduleTimes, engineTimes, ratios []float64
	for i := 0; b.Loop(); i++ {
		var moduleTime, engineTime float64
		if i%2 == 0 {
			moduleTime = timeOf(module)
			engineTime = timeOf(engine)
		} else {
			engineTime = timeOf(engine)
			moduleTime = timeOf(module)
		}
		moduleTimes = append(moduleTimes, moduleTime)
		engineTimes = append(engineTimes, engineTime)
		ratios = append(ratios, engineTime/moduleTime)
	}
	b.ReportMetric(median(moduleTimes), "module-ns/decision")
	b.ReportMetric(median(engineTimes), "engine-ns/decision")
	b.ReportMetric(median(ratios), "engine/module")
}

// timeOf returns how long the next decision takes, in ns.
func timeOf(sequence *decisions) float64 {
	start := time.Now()
	sequence.next()
	return float64(time.Since(start).Nanoseconds())
}
