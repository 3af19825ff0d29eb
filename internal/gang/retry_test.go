package gang

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

func TestPartFailed_LastPart_RolledBackAndRetried(t *testing.T) {
	gang := startParts(newRequest(3, placement.Idempotent, placement.Idempotent, placement.Idempotent), 0)
	// Requested parts are stopped before running ones.
	assertActions(t, gang.PartFailed(20, 2, NeverRan), "stop 1", "stop 0", "timer")
	assert.Equal(t, RollingBackToRetry, gang.State())
	assert.Empty(t, gang.PartStarted(1), "the part is being stopped")
	assert.Empty(t, gang.PartEnded(30, 0, EndedEarly))
	actions := gang.PartEnded(40, 1, EndedEarly)
	require.Len(t, actions, 1)
	assertActions(t, actions, "timer")
	retryAt := actions[0].At
	assert.Greater(t, retryAt, placement.Millis(40)+minRetryDelay-1)
	assertActions(t, gang.TimerFired(retryAt), "attempt", "timer")
	assert.Equal(t, 2, gang.Attempts())
}

func TestGang_MaxAttemptsReached_Rejected(t *testing.T) {
	request := newPairRequest()
	request.PendingTimeout = 100e3
	gang := startOffered(request)
	now := placement.Millis(0)
	for range maxAttempts - 1 {
		assertActions(t, gang.PartFailed(now, 0, NeverRan), "stop 1", "timer")
		now = gang.PartEnded(now, 1, EndedEarly)[0].At
		gang.TimerFired(now)
		gang.AttemptResult(partNumbers(2))
	}
	// The client is answered immediately, before the rollback is complete.
	assertActions(t, gang.PartFailed(now, 0, NeverRan), "rejected", "stop 1", "timer")
	assertActions(t, gang.PartEnded(now, 1, EndedEarly), "forget")
}

func TestPartFailed_LargerPartRunning_RequestedPartStoppedFirst(t *testing.T) {
	gang := startParts(newRequest(3, placement.Idempotent, placement.Idempotent, placement.Idempotent), 1)
	assertActions(t, gang.PartFailed(20, 2, NeverRan), "stop 0", "stop 1", "timer")
}

func TestPartEnded_TooLittleTimeForRetry_Rejected(t *testing.T) {
	request := newPairRequest()
	gang := startOffered(request)
	assertActions(t, gang.PartFailed(20, 0, NeverRan), "stop 1", "timer")
	rolledBackAt := request.PendingTimeout - minStartTime
	assertActions(t, gang.PartEnded(rolledBackAt, 1, EndedEarly), "rejected", "forget")
}
