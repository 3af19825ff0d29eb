package placement

import (
	"math"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNew_OrdinalOutOfRange(t *testing.T) {
	beyond := New(Settings{
		Allocators:   3,
		Ordinal:      9,
		WarmUpBudget: 23,
	}, 1)
	assert.InDelta(t, 2, beyond.slowStart.bindsPerWindow, 0, "an ordinal beyond Allocators raises Allocators")
	negative := New(Settings{Allocators: 3, Ordinal: -1}, 1)
	assert.Zero(t, negative.settings.Ordinal)
}

func TestScheduler_UnknownIDsAndEmptyReportsChangeNothing(t *testing.T) {
	scheduler := newFleet(t, 1)
	scheduler.ReportUsage(0, 77, CoresUsed, 3)
	scheduler.ReportLoad(0, 99, LoadReport{SpareCores: 1})
	scheduler.ReportLoad(0, 1, LoadReport{
		SpareCores:  math.NaN(),
		SpareMemory: math.NaN(),
		Utilization: math.NaN(),
	})
	scheduler.HealthChecked(0, 99, false, nil)
	_, known := scheduler.load.usedCores(0, scheduler.node(1))
	assert.False(t, known, "a report without values must not count")
	scheduler.UpdateNodes(0, Snapshot, nil)
	scheduler.Maintain(0)
	assert.Empty(t, scheduler.nodes.sorted)
	assert.Equal(t, Rejected, scheduler.Schedule(0, Workload{Group: 99}).Kind)
}

func TestScheduler_SameCallsGiveSameSteps(t *testing.T) {
	run := func() (nodes []NodeID) {
		scheduler := newFleet(t, 5)
		for i := range 40 {
			step := scheduler.Schedule(Millis(i), Workload{
				ID:             WorkloadID(i),
				Cores:          0.1,
				PendingTimeout: 5000,
			})
			nodes = append(nodes, step.Node)
		}
		return nodes
	}
	first := run()
	second := run()
	assert.Equal(t, first, second)
}

const (
	longRunNodes        = 12 // number of nodes listed at any time
	longRunDays         = 3
	secondsPerDay       = 24 * 3600
	nodeLifetimeSeconds = 600 // lifetime of a node, after which a new one replaces it
)

// This guards against state that grows without bound, and against fewer placements as state accumulates. For three days
// nodes are replaced, and services and workload IDs are never used twice. The clock starts at 30 years.
func TestScheduler_StateStaysBoundedOverDays(t *testing.T) {
	const startTime = Millis(1e12)
	run := &longRun{scheduler: newFleet(t, 0)}
	run.scheduler.settings.HealthChecksAllowed = true
	for second := range longRunDays * secondsPerDay {
		run.simulateSecond(startTime+Millis(second)*1000, second)
	}
	assertStateBounded(t, run.scheduler)
	placedOnFirstDay := run.placed[0]
	placedOnLastDay := run.placed[longRunDays-1]
	assert.InDelta(t, placedOnFirstDay, placedOnLastDay, float64(placedOnFirstDay)/100, "within 1 % of the first day")
	assert.Greater(t, placedOnFirstDay, 80000)
	assert.Less(t, run.heaps[longRunDays-1], run.heaps[0]+256<<10)
}

// longRun simulates a scheduler that gets one request per second, on nodes that are replaced.
type longRun struct {
	scheduler *Scheduler
	running   []runningWorkload // ordered by endsAt
	placed    [longRunDays]int  // number of workloads placed, by day
	heaps     [longRunDays]uint64
}

// runningWorkload is a placed workload with the time of its end.
type runningWorkload struct {
	endsAt   Millis
	nextStep func(Millis, Result) Step
}

// simulateSecond simulates one second. In the last second of a day it measures the heap.
func (r *longRun) simulateSecond(now Millis, second int) {
	day := second / secondsPerDay
	r.scheduler.UpdateNodes(now, Snapshot, replacedNodes(now, second))
	r.scheduler.Maintain(now)
	for len(r.running) > 0 && r.running[0].endsAt <= now {
		r.running[0].nextStep(now, Result{Kind: Ended, Final: true})
		r.running = r.running[1:]
	}
	step := placeOne(r.scheduler, now, second)
	if step.Kind == AwaitEnd {
		r.placed[day]++
		r.scheduler.ReportUsage(now+50, WorkloadID(second+1), CoresUsed, 0.5)
		r.running = append(r.running, runningWorkload{endsAt: now + 20e3, nextStep: step.NextStep})
	}
	if second%secondsPerDay == secondsPerDay-1 {
		r.heaps[day] = heapAlloc()
	}
}

// assertStateBounded checks the number of nodes, binds and samples that a scheduler holds after a long run.
func assertStateBounded(t *testing.T, scheduler *Scheduler) {
	t.Helper()
	assert.LessOrEqual(t, len(scheduler.nodes.byID), 2*longRunNodes)
	assert.Len(t, scheduler.nodes.byID, len(scheduler.nodes.sorted))
	assert.LessOrEqual(t, len(scheduler.placed), 21)
	for _, n := range scheduler.nodes.sorted {
		assert.LessOrEqual(t, max(len(n.binds), len(n.warmUpBinds), len(n.changes)), 60)
		assert.LessOrEqual(t, max(len(n.reports), len(n.rejections)), maxReports)
	}
	samples := max(
		len(scheduler.health.confirmations),
		len(scheduler.load.usageSamples),
		len(scheduler.groups[idempotent].requests),
	)
	assert.LessOrEqual(t, samples, maxGroupRequests)
	assert.LessOrEqual(t, scheduler.health.checkCredit, float64(2*longRunNodes))
}

// replacedNodes returns the node list at the given second. Each node is replaced by a new one every ten minutes.
func replacedNodes(now Millis, second int) (entries []Node) {
	for i := range longRunNodes {
		sinceFirstLaunch := second + i*50 // launches are 50 s apart
		launch := sinceFirstLaunch / nodeLifetimeSeconds
		launched := entry(NodeID(launch*longRunNodes+i+1), Ready)
		launched.StartedAt = now - Millis(sinceFirstLaunch%nodeLifetimeSeconds*1000)
		entries = append(entries, launched)
	}
	return entries
}

// placeOne requests a workload and confirms its bind. In every other second, the first bind is rejected and the second
// one confirmed.
func placeOne(scheduler *Scheduler, now Millis, second int) Step {
	step := scheduler.Schedule(now, Workload{
		ID:             WorkloadID(second + 1),
		Service:        ServiceID(second),
		Cores:          1,
		Memory:         1,
		PendingTimeout: 6000,
	})
	if step.Kind != Bind {
		return step
	}
	report := LoadReport{SpareCores: 9, SpareMemory: 19}
	first := Confirmed
	if second%2 == 1 {
		first = RejectedByNode
	}
	step = step.NextStep(now+20, Result{Kind: first, Load: &report})
	if step.Kind == Bind {
		step = step.NextStep(now+40, Result{Kind: Confirmed, Load: &report})
	}
	return step
}

// heapAlloc returns the size of the live heap objects in bytes.
func heapAlloc() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
