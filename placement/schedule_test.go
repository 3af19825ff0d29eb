package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAdopt_DoesNotReduceAvailableCapacity(t *testing.T) {
	scheduler := newFleet(t, 1)
	scheduler.node(1).FreeCores = 4
	scheduler.Adopt(0, Workload{
		ID:      9,
		Service: 1,
		Cores:   6,
		Memory:  6,
	}, 1)
	assert.InDelta(t, 4, scheduler.capacity.available(0, scheduler.node(1)).Cores, 1e-9)
	assert.True(t, scheduler.node(1).runsService(1))
}

func TestSchedule_FullFleetRejectsImmediately(t *testing.T) {
	scheduler := newFleet(t, 1)
	scheduler.node(1).FreeCores = 0
	assert.Equal(t, Rejected, scheduler.Schedule(0, requestOneCore(idempotent, 5000)).Kind)
}

func TestSchedule_EmptyNodeTableWaitsThenRejects(t *testing.T) {
	for _, c := range []struct {
		name   string
		now    Millis
		result ResultKind
		want   StepKind
	}{
		{"no node before the start deadline: rejected", 999, TimerFired, Rejected},
		{"withdrawn during the wait: no answer", 10, Withdrawn, Done},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 0)
			step := scheduler.Schedule(0, requestOneCore(idempotent, 5000))
			require.Equal(t, Wait, step.Kind)
			assert.Equal(t, c.want, step.NextStep(c.now, Result{Kind: c.result}).Kind)
		})
	}
}

func TestSchedule_AnswersBeforeThePendingTimeout(t *testing.T) {
	scheduler := newFleet(t, 2)
	step := scheduler.Schedule(0, requestOneCore(atMostOnce, 3000))
	assert.InDelta(t, float64(3000-answerMargin), float64(step.Timeout), 0, "the only bind gets all the remaining time")
	step = scheduler.Schedule(0, requestOneCore(idempotent, 3000))
	assert.Equal(t, Rejected, step.NextStep(2990, Result{Kind: TimedOut}).Kind, "no time left for another bind")
}

func TestSchedule_AtMostMaxBinds(t *testing.T) {
	scheduler := newFleet(t, 9)
	step := scheduler.Schedule(0, requestOneCore(idempotent, 9000))
	for range 3 {
		require.Equal(t, Bind, step.Kind)
		step = step.NextStep(1, Result{Kind: RejectedByNode, Reason: QueueFull})
	}
	assert.Equal(t, Rejected, step.Kind)
}
