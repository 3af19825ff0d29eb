package gang

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestPartEnded_AllFinished_EndReported(t *testing.T) {
	gang := startParts(newPairRequest(), 1, 0)
	assert.Empty(t, gang.PartEnded(50, 0, Finished))
	assertActions(t, gang.PartEnded(60, 1, Finished), "report end", "forget")
}

func TestPartEnded_Early(t *testing.T) {
	replaceOnLoss := func(request Request) Request {
		request.OnLoss = ReplaceOnLoss
		request.ReplaceTimeout = 3e3
		return request
	}
	t.Run("starting: rolled back", func(t *testing.T) {
		gang := startParts(newPairRequest(), 0)
		assertActions(t, gang.PartEnded(20, 0, EndedEarly), "stop 1", "timer")
	})
	t.Run("running, stop on loss: ended and rolled back", func(t *testing.T) {
		gang := startParts(newPairRequest(), 0, 1)
		assertActions(t, gang.PartEnded(20, 0, EndedEarly), "report end", "stop 1", "timer")
	})
	t.Run("running, replace on loss: part requested again", func(t *testing.T) {
		gang := startParts(replaceOnLoss(newPairRequest()), 0, 1)
		actions := gang.PartEnded(20, 0, EndedEarly)
		assertActions(t, actions, "request 0", "timer")
		assert.InDelta(t, 3e3, float64(actions[0].Timeout), 0)
		assertActions(t, gang.PartStarted(0), "confirm")
		gang.PartEnded(1000, 1, EndedEarly)
		assertActions(t, gang.PartFailed(1200, 1, NeverRan), "report end", "stop 0", "timer")
	})
	t.Run("running, replacement may have run: ended, since a part is replaced only once", func(t *testing.T) {
		gang := startParts(replaceOnLoss(newPairRequest()), 0, 1)
		assertActions(t, gang.PartEnded(20, 0, EndedEarly), "request 0", "timer")
		assertActions(t, gang.PartFailed(1200, 0, MayRun), "report end", "stop 1", "timer")
	})
	t.Run("running, at-most-once, replace on loss: ended, since the part must not start twice", func(t *testing.T) {
		gang := startParts(replaceOnLoss(newRequest(2, placement.AtMostOnce, placement.Idempotent)), 0, 1)
		assertActions(t, gang.PartEnded(20, 0, EndedEarly), "report end", "stop 1", "timer")
	})
	t.Run("running with more parts than needed: continues", func(t *testing.T) {
		gang := startParts(newRequest(1, placement.Idempotent, placement.Idempotent), 0, 1)
		assert.Empty(t, gang.PartEnded(20, 0, EndedEarly))
	})
}
