package gang

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

// maxModels is the limit on visited models; it stops a search that does not terminate.
const maxModels = 400000

// requireAllOrNothing requires that in a final model each gang was answered once and has all parts or none. It returns
// the number of running gangs.
func (m model) requireAllOrNothing(t *testing.T, key string) int {
	t.Helper()
	runningGangs := 0
	for _, caller := range m.gangs {
		require.Equal(t, 1, caller.answers, "number of final answers: %s", key)
		parts := 0
		for _, part := range caller.parts {
			if part.phase != absent {
				parts++
			}
		}
		if caller.gang.State() == Running {
			runningGangs++
			require.Equal(t, partsPerGang, parts, key)
			continue
		}
		require.Equal(t, Ended, caller.gang.State(), key)
		require.Zero(t, parts, key)
	}
	return runningGangs
}

// visits holds the counts of one search by visitAll.
type visits struct {
	models       int
	final        int // number of models without a possible event
	runningGangs int // number of running gangs in the final models
}

// visitAll visits every model reachable from the first one and requires that none has a violation and that the final
// ones satisfy requireAllOrNothing.
func visitAll(t *testing.T, first model) visits {
	t.Helper()
	var counts visits
	seen := map[string]bool{}
	open := []model{first}
	for len(open) > 0 {
		current := open[len(open)-1]
		open = open[:len(open)-1]
		key := current.key()
		if seen[key] {
			continue
		}
		seen[key] = true
		require.Empty(t, current.violation, key)
		require.Less(t, len(seen), maxModels)
		successors := current.successors()
		open = append(open, successors...)
		if len(successors) == 0 {
			counts.final++
			counts.runningGangs += current.requireAllOrNothing(t, key)
		}
	}
	counts.models = len(seen)
	return counts
}

// Guards against an order of events that leaves a gang partly running or answers its client twice or never. Visits all
// orders of events of two gangs with two parts each on two nodes, with at most one fault.
func TestGang_AllEventOrders_AllOrNothing(t *testing.T) {
	for _, idempotency := range []placement.Idempotency{placement.Idempotent, placement.AtMostOnce} {
		t.Run(idempotencyNames[idempotency], func(t *testing.T) {
			counts := visitAll(t, newModel(idempotency))
			assert.NotZero(t, counts.runningGangs)
			t.Logf("%d models, %d of them final, %d gangs run", counts.models, counts.final, counts.runningGangs)
			assert.Greater(t, counts.models, 1000)
		})
	}
}
