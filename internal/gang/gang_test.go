package gang

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a changed text: stored traces and operators' scripts contain these texts.
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
		gang.PartEnded(30, 0, EndedEarly)
		assertActions(t, gang.PartEnded(31, 1, EndedEarly), "forget")
	})
	t.Run("rolling back to retry: ended without an answer", func(t *testing.T) {
		gang := startOffered(newPairRequest())
		gang.PartFailed(20, 0, NeverRan)
		assert.Equal(t, RollingBackToRetry, gang.State())
		assert.Empty(t, gang.Withdraw(21))
		assertActions(t, gang.PartEnded(22, 1, EndedEarly), "forget")
	})
	t.Run("pending, to be retried: ended immediately", func(t *testing.T) {
		gang := startOffered(newPairRequest())
		gang.PartFailed(20, 0, NeverRan)
		gang.PartEnded(21, 1, EndedEarly)
		assert.Equal(t, Pending, gang.State())
		assertActions(t, gang.Withdraw(30), "forget")
	})
}

func TestRecover(t *testing.T) {
	request := Request{Parts: make([]Part, 3), MinParts: 2}
	t.Run("confirmed, enough parts running: continues", func(t *testing.T) {
		_, actions := Recover(0, request, []int{0, 1}, Confirmed, seed)
		assertActions(t, actions, "confirm")
	})
	t.Run("not confirmed: rolled back", func(t *testing.T) {
		_, actions := Recover(0, request, []int{0, 1, 2}, Unconfirmed, seed)
		assertActions(t, actions, "stop 0", "stop 1", "stop 2", "timer")
	})
	t.Run("confirmed, too few parts running: rolled back and ended", func(t *testing.T) {
		gang, actions := Recover(0, request, []int{1}, Confirmed, seed)
		assertActions(t, actions, "stop 1", "timer")
		assertActions(t, gang.PartEnded(10, 1, EndedEarly), "forget")
	})
}
