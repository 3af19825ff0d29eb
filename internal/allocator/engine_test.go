package allocator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

func TestEngine_PlacedWorkloadIsAnsweredOnceAndEndsOnce(t *testing.T) {
	e, h := newTestEngine(1)
	e.Schedule(10, request(7, idempotent))
	e.BindConfirmed(20, 7, 0, nil)
	e.BindConfirmed(21, 7, 0, nil)
	e.BindEnded(30, 7, 0, 1, placement.Result{Kind: placement.OutcomeUnknown, Reason: placement.Evicted})
	e.BindEnded(31, 7, 0, 1, ended())
	assert.Equal(t, []string{"bind 7.0 to 1", "answer 7 placed", "ended 7 false 5"}, h.take())
	assert.Zero(t, e.WorkloadCount())
}

func TestEngine_BindRejectedByANodeIsRetriedOnAnotherThenRejected(t *testing.T) {
	e, h := newTestEngine(2)
	e.Schedule(10, request(7, idempotent))
	first := h.take()[0]
	e.BindEnded(20, 7, 0, 1, placement.Result{Kind: placement.RejectedByNode, Reason: placement.InsufficientCores})
	e.BindEnded(30, 7, 1, 2, placement.Result{Kind: placement.RejectedByNode, Reason: placement.InsufficientCores})
	actions := h.take()
	assert.NotEqual(t, first, actions[0])
	assert.Equal(t, "answer 7 rejected", actions[len(actions)-1])
}

func TestEngine_BindTimesOutAndIsStopped(t *testing.T) {
	e, h := newTestEngine(2)
	e.Schedule(0, request(7, idempotent))
	h.take()
	e.Tick(3000)
	actions := h.take()
	assert.Contains(t, actions, "stop 7.0 1 false")
	assert.Contains(t, fmt.Sprint(actions), "bind 7.1")
	// A confirmation of the bind that timed out says nothing about the one in flight.
	e.BindConfirmed(3001, 7, 0, nil)
	assert.Empty(t, h.take())
}

func TestEngine_PlacedWorkloadDoesNotTimeOut(t *testing.T) {
	e, h := newTestEngine(1)
	e.Schedule(0, request(7, idempotent))
	e.BindConfirmed(5, 7, 0, nil)
	h.take()
	e.Tick(9000)
	assert.Empty(t, h.take())
	assert.True(t, e.IsPlaced(7, 0))
}

func TestEngine_ConnectionLostTellsTheModuleWhetherAnAnswerIsStillWanted(t *testing.T) {
	e, _, m := newTestEngineWithFakeModule(1)
	e.Schedule(0, request(7, idempotent))
	e.Schedule(0, request(8, idempotent))
	e.Withdraw(5, 8)
	m.results = nil
	e.ConnectionLost(10, 1)
	assert.Equal(t, []placement.Result{
		{Kind: placement.OutcomeUnknown}, {Kind: placement.OutcomeUnknown, Final: true},
	}, m.results)
}

func TestEngine_AtMostOnceWorkloadThatMayHaveRunIsUnschedulableAndNotStopped(t *testing.T) {
	e, h := newTestEngine(3)
	e.Schedule(0, request(7, atMostOnce))
	h.take()
	e.ConnectionLost(50, e.workloads[7].node)
	assert.Equal(t, []string{"answer 7 unschedulable"}, h.take())
	e.Schedule(100, request(8, atMostOnce))
	h.take()
	e.Tick(6099)
	assert.Contains(t, h.take(), "stop 8.0 1 true", "only what is pending on the node may be stopped")
	assert.False(t, e.StopsDuplicates(atMostOnce))
	assert.True(t, e.StopsDuplicates(idempotent))
}

func TestEngine_WithdrawnWorkloadIsStoppedAndNeverAnswered(t *testing.T) {
	e, h := newTestEngine(1)
	e.Schedule(0, request(7, idempotent))
	e.Schedule(0, request(8, idempotent))
	h.take()
	e.Withdraw(5, 7)
	e.Withdraw(6, 7)
	assert.Equal(t, []string{"stop 7.0 2 false"}, h.take())
	// The node's confirmation was on its way.
	e.BindConfirmed(7, 7, 0, nil)
	e.BindEnded(9, 7, 0, 1, ended())
	assert.Empty(t, h.take())
	// A bind that was withdrawn and gets no reply ends with its timeout.
	e.Withdraw(10, 8)
	h.take()
	e.Tick(7000)
	assert.NotContains(t, fmt.Sprint(h.take()), "answer")
	assert.Zero(t, e.WorkloadCount())
}

func TestEngine_WithoutNodesAWorkloadWaitsAndIsRejectedInTime(t *testing.T) {
	e, h := newTestEngine(0)
	e.Schedule(0, request(7, idempotent))
	for now := placement.Millis(0); now <= 1100; now += 50 {
		e.Tick(now)
	}
	assert.Contains(t, h.take(), "answer 7 rejected")
	e.Schedule(1200, request(8, idempotent))
	e.Withdraw(1210, 8)
	e.Tick(9000)
	actions := fmt.Sprint(h.take())
	assert.NotContains(t, actions, "answer 8")
	assert.NotContains(t, actions, "stop 8", "no bind of it is open")
}

func TestEngine_NodeLostEndsWhatIsPlacedAndRetriesWhatIsInFlight(t *testing.T) {
	e, h := newTestEngine(1)
	e.Schedule(0, request(7, idempotent))
	e.BindConfirmed(5, 7, 0, nil)
	e.Schedule(6, request(8, idempotent))
	e.Adopt(7, placement.Workload{ID: 9, Service: 2, Cores: 1, Memory: 1}, 1)
	h.take()
	e.UpdateNodes(10, placement.Delta, []placement.Node{{ID: 1, State: placement.Removed}})
	e.NodeLost(10, 1)
	actions := h.take()
	assert.Contains(t, actions, "ended 7 false 0")
	assert.Contains(t, actions, "ended 9 false 0")
	assert.Contains(t, actions, "answer 8 rejected", "there is no other node, and it may run twice")
}

func TestEngine_ReconcileNodeEndsWhatTheNodeDoesNotList(t *testing.T) {
	e, h := newTestEngine(1)
	for id := placement.WorkloadID(1); id <= 3; id++ {
		e.Schedule(0, request(id, idempotent))
		e.BindConfirmed(5, id, 0, nil)
	}
	h.take()
	e.ReconcileNode(10, 1, func(id placement.WorkloadID, bind int) bool { return id == 2 && bind == 0 })
	assert.Equal(t, []string{"ended 1 false 0", "ended 3 false 0"}, h.take())
	assert.True(t, e.IsPlaced(2, 0))
}

// The clock of a process that was stopped jumps; everything that came due meanwhile is done once, in order.
func TestEngine_TickAfterAStallDoesAllThatIsOverdueOnce(t *testing.T) {
	e, h := newTestEngine(1)
	e.Schedule(0, request(7, atMostOnce))
	e.Schedule(0, request(8, idempotent))
	h.take()
	e.Tick(60000)
	actions := h.take()
	assert.Contains(t, actions, "answer 7 unschedulable")
	assert.Contains(t, actions, "answer 8 rejected")
	e.Tick(60000)
	assert.NotContains(t, fmt.Sprint(h.take()), "answer")
}

func TestEngine_LogHoldsEveryDecisionInOrder(t *testing.T) {
	e, _ := newTestEngine(1)
	e.Schedule(10, request(7, idempotent))
	e.BindConfirmed(20, 7, 0, nil)
	e.BindEnded(30, 7, 0, 1, ended())
	events, complete := e.log.Since(1)
	assert.True(t, complete)
	var kinds []eventlog.Kind
	for i, ev := range events {
		assert.Equal(t, uint64(i+2), ev.Revision)
		kinds = append(kinds, ev.Kind)
	}
	assert.Equal(t, []eventlog.Kind{
		eventlog.Requested, eventlog.Bound, eventlog.BindOutcome, eventlog.Answered, eventlog.Ended,
	}, kinds)
}
