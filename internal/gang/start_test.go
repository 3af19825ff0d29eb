package gang

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestNew_NoMinParts_OnePartNeeded(t *testing.T) {
	assert.Equal(t, 1, New(0, Request{Parts: make([]Part, 2)}, seed).request.MinParts)
}

func TestStart_PartsOfTwoSizes_LargerFirst(t *testing.T) {
	gang := New(0, Request{Parts: []Part{{Size: 0.1}, {Size: 0.9}}, PendingTimeout: 5e3}, seed)
	assert.Equal(t, []int{1, 0}, gang.Start(0)[0].Parts)
}

func TestStart_TooLittleTime_Rejected(t *testing.T) {
	request := newPairRequest()
	request.PendingTimeout = 100
	assertActions(t, New(0, request, seed).Start(0), "rejected", "forget")
}

// Guards against an answer that reaches the client after its timeout: the network may delay a request, and the margin
// grows with the timeout to allow for it.
func TestStart_LongPendingTimeout_LargerAnswerMargin(t *testing.T) {
	for timeout, answerAfter := range map[placement.Millis]placement.Millis{500: 480, 8000: 7840} {
		t.Run(fmt.Sprint(timeout, " ms"), func(t *testing.T) {
			const now = placement.Millis(1000)
			request := newRequest(1, placement.Idempotent)
			request.PendingTimeout = timeout
			actions := New(now, request, seed).Start(now)
			assert.Equal(t, []placement.Millis{now + answerAfter}, timers(actions))
		})
	}
}

func TestAttemptResult_NoPartOffered_RejectedImmediately(t *testing.T) {
	gang := New(0, newRequest(2, placement.Idempotent, placement.Idempotent, placement.Idempotent), seed)
	gang.Start(0)
	assertActions(t, gang.AttemptResult(nil), "rejected", "forget")
}

func TestPartStarted_LastPart_Placed(t *testing.T) {
	gang := startOffered(newPairRequest())
	assert.Empty(t, gang.PartStarted(1))
	assertActions(t, gang.PartStarted(0), "confirm", "placed")
}

func TestTimerFired_AnswerDue(t *testing.T) {
	const answerDue = placement.Millis(4990)
	t.Run("starting with too few parts: rejected", func(t *testing.T) {
		request := newPairRequest()
		request.PendingTimeout = 5e3
		gang := startParts(request, 0)
		assertActions(t, gang.TimerFired(answerDue), "rejected", "stop 1", "stop 0", "timer")
	})
	t.Run("rolling back: rejected, and stops are repeated", func(t *testing.T) {
		request := newPairRequest()
		request.PendingTimeout = 5e3
		gang := startParts(request, 0)
		gang.PartFailed(20, 1, NeverRan)
		assertActions(t, gang.TimerFired(20+stopRetryInterval), "timer", "stop 0")
		assertActions(t, gang.TimerFired(answerDue), "rejected", "timer", "stop 0")
		assertActions(t, gang.PartEnded(5100, 0, EndedEarly), "forget")
	})
	t.Run("starting with enough parts: others stopped, placed", func(t *testing.T) {
		request := newRequest(1, placement.Idempotent, placement.Idempotent)
		request.PendingTimeout = 5e3
		gang := startParts(request, 0)
		assertActions(t, gang.TimerFired(answerDue), "stop 1", "confirm", "placed")
		assert.Empty(t, gang.PartEnded(5000, 1, EndedEarly))
		assert.Equal(t, Running, gang.State())
	})
}
