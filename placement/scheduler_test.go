package placement

import (
	"math"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAdopt_DoesNotReduceAvailableCapacity(t *testing.T) {
	s := newFleet(t, 1)
	s.node(1).FreeCores = 4
	s.Adopt(0, Workload{ID: 9, Service: 1, Cores: 6, Memory: 6}, 1)
	assert.InDelta(t, 4, s.capacity.available(0, s.node(1)).Cores, 1e-9)
	assert.True(t, s.node(1).runsService(1))
}

func TestSchedule_FullFleetRejectsAtOnce(t *testing.T) {
	s := newFleet(t, 1)
	s.node(1).FreeCores = 0
	assert.Equal(t, Rejected, s.Schedule(0, Workload{Cores: 1, Memory: 1, PendingTimeout: 5000}).Kind)
}

func TestSchedule_EmptyListWaitsThenRejects(t *testing.T) {
	s := newFleet(t, 0)
	step := s.Schedule(0, Workload{Cores: 1, Memory: 1, PendingTimeout: 5000})
	require.Equal(t, Wait, step.Kind)
	assert.Equal(t, Rejected, step.NextStep(999, Result{Kind: TimerFired}).Kind)
	assert.Equal(t, Done, step.NextStep(10, Result{Kind: Withdrawn}).Kind)
}

// Rules 1 and 2: what follows each result, by group.
func TestNextStep_AfterABind(t *testing.T) {
	for name, c := range map[string]struct {
		group GroupID
		kind  ResultKind
		want  StepKind
	}{
		"idempotent, rejected":                {idempotent, RejectedByNode, Bind},
		"idempotent, timed out":               {idempotent, TimedOut, Bind},
		"idempotent, outcome unknown":         {idempotent, OutcomeUnknown, Bind},
		"at most once, rejected":              {atMostOnce, RejectedByNode, Bind},
		"at most once, not delivered":         {atMostOnce, NotDelivered, Bind},
		"at most once, timed out":             {atMostOnce, TimedOut, Unschedulable},
		"at most once, outcome unknown":       {atMostOnce, OutcomeUnknown, Unschedulable},
		"at most once, not attempted":         {atMostOnce, NotAttempted, Rejected},
		"at most once, confirmed":             {atMostOnce, Confirmed, AwaitEnd},
		"by key everywhere, timed out":        {keyedEverywhere, TimedOut, Bind},
		"by key in a cell, timed out":         {keyedInCell, TimedOut, Bind},
		"by key in a cell, rejected":          {keyedInCell, RejectedByNode, Bind},
		"withdrawn with the bind in progress": {idempotent, Withdrawn, AwaitEnd},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFleet(t, 2)
			step := s.Schedule(0, Workload{Group: c.group, Cores: 1, Memory: 1, PendingTimeout: 9000})
			require.Equal(t, Bind, step.Kind)
			assert.Equal(t, c.want, step.NextStep(100, Result{Kind: c.kind}).Kind)
		})
	}
}

func TestFinalAnswer_RejectedOnlyWhereARepeatIsHarmless(t *testing.T) {
	wants := map[GroupID]StepKind{keyedInCell: Unschedulable, keyedEverywhere: Rejected, idempotent: Rejected}
	for g, want := range wants {
		s := newFleet(t, 1)
		step := s.Schedule(0, Workload{Group: g, Cores: 1, Memory: 1, PendingTimeout: 9000})
		s.UpdateNodes(1, Delta, []Node{entry(1, Draining)})
		assert.Equal(t, want, step.NextStep(100, Result{Kind: OutcomeUnknown}).Kind)
	}
}

func TestNextStep_NothingAfterAWithdrawal(t *testing.T) {
	s := newFleet(t, 2)
	step := s.Schedule(0, Workload{Cores: 1, Memory: 1, PendingTimeout: 9000}).NextStep(1, Result{Kind: Withdrawn})
	assert.Equal(t, Done, step.NextStep(2, Result{Kind: RejectedByNode}).Kind)
	assert.Empty(t, s.node(1).binds)
	assert.Empty(t, s.node(2).binds)
}

func TestSchedule_AnswersBeforeThePendingTimeout(t *testing.T) {
	s := newFleet(t, 2)
	step := s.Schedule(0, Workload{Group: atMostOnce, Cores: 1, Memory: 1, PendingTimeout: 3000})
	assert.InDelta(t, float64(3000-answerMargin), float64(step.Timeout), 0)
	step = s.Schedule(0, Workload{Cores: 1, Memory: 1, PendingTimeout: 3000})
	assert.Equal(t, Rejected, step.NextStep(2990, Result{Kind: TimedOut}).Kind)
}

func TestSchedule_AtMostMaxBinds(t *testing.T) {
	s := newFleet(t, 9)
	step := s.Schedule(0, Workload{Cores: 1, Memory: 1, PendingTimeout: 9000})
	for range 3 {
		require.Equal(t, Bind, step.Kind)
		step = step.NextStep(1, Result{Kind: RejectedByNode, Reason: QueueFull})
	}
	assert.Equal(t, Rejected, step.Kind)
}

func TestScheduler_UnknownIDsAndEmptyReportsChangeNothing(t *testing.T) {
	s := newFleet(t, 1)
	s.ReportUsage(0, 77, CoresUsed, 3)
	s.ReportLoad(0, 99, LoadReport{SpareCores: 1})
	s.ReportLoad(0, 1, LoadReport{SpareCores: math.NaN(), SpareMemory: math.NaN(), Utilization: math.NaN()})
	s.HealthChecked(0, 99, false, nil)
	_, ok := s.load.usedCores(0, s.node(1))
	assert.False(t, ok, "a report without values tells nothing")
	s.UpdateNodes(0, Snapshot, nil)
	s.Maintain(0)
	assert.Empty(t, s.nodes.sorted)
	assert.Equal(t, Rejected, s.Schedule(0, Workload{Group: 99}).Kind)
}

func TestScheduler_SameCallsSameSteps(t *testing.T) {
	run := func() (nodes []NodeID) {
		s := newFleet(t, 5)
		for i := range 40 {
			step := s.Schedule(Millis(i), Workload{ID: WorkloadID(i), Cores: 0.1, PendingTimeout: 5000})
			nodes = append(nodes, step.Node)
		}
		return nodes
	}
	first, second := run(), run()
	assert.Equal(t, first, second)
}

// Three days in which nodes are replaced, services never return and no old id is requested again: what is
// kept stays bounded, and as many workloads are placed as at first. The clock begins 30 years late.
func TestScheduler_StateStaysBoundedOverDays(t *testing.T) {
	const begins, nodes, day = Millis(1e12), 12, 24 * 3600
	s := newFleet(t, 0)
	s.settings.HealthChecksAllowed = true
	type running struct {
		endsAt Millis
		end    func(Millis, Result) Step
	}
	var inflight []running
	placed, heaps := [3]int{}, [3]uint64{}
	for second := range 3 * day {
		now := begins + Millis(second)*1000
		s.UpdateNodes(now, Snapshot, replacedNodes(now, second, nodes))
		s.Maintain(now)
		for len(inflight) > 0 && inflight[0].endsAt <= now {
			inflight[0].end(now, Result{Kind: Ended, Final: true})
			inflight = inflight[1:]
		}
		step := placeOne(s, now, second)
		if step.Kind == AwaitEnd {
			placed[second/day]++
			s.ReportUsage(now+50, WorkloadID(second+1), CoresUsed, 0.5)
			inflight = append(inflight, running{now + 20e3, step.NextStep})
		}
		if second%day == day-1 {
			heaps[second/day] = heapAlloc()
		}
	}
	assert.LessOrEqual(t, len(s.nodes.byID), 2*nodes)
	assert.Len(t, s.nodes.byID, len(s.nodes.sorted))
	assert.LessOrEqual(t, len(s.placed), 21)
	for _, n := range s.nodes.sorted {
		assert.LessOrEqual(t, max(len(n.binds), len(n.warmUpBinds), len(n.changes)), 60)
		assert.LessOrEqual(t, max(len(n.reports), len(n.rejections)), maxReports)
	}
	samples := max(len(s.health.confirmations), len(s.load.usageSamples), len(s.groups[0].requests))
	assert.LessOrEqual(t, samples, maxGroupRequests)
	assert.LessOrEqual(t, s.health.checkCredit, float64(2*nodes))
	assert.InDelta(t, placed[0], placed[2], float64(placed[0])/100, "as good as on the first day")
	assert.Greater(t, placed[0], 80000)
	assert.Less(t, heaps[2], heaps[0]+256<<10)
}

// replacedNodes returns the entries of that many nodes, each replaced by a new one every ten minutes.
func replacedNodes(now Millis, second, nodes int) (entries []Node) {
	for i := range nodes {
		n := entry(NodeID((second+i*50)/600*nodes+i+1), Ready)
		n.StartedAt = now - Millis((second+i*50)%600*1000)
		entries = append(entries, n)
	}
	return entries
}

// placeOne requests a workload and confirms its binds, after a first rejection in every other second.
func placeOne(s *Scheduler, now Millis, second int) Step {
	id, service := WorkloadID(second+1), ServiceID(second)
	step := s.Schedule(now, Workload{ID: id, Service: service, Cores: 1, Memory: 1, PendingTimeout: 6000})
	if step.Kind != Bind {
		return step
	}
	l := LoadReport{SpareCores: 9, SpareMemory: 19}
	step = step.NextStep(now+20, Result{Kind: []ResultKind{Confirmed, RejectedByNode}[second%2], Load: &l})
	if step.Kind == Bind {
		step = step.NextStep(now+40, Result{Kind: Confirmed, Load: &l})
	}
	return step
}

func heapAlloc() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
