package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEjected_WithdrawalsEjectNoNode(t *testing.T) {
	s := newFleet(t, 3)
	for id := range WorkloadID(50) {
		step := s.Schedule(0, Workload{ID: id, Service: ServiceID(id), Cores: 0.1, Memory: 0.1, PendingTimeout: 6000})
		require.Equal(t, Bind, step.Kind)
		step = step.NextStep(1, Result{Kind: Withdrawn, Final: true})
		assert.Equal(t, Done, step.NextStep(1, Result{Kind: OutcomeUnknown, Final: true}).Kind)
	}
	assert.Empty(t, s.health.ejected(2))
}

func TestEjected_AtMostAPartOfTheFleetForAWhile(t *testing.T) {
	s := newFleet(t, 6)
	s.node(3).failures.record(0, true)
	require.Len(t, s.health.ejected(1), 1)
	for _, n := range s.nodes.sorted {
		n.failures.record(0, true)
	}
	assert.Len(t, s.health.ejected(1), 2, "a fault that all share ejects no more than a third")
	assert.NotContains(t, s.health.ejected(2*ejectionTime+1), s.node(3), "it is tried again")
}

func TestEjected_NodeWithAnOverdueBind(t *testing.T) {
	s := newFleet(t, 3)
	s.node(2).addBind(0, pendingWorkload(s, 0, 1, 1))
	assert.Empty(t, s.health.ejected(100))
	assert.Equal(t, []*node{s.node(2)}, s.health.ejected(unresponsiveAfter+defaultConfirmationTime+1))
}

func TestDueChecks_PaidForByRequests(t *testing.T) {
	s := newFleet(t, 3)
	s.settings.HealthChecksAllowed = true
	assert.Empty(t, s.health.dueChecks(0), "no requests, no checks")
	s.health.checkCredit = 2
	first := s.health.dueChecks(0)
	assert.Len(t, first, 2)
	s.health.checkCredit = 2
	assert.NotContains(t, first, s.health.dueChecks(1)[0], "unanswered ones are not checked again at once")
}
