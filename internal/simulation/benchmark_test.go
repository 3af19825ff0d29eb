package simulation

import (
	"fmt"
	"testing"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// BenchmarkPlayVirtual measures the time per simulated workload for fleets of several sizes. The load is proportional
// to the number of nodes.
func BenchmarkPlayVirtual(b *testing.B) {
	for _, size := range []struct{ nodes, allocators int }{
		{10, 1}, {100, 10}, {100, 100}, {300, 300}, {1000, 100}, {1000, 1000},
	} {
		b.Run(fmt.Sprintf("%dx%d", size.nodes, size.allocators), func(b *testing.B) {
			workloads := 0
			for i := range b.N {
				s, err := scenario.Open("quiet")
				if err != nil {
					b.Fatal(err)
				}
				s.Resize(size.allocators, size.nodes)
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
