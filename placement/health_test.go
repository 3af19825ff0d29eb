package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// This guards against ejecting nodes when a client withdraws many workloads simultaneously, which leaves the outcomes
// of their binds unknown.
func TestEjected_WithdrawalsEjectNoNode(t *testing.T) {
	scheduler := newFleet(t, 3)
	for id := range WorkloadID(50) {
		step := scheduler.Schedule(0, Workload{
			ID:             id,
			Service:        ServiceID(id),
			Cores:          0.1,
			Memory:         0.1,
			PendingTimeout: 6000,
		})
		require.Equal(t, Bind, step.Kind)
		step = step.NextStep(1, Result{Kind: Withdrawn, Final: true})
		assert.Equal(t, Done, step.NextStep(1, Result{Kind: OutcomeUnknown, Final: true}).Kind)
	}
	assert.Empty(t, scheduler.health.ejected(2))
}

func TestEjected_AtMostOneThirdOfTheFleetAndForALimitedTime(t *testing.T) {
	scheduler := newFleet(t, 6)
	scheduler.node(3).failures.add(0)
	require.Len(t, scheduler.health.ejected(1), 1)
	for _, n := range scheduler.nodes.sorted {
		n.failures.add(0)
	}
	assert.Len(t, scheduler.health.ejected(1), 2, "a failure of all nodes ejects at most a third of them")
	assert.NotContains(t, scheduler.health.ejected(2*ejectionTime+1), scheduler.node(3), "after the ejection time")
}

func TestEjected_NodeWithAnOverdueBind(t *testing.T) {
	const overdueAt = unresponsiveAfter + defaultConfirmationTime + 1
	scheduler := newFleet(t, 3)
	scheduler.node(2).addBind(0, pendingWorkload(scheduler, idempotent, 1, 1))
	assert.Empty(t, scheduler.health.ejected(100))
	assert.Equal(t, []*node{scheduler.node(2)}, scheduler.health.ejected(overdueAt))
}

func TestDueChecks_LimitedByCreditFromRequests(t *testing.T) {
	scheduler := newFleet(t, 3)
	scheduler.settings.HealthChecksAllowed = true
	assert.Empty(t, scheduler.health.dueChecks(0), "no requests, no checks")
	scheduler.health.checkCredit = 2
	first := scheduler.health.dueChecks(0)
	assert.Len(t, first, 2)
	scheduler.health.checkCredit = 2
	assert.NotContains(t, first, scheduler.health.dueChecks(1)[0], "a node with a check in flight is not checked again")
}

func TestNode_UnansweredBindsAreCountedUntilTheirReplyOrEnd(t *testing.T) {
	scheduler := newFleet(t, 1)
	n := scheduler.node(1)
	confirmed := n.addBind(0, pendingWorkload(scheduler, idempotent, 1, 1))
	failed := n.addBind(0, pendingWorkload(scheduler, idempotent, 1, 1))
	require.Equal(t, 2, n.unanswered)
	confirmed.advance(bindConfirmed)
	assert.Equal(t, 1, n.unanswered)
	confirmed.advance(bindRunning)
	assert.Equal(t, 1, n.unanswered, "confirmed before: already subtracted")
	n.removeBind(1, confirmed)
	assert.Equal(t, 1, n.unanswered)
	n.removeBind(1, failed)
	assert.Zero(t, n.unanswered)
}
