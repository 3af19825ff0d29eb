package benchmark

import (
	"testing"
	"time"
)

// thousandNodes is a fleet so large that the placement module takes most of the time of a decision.
var thousandNodes = Fleet{Nodes: 1000, Residents: 10}

// BenchmarkDecision measures decisions of the placement module alone and then of the engine, as MeasureRates does. Both
// make the same decisions. The number of allocations shows changes that are too small to see in the times: per
// decision, the engine makes one allocation more than the module, for its entry of the workload.
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
// other load on the machine affects both equally. It reports the median time of each, and the median of their ratios.
func BenchmarkDecision_Alternating(b *testing.B) {
	module := thousandNodes.decisions(thousandNodes.startModule())
	engine := thousandNodes.decisions(thousandNodes.startEngine())
	var moduleTimes, engineTimes, ratios []float64
	for i := 0; b.Loop(); i++ {
		var moduleTime, engineTime float64
		if i%2 == 0 {
			moduleTime = timeDecision(module)
			engineTime = timeDecision(engine)
		} else {
			engineTime = timeDecision(engine)
			moduleTime = timeDecision(module)
		}
		moduleTimes = append(moduleTimes, moduleTime)
		engineTimes = append(engineTimes, engineTime)
		ratios = append(ratios, engineTime/moduleTime)
	}
	b.ReportMetric(median(moduleTimes), "module-ns/decision")
	b.ReportMetric(median(engineTimes), "engine-ns/decision")
	b.ReportMetric(median(ratios), "engine/module")
}

// timeDecision returns the duration of the next decision in ns.
func timeDecision(sequence *decisions) float64 {
	start := time.Now()
	sequence.next()
	return float64(time.Since(start).Nanoseconds())
}
