package simulation

import (
	"fmt"
	"testing"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// BenchmarkDay is what a simulated workload costs, by size; load follows the nodes.
func BenchmarkDay(b *testing.B) {
	for _, size := range [][2]int{{10, 1}, {100, 10}, {100, 100}, {300, 300}, {1000, 100}, {1000, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			workloads := 0
			for i := range b.N {
				s, err := scenario.Open("quiet")
				if err != nil {
					b.Fatal(err)
				}
				s.Resize(size[1], size[0])
				s.SetLength(placement.Millis(5000))
				r, err := PlayVirtual(s, Options{Seed: uint64(i) + 1})
				if err != nil {
					b.Fatal(err)
				}
				workloads += r.Workloads
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(workloads), "µs/workload")
			b.ReportMetric(0, "ns/op")
		})
	}
}
