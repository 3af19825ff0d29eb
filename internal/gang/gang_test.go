package gang

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Stored traces and operators' scripts hold these texts.
func TestState_String(t *testing.T) {
	texts := map[State]string{
		Pending:            "pending",
		Starting:           "starting",
		Running:            "standing",
		RollingBackToRetry: "undoing",
		RollingBackToEnd:   "undoing",
		Ended:              "given up",
	}
	for state, text := range texts {
		assert.Equal(t, text, state.String())
	}
}

func TestWithdraw(t *testing.T) {
	t.Run("starting: rolled back without an answer", func(t *testing.T) {
		gang := startParts(newPairRequest(), 0)
		assertActions(t, gang.Withdraw(20), "stop 1", "stop 0", "timer")
		assert.Empty(t, gang.Withdraw(21))
		gang.PartEnded(30, 0, endedEarly)
		assertActions(t, gang.PartEnded(31, 1, endedEarly), "forget")
	})
	t.Run("rolling back to retry: ended without an answer", func(t *testing.T) {
		gang := startOffered(newPairRequest())
		gang.PartFailed(20, 0, neverRan)
		assert.Equal(t, RollingBackToRetry, gang.State)
		assert.Empty(t, gang.Withdraw(21))
		assertActions(t, gang.PartEnded(22, 1, endedEarly), "forget")
	})
	t.Run("pending, to be retried: ended at once", func(t *testing.T) {
		gang := startOffered(newPairRequest())
		gang.PartFailed(20, 0, neverRan)
		gang.PartEnded(21, 1, endedEarly)
		assert.Equal(t, Pending, gang.State)
		assertActions(t, gang.Withdraw(30), "forget")
	})
}

func TestRecover(t *testing.T) {
	request := Request{Parts: make([]Part, 3), MinParts: 2}
	const confirmed = true
	t.Run("confirmed, enough parts running: goes on", func(t *testing.T) {
		_, actions := Recover(0, request, []bool{true, true, false}, confirmed, seed)
		assertActions(t, actions, "confirm")
	})
	t.Run("not confirmed: rolled back", func(t *testing.T) {
		_, actions := Recover(0, request, []bool{true, true, true}, !confirmed, seed)
		assertActions(t, actions, "stop 0", "stop 1", "stop 2", "timer")
	})
	t.Run("confirmed, too few parts running: rolled back and ended", func(t *testing.T) {
		gang, actions := Recover(0, request, []bool{false, true, false}, confirmed, seed)
		assertActions(t, actions, "stop 1", "timer")
		assertActions(t, gang.PartEnded(10, 1, endedEarly), "forget")
	})
}
