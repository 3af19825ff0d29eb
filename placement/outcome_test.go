package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Rules 1 and 2 of internal/simulation/audit: the step that follows each kind of result, by idempotency of the group.
func TestNextStep_AfterABind(t *testing.T) {
	for _, c := range []struct {
		name  string
		group GroupID
		kind  ResultKind
		want  StepKind
	}{
		{"idempotent, rejected: another bind", idempotent, RejectedByNode, Bind},
		{"idempotent, timed out: another bind", idempotent, TimedOut, Bind},
		{"idempotent, outcome unknown: another bind", idempotent, OutcomeUnknown, Bind},
		{"idempotent, withdrawn with the bind in flight: awaits its end", idempotent, Withdrawn, AwaitEnd},
		{"at most once, rejected: another bind", atMostOnce, RejectedByNode, Bind},
		{"at most once, not delivered: another bind", atMostOnce, NotDelivered, Bind},
		{"at most once, timed out: unschedulable", atMostOnce, TimedOut, Unschedulable},
		{"at most once, outcome unknown: unschedulable", atMostOnce, OutcomeUnknown, Unschedulable},
		{"at most once, not attempted: rejected", atMostOnce, NotAttempted, Rejected},
		{"at most once, confirmed: awaits its end", atMostOnce, Confirmed, AwaitEnd},
		{"by key everywhere, timed out: another bind", keyedEverywhere, TimedOut, Bind},
		{"by key in a cell, timed out: another bind", keyedInCell, TimedOut, Bind},
		{"by key in a cell, rejected: another bind", keyedInCell, RejectedByNode, Bind},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 2)
			step := scheduler.Schedule(0, requestOneCore(c.group, 9000))
			require.Equal(t, Bind, step.Kind)
			assert.Equal(t, c.want, step.NextStep(100, Result{Kind: c.kind}).Kind)
		})
	}
}

func TestFinalAnswer_RejectedOnlyIfARetryIsHarmless(t *testing.T) {
	for _, c := range []struct {
		name  string
		group GroupID
		want  StepKind
	}{
		{"by key in a cell: unschedulable", keyedInCell, Unschedulable},
		{"by key everywhere: rejected", keyedEverywhere, Rejected},
		{"idempotent: rejected", idempotent, Rejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 1)
			step := scheduler.Schedule(0, requestOneCore(c.group, 9000))
			scheduler.UpdateNodes(1, Delta, []Node{entry(1, Draining)})
			assert.Equal(t, c.want, step.NextStep(100, Result{Kind: OutcomeUnknown}).Kind)
		})
	}
}

func TestNextStep_DoneAfterAWithdrawal(t *testing.T) {
	scheduler := newFleet(t, 2)
	sent := scheduler.Schedule(0, requestOneCore(idempotent, 9000))
	withdrawn := sent.NextStep(1, Result{Kind: Withdrawn})
	assert.Equal(t, Done, withdrawn.NextStep(2, Result{Kind: RejectedByNode}).Kind)
	assert.Empty(t, scheduler.node(1).binds)
	assert.Empty(t, scheduler.node(2).binds)
}
