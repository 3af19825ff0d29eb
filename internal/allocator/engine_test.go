package allocator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// script is a world that writes down what the engine wants.
type script struct{ did []string }

func (s *script) say(format string, args ...any) { s.did = append(s.did, fmt.Sprintf(format, args...)) }

func (s *script) Bind(id placement.WorkloadID, bind int, n placement.NodeID, _ placement.Millis) {
	s.say("bind %d.%d to %d", id, bind, n)
}

func (s *script) Stop(id placement.WorkloadID, bind int, _ placement.NodeID, w StopReason, onlyWaiting bool) {
	s.say("stop %d.%d %d %v", id, bind, w, onlyWaiting)
}
func (s *script) CheckHealth(n placement.NodeID) { s.say("probe %d", n) }
func (s *script) SubscribeNodes()                { s.say("watch") }
func (s *script) Answer(id placement.WorkloadID, v Verdict, _ placement.NodeID) {
	s.say("answer %d %s", id, v)
}

func (s *script) NotifyEnded(id placement.WorkloadID, _ placement.NodeID, moved bool, why placement.Reason) {
	s.say("ended %d %v %d", id, moved, why)
}
func (s *script) Forget(placement.WorkloadID) {}
func (s *script) Wake(placement.Millis)       {}

// take returns what was wanted since the last time.
func (s *script) take() []string {
	did := s.did
	s.did = nil
	return did
}

const (
	restartable placement.GroupID = iota
	runOnce
)

// begin is an engine that knows that many empty machines of 10 cores.
func begin(nodes int) (*Engine, *script) {
	group := placement.Group{LatencyObjective: 1000, PriorityWeight: 1, RequiredKind: -1}
	once := group
	once.Idempotency = placement.AtMostOnce
	w := &script{}
	e := New(placement.Settings{
		Allocators: 1, Groups: []placement.Group{group, once}, NodeKinds: []placement.NodeKind{{Cores: 10, Memory: 20}}, MaxBinds: 3,
		EntriesCarryCapacity: true, ReportsUsage: true,
	}, 1, w, Options{EnforceTimeouts: true, Log: eventlog.New(100)})
	e.Start(0)
	var entries []placement.Node
	for i := range nodes {
		entries = append(entries, placement.Node{
			ID: placement.NodeID(i + 1), Cell: placement.CellID(i), StartedAt: placement.DistantPast, FreeCores: 10, FreeMemory: 20,
		})
	}
	e.UpdateNodes(0, placement.Snapshot, entries)
	return e, w
}

func ask(e *Engine, now placement.Millis, id placement.WorkloadID, g placement.GroupID) {
	e.Schedule(now, placement.Workload{ID: id, Service: 1, Group: g, Cores: 1, Memory: 1, PendingTimeout: 6000})
}

func settled(k placement.ResultKind) placement.Result { return placement.Result{Kind: k} }

func TestAPlacedWorkloadIsAnsweredOnceAndEndsOnce(t *testing.T) {
	e, w := begin(1)
	ask(e, 10, 7, restartable)
	e.BindConfirmed(20, 7, 0, nil)
	e.BindConfirmed(21, 7, 0, nil)
	e.BindEnded(30, 7, 0, 1, placement.Result{Kind: placement.OutcomeUnknown, Reason: placement.Evicted})
	e.BindEnded(31, 7, 0, 1, settled(placement.Ended))
	assert.Equal(t, []string{"bind 7.0 to 1", "answer 7 placed", "ended 7 false 5"}, w.take())
	assert.Zero(t, e.WorkloadCount())
}

func TestARefusalIsFollowedByAnotherNodeAndThenByARejection(t *testing.T) {
	e, w := begin(2)
	ask(e, 10, 7, restartable)
	first := w.take()[0]
	e.BindEnded(20, 7, 0, 1, placement.Result{Kind: placement.RejectedByNode, Reason: placement.InsufficientCores})
	e.BindEnded(30, 7, 1, 2, placement.Result{Kind: placement.RejectedByNode, Reason: placement.InsufficientCores})
	did := w.take()
	assert.NotEqual(t, first, did[0])
	assert.Equal(t, "answer 7 rejected", did[len(did)-1])
}

func TestABindTimesOutWithoutTheWorldAndIsCalledOff(t *testing.T) {
	e, w := begin(2)
	ask(e, 0, 7, restartable)
	w.take()
	e.Tick(3000)
	did := w.take()
	assert.Contains(t, did, "stop 7.0 1 false")
	assert.Contains(t, fmt.Sprint(did), "bind 7.1")
	// An offer that is accepted after we gave it up says nothing about the bind that is out now.
	e.BindConfirmed(3001, 7, 0, nil)
	assert.Empty(t, w.take())
}

func TestARunOnceWorkloadThatMayHaveRunIsUnschedulableAndKept(t *testing.T) {
	e, w := begin(3)
	ask(e, 0, 7, runOnce)
	w.take()
	e.ConnectionLost(50, e.held[7].node)
	assert.Equal(t, []string{"answer 7 unschedulable"}, w.take())
	ask(e, 100, 8, runOnce)
	w.take()
	e.Tick(6099)
	assert.Contains(t, w.take(), "stop 8.0 1 true", "only what waits may be called off")
	assert.False(t, e.StopsDuplicates(runOnce))
	assert.True(t, e.StopsDuplicates(restartable))
}

func TestAWithdrawnWorkloadIsCalledOffAndNeverAnswered(t *testing.T) {
	e, w := begin(1)
	ask(e, 0, 7, restartable)
	ask(e, 0, 8, restartable)
	w.take()
	e.Withdraw(5, 7)
	e.Withdraw(6, 7)
	assert.Equal(t, []string{"stop 7.0 2 false"}, w.take())
	// The node's yes was on its way.
	e.BindConfirmed(7, 7, 0, nil)
	e.BindEnded(9, 7, 0, 1, settled(placement.Ended))
	assert.Empty(t, w.take())
	// One that was withdrawn and never answered is let go of when its time is up.
	e.Withdraw(10, 8)
	w.take()
	e.Tick(7000)
	assert.NotContains(t, fmt.Sprint(w.take()), "answer")
	assert.Zero(t, e.WorkloadCount())
}

func TestWithoutAnyNodeAWorkloadWaitsAndIsRejectedInTime(t *testing.T) {
	e, w := begin(0)
	ask(e, 0, 7, restartable)
	for now := placement.Millis(0); now <= 1100; now += 50 {
		e.Tick(now)
	}
	assert.Contains(t, w.take(), "answer 7 rejected")
	ask(e, 1200, 8, restartable)
	e.Withdraw(1210, 8)
	e.Tick(9000)
	assert.NotContains(t, fmt.Sprint(w.take()), "answer 8")
}

func TestALostNodeEndsWhatStoodThereAndFreesWhatWasOut(t *testing.T) {
	e, w := begin(1)
	ask(e, 0, 7, restartable)
	e.BindConfirmed(5, 7, 0, nil)
	ask(e, 6, 8, restartable)
	e.Adopt(7, placement.Workload{ID: 9, Service: 2, Cores: 1, Memory: 1}, 1)
	w.take()
	e.UpdateNodes(10, placement.Delta, []placement.Node{{ID: 1, State: placement.Removed}})
	e.NodeLost(10, 1)
	did := w.take()
	assert.Contains(t, did, "ended 7 false 0")
	assert.Contains(t, did, "ended 9 false 0")
	assert.Contains(t, did, "answer 8 rejected", "no other node is there, and it may run twice")
}

func TestANodeSaysWhatStandsAndTheRestHasEnded(t *testing.T) {
	e, w := begin(1)
	for id := placement.WorkloadID(1); id <= 3; id++ {
		ask(e, 0, id, restartable)
		e.BindConfirmed(5, id, 0, nil)
	}
	w.take()
	e.ReconcileNode(10, 1, func(id placement.WorkloadID, bind int) bool { return id == 2 && bind == 0 })
	assert.Equal(t, []string{"ended 1 false 0", "ended 3 false 0"}, w.take())
	assert.True(t, e.IsPlaced(2, 0))
}

// The clock of a process that stood still jumps; everything that came due meanwhile is done once, in order.
func TestAllThatIsOverdueIsDoneAfterAStandstill(t *testing.T) {
	e, w := begin(1)
	ask(e, 0, 7, runOnce)
	ask(e, 0, 8, restartable)
	w.take()
	e.Tick(60000)
	did := w.take()
	assert.Contains(t, did, "answer 7 unschedulable")
	assert.Contains(t, did, "answer 8 rejected")
	e.Tick(60000)
	assert.NotContains(t, fmt.Sprint(w.take()), "answer")
}

func TestTheRecordHoldsEveryDecisionInOrder(t *testing.T) {
	e, _ := begin(1)
	ask(e, 10, 7, restartable)
	e.BindConfirmed(20, 7, 0, nil)
	e.BindEnded(30, 7, 0, 1, settled(placement.Ended))
	events, whole := e.log.Since(1)
	assert.True(t, whole)
	var kinds []eventlog.Kind
	for i, ev := range events {
		assert.Equal(t, uint64(i+2), ev.Revision)
		kinds = append(kinds, ev.Kind)
	}
	assert.Equal(t, []eventlog.Kind{eventlog.Asked, eventlog.Bound, eventlog.Outcome, eventlog.Answered, eventlog.Ended}, kinds)
}

// Three days with an owner that would wait for a month: each ask left a timer for that long. The clock begins late, so that
// nothing rests on its being small: 30 years on, it still counts thousandths of a millisecond.
func TestTimersOfOwnersThatWaitForLongDoNotPileUp(t *testing.T) {
	e, w := begin(1)
	const begins, month = placement.Millis(1e12), placement.Millis(30 * 24 * 3600e3)
	most, last := 0, placement.WorkloadID(3*24*3600)
	for id := placement.WorkloadID(1); id <= last; id++ {
		now := begins + placement.Millis(id)*1000
		e.Tick(now)
		e.Schedule(now, placement.Workload{ID: id, Service: 1, Cores: 1, Memory: 1, PendingTimeout: month})
		e.BindConfirmed(now+20, id, 0, nil)
		e.BindEnded(now+900, id, 0, 1, settled(placement.Ended))
		most = max(most, e.timers.Len())
		w.take()
	}
	assert.LessOrEqual(t, most, 62, "a minute of asks, and the chores")
	assert.Zero(t, e.WorkloadCount())
	// One that waits is timed out when its time comes, to the thousandth.
	at := begins + placement.Millis(last)*1000 + 5000.25
	e.Schedule(at, placement.Workload{ID: last + 1, Service: 1, Group: runOnce, Cores: 1, Memory: 1, PendingTimeout: 200e3})
	for now := at; now < at+200e3-20.001; now += 500 {
		e.Tick(now)
	}
	w.take()
	e.Tick(at + 200e3 - 20.001)
	assert.Empty(t, w.take())
	e.Tick(at + 200e3 - 20)
	assert.Contains(t, w.take(), fmt.Sprintf("answer %d unschedulable", last+1))
}
