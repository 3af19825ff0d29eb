package placement

import (
	"fmt"
	"testing"
)

// BenchmarkSchedule schedules, confirms and ends one workload per iteration, on fleets with ten running workloads per
// node.
func BenchmarkSchedule(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			scheduler := benchmarkFleet(nodes)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := Millis(i)
				if i%250 == 0 {
					scheduler.Maintain(now)
				}
				step := scheduler.Schedule(now, benchmarkWorkload(1e6+i))
				if step.Kind == Bind {
					report := LoadReport{
						SpareCores:  9.6,
						SpareMemory: 38.4,
						Utilization: 0.4,
					}
					step = step.NextStep(now, Result{Kind: Confirmed, Load: &report})
					step.NextStep(now, Result{Kind: Ended})
				}
			}
		})
	}
}

// benchmarkWorkload returns a request for one of 50 services.
func benchmarkWorkload(id int) Workload {
	return Workload{
		ID:             WorkloadID(id),
		Service:        ServiceID(id % 50),
		Cores:          0.5,
		Memory:         1,
		PendingTimeout: 6000,
	}
}

// benchmarkFleet returns the scheduler of a sole allocator; half of the capacity of each node is free.
func benchmarkFleet(nodes int) *Scheduler {
	scheduler := New(Settings{
		Allocators:           1,
		NodeKinds:            []NodeKind{{Cores: 16, Memory: 64}},
		MaxBinds:             3,
		EntriesCarryCapacity: true,
		ReportsUsage:         true,
		WarmUpDuration:       15e3,
		WarmUpBudget:         24,
		OverloadWindow:       2e3,
		Groups: []Group{{
			LatencyObjective:       1e3,
			PriorityWeight:         1,
			FullServiceUtilization: 0.8,
			DegradationRange:       0.2,
			RequiredKind:           AnyKind,
		}},
	}, 1)
	entries := make([]Node, nodes)
	for i := range entries {
		entries[i] = Node{
			ID:         NodeID(i + 1),
			Cell:       CellID(i / 8),
			StartedAt:  DistantPast,
			FreeCores:  8,
			FreeMemory: 32,
		}
	}
	scheduler.UpdateNodes(0, Snapshot, entries)
	for i := range nodes * 10 {
		scheduler.Adopt(0, benchmarkWorkload(i), NodeID(i/10+1))
	}
	return scheduler
}
