package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// Guards against a second answer or a second end when a node's reply is delivered twice.
func TestEngine_RepeatedNodeReplies_OneAnswerAndOneEnd(t *testing.T) {
	engine, host := newTestEngine(1)
	engine.Schedule(10, newWorkload(7, idempotent))
	engine.BindConfirmed(20, 7, 0, nil)
	engine.BindConfirmed(21, 7, 0, nil)
	engine.BindEnded(30, 7, 0, 1, placement.Result{Kind: placement.OutcomeUnknown, Reason: placement.Evicted})
	engine.BindEnded(31, 7, 0, 1, endedResult())
	assert.Equal(t, []any{
		bound{
			workload: 7,
			bind:     0,
			node:     1,
		},
		answered{workload: 7, verdict: Placed},
		notifiedEnded{
			workload:  7,
			migrating: false,
			reason:    placement.Evicted,
		},
	}, host.take())
	assert.Zero(t, engine.WorkloadCount())
}

func TestEngine_BindRejectedByEveryNode_TriedOnEachThenRejected(t *testing.T) {
	engine, host := newTestEngine(2)
	insufficientCores := placement.Result{Kind: placement.RejectedByNode, Reason: placement.InsufficientCores}
	engine.Schedule(10, newWorkload(7, idempotent))
	first := actionsOf[bound](host.take())[0]
	engine.BindEnded(20, 7, 0, 1, insufficientCores)
	engine.BindEnded(30, 7, 1, 2, insufficientCores)
	actions := host.take()
	second := actionsOf[bound](actions)[0]
	assert.Equal(t, second, actions[0])
	assert.NotEqual(t, first.node, second.node)
	assert.Equal(t, answered{workload: 7, verdict: Rejected}, actions[len(actions)-1])
}

func TestEngine_BindWithoutReply_TimesOutAndIsStoppedAndRetried(t *testing.T) {
	engine, host := newTestEngine(2)
	engine.Schedule(0, newWorkload(7, idempotent))
	host.take()
	engine.Tick(3000)
	actions := host.take()
	assert.Contains(t, actions, stopped{
		workload: 7,
		bind:     0,
		reason:   TimedOut,
	})
	retries := actionsOf[bound](actions)
	require.Len(t, retries, 1)
	assert.Equal(t, 1, retries[0].bind)
	assert.Equal(t, placement.WorkloadID(7), retries[0].workload)
	// A late confirmation of the timed-out bind must not confirm the bind in flight.
	engine.BindConfirmed(3001, 7, 0, nil)
	assert.Empty(t, host.take())
}

func TestEngine_PlacedWorkload_DoesNotTimeOut(t *testing.T) {
	engine, host := newTestEngine(1)
	engine.Schedule(0, newWorkload(7, idempotent))
	engine.BindConfirmed(5, 7, 0, nil)
	host.take()
	engine.Tick(9000)
	assert.Empty(t, host.take())
	assert.True(t, engine.IsPlaced(7, 0))
}

func TestEngine_ConnectionLost_ResultFinalOnlyForWithdrawnWorkload(t *testing.T) {
	engine, _, module := newTestEngineWithFakeModule(1)
	engine.Schedule(0, newWorkload(7, idempotent))
	engine.Schedule(0, newWorkload(8, idempotent))
	engine.Withdraw(5, 8)
	module.results = nil
	engine.ConnectionLost(10, 1)
	assert.Equal(t, []placement.Result{
		{Kind: placement.OutcomeUnknown},
		{Kind: placement.OutcomeUnknown, Final: true},
	}, module.results)
}

func TestEngine_AtMostOnceWorkloadThatMayHaveRun_IsUnschedulableAndNotStopped(t *testing.T) {
	engine, host := newTestEngine(3)
	engine.Schedule(0, newWorkload(7, atMostOnce))
	host.take()
	engine.ConnectionLost(50, engine.workloads[7].node)
	assert.Equal(t, []any{answered{workload: 7, verdict: Unschedulable}}, host.take())

	engine.Schedule(100, newWorkload(8, atMostOnce))
	host.take()
	engine.Tick(100 + pendingTimeout - 1)
	assert.Contains(t, host.take(), stopped{
		workload:    8,
		bind:        0,
		reason:      TimedOut,
		onlyPending: true,
	},
		"an accepted at-most-once workload must keep running")

	assert.False(t, engine.StopsDuplicates(atMostOnce))
	assert.True(t, engine.StopsDuplicates(idempotent))
}

func TestEngine_WithdrawnWorkload_IsStoppedAndNeverAnswered(t *testing.T) {
	engine, host := newTestEngine(1)
	engine.Schedule(0, newWorkload(7, idempotent))
	engine.Schedule(0, newWorkload(8, idempotent))
	host.take()
	engine.Withdraw(5, 7)
	engine.Withdraw(6, 7)
	assert.Equal(t, []any{stopped{
		workload: 7,
		bind:     0,
		reason:   Withdrawn,
	}}, host.take())

	// The node sent its confirmation before it received the stop.
	engine.BindConfirmed(7, 7, 0, nil)
	engine.BindEnded(9, 7, 0, 1, endedResult())
	assert.Empty(t, host.take())

	// A withdrawn bind without a reply ends when it times out.
	engine.Withdraw(10, 8)
	host.take()
	engine.Tick(7000)
	assert.Empty(t, actionsOf[answered](host.take()))
	assert.Zero(t, engine.WorkloadCount())
}

func TestEngine_NoNodes_RejectedBeforePendingTimeout(t *testing.T) {
	engine, host := newTestEngine(0)
	engine.Schedule(0, newWorkload(7, idempotent))
	for now := placement.Millis(0); now <= 1100; now += 50 {
		engine.Tick(now)
	}
	assert.Contains(t, host.take(), answered{workload: 7, verdict: Rejected})
	engine.Schedule(1200, newWorkload(8, idempotent))
	engine.Withdraw(1210, 8)
	engine.Tick(9000)
	actions := host.take()
	assert.Empty(t, actionsOf[answered](actions))
	assert.Empty(t, actionsOf[stopped](actions), "the workload has no open bind")
}

func TestEngine_NodeLost_EndsPlacedWorkloadsAndResolvesBindsInFlight(t *testing.T) {
	engine, host := newTestEngine(1)
	engine.Schedule(0, newWorkload(7, idempotent))
	engine.BindConfirmed(5, 7, 0, nil)
	engine.Schedule(6, newWorkload(8, idempotent))
	adopted := newWorkload(9, idempotent)
	adopted.Service = 2
	engine.Adopt(7, adopted, 1)
	host.take()
	engine.UpdateNodes(10, placement.Delta, []placement.Node{{ID: 1, State: placement.Removed}})
	engine.NodeLost(10, 1)
	actions := host.take()
	assert.Contains(t, actions, notifiedEnded{workload: 7})
	assert.Contains(t, actions, notifiedEnded{workload: 9})
	assert.Contains(t, actions, answered{workload: 8, verdict: Rejected},
		"there is no other node, and an idempotent workload may run twice")
}

func TestEngine_ReconcileNode_EndsWorkloadsNotListedByNode(t *testing.T) {
	engine, host := newTestEngine(1)
	for id := placement.WorkloadID(1); id <= 3; id++ {
		engine.Schedule(0, newWorkload(id, idempotent))
		engine.BindConfirmed(5, id, 0, nil)
	}
	host.take()
	engine.ReconcileNode(10, 1, func(id placement.WorkloadID, bind int) bool { return id == 2 && bind == 0 })
	assert.Equal(t, []any{notifiedEnded{workload: 1}, notifiedEnded{workload: 3}}, host.take())
	assert.True(t, engine.IsPlaced(2, 0))
}

// Guards against timers that are lost or handled twice when the clock jumps because the process was stopped.
func TestEngine_TickAfterStall_HandlesOverdueTimersOnce(t *testing.T) {
	engine, host := newTestEngine(1)
	engine.Schedule(0, newWorkload(7, atMostOnce))
	engine.Schedule(0, newWorkload(8, idempotent))
	host.take()
	engine.Tick(60000)
	actions := host.take()
	assert.Contains(t, actions, answered{workload: 7, verdict: Unschedulable})
	assert.Contains(t, actions, answered{workload: 8, verdict: Rejected})
	engine.Tick(60000)
	assert.Empty(t, actionsOf[answered](host.take()))
}

func TestEngine_EventLog_RecordsDecisionsInOrder(t *testing.T) {
	engine, _ := newTestEngine(1)
	engine.Schedule(10, newWorkload(7, idempotent))
	engine.BindConfirmed(20, 7, 0, nil)
	engine.BindEnded(30, 7, 0, 1, endedResult())
	const nodesUpdated = 1 // revision of the NodesUpdated event that newTestEngine causes
	events, complete := engine.log.Since(nodesUpdated)
	assert.True(t, complete)
	var kinds []eventlog.Kind
	for i, event := range events {
		assert.Equal(t, uint64(nodesUpdated+1+i), event.Revision)
		kinds = append(kinds, event.Kind)
	}
	assert.Equal(t, []eventlog.Kind{
		eventlog.Requested,
		eventlog.Bound,
		eventlog.BindOutcome,
		eventlog.Answered,
		eventlog.Ended,
	}, kinds)
}
