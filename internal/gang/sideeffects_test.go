package gang

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestPartFailed_PartMayHaveRun(t *testing.T) {
	for _, idempotency := range []placement.Idempotency{placement.AtMostOnce, placement.IdempotentByKey} {
		t.Run(idempotencyNames[idempotency]+" bind unanswered: unschedulable", func(t *testing.T) {
			gang := startOffered(newRequest(2, idempotency, placement.Idempotent))
			assertActions(t, gang.PartFailed(20, 0, MayRun), "unschedulable", "stop 1", "timer")
		})
	}
	t.Run("at-most-once started and stopped: unschedulable", func(t *testing.T) {
		gang := startParts(newRequest(2, placement.AtMostOnce, placement.Idempotent), 0)
		assertActions(t, gang.PartFailed(20, 1, NeverRan), "unschedulable", "stop 0", "timer")
	})
	t.Run("at-most-once running at the answer deadline: unschedulable", func(t *testing.T) {
		request := newRequest(2, placement.AtMostOnce, placement.Idempotent)
		gang := startParts(request, 0)
		assertActions(t, gang.TimerFired(request.PendingTimeout), "unschedulable", "stop 1", "stop 0", "timer")
	})
	t.Run("at-most-once lost: unschedulable", func(t *testing.T) {
		gang := startParts(newRequest(2, placement.AtMostOnce, placement.Idempotent), 0)
		assertActions(t, gang.PartEnded(20, 0, EndedEarly), "unschedulable", "stop 1", "timer")
	})
	t.Run("bind unanswered after the rollback began: unschedulable", func(t *testing.T) {
		gang := startOffered(newRequest(2, placement.Idempotent, placement.IdempotentByKey))
		assertActions(t, gang.PartFailed(20, 0, NeverRan), "stop 1", "timer")
		assertActions(t, gang.PartFailed(30, 1, MayRun), "unschedulable", "forget")
	})
	t.Run("idempotent bind unanswered: retried", func(t *testing.T) {
		gang := startOffered(newPairRequest())
		assertActions(t, gang.PartFailed(20, 0, MayRun), "stop 1", "timer")
	})
	t.Run("at-most-once never ran: retried", func(t *testing.T) {
		gang := startOffered(newRequest(2, placement.AtMostOnce, placement.Idempotent))
		assertActions(t, gang.PartFailed(20, 0, NeverRan), "stop 1", "timer")
	})
}

func TestPartFailed_OtherPartFinished_RetriedOnlyIfIdempotent(t *testing.T) {
	retried := map[placement.Idempotency]bool{
		placement.Idempotent:      true,
		placement.IdempotentByKey: false,
	}
	for idempotency, want := range retried {
		t.Run(idempotencyNames[idempotency], func(t *testing.T) {
			request := newRequest(2, idempotency, idempotency)
			request.PendingTimeout = 8e3
			gang := startParts(request, 0)
			gang.PartEnded(500, 0, Finished)
			actions := gang.PartFailed(600, 1, NeverRan)
			answered := slices.ContainsFunc(actions, func(action Action) bool {
				return action.Kind == AnswerRejected || action.Kind == AnswerUnschedulable
			})
			assert.Equal(t, want, !answered, "%v", actions)
		})
	}
}
