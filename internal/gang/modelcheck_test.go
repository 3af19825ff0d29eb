package gang

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

// maxModels guards against a search that does not come to an end.
const maxModels = 400000

// requireWhole requires of a final model that each gang was answered once, and runs whole or not at all. It returns how
// many gangs run.
func (m model) requireWhole(t *testing.T, key string) int {
	t.Helper()
	runningGangs := 0
	for _, caller := range m.gangs {
		require.Equal(t, 1, caller.answers, "one answer: %s", key)
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

// visits counts the models that visitAll came to.
type visits struct {
	models       int
	final        int // of them, those that no event can happen in
	runningGangs int // in the final ones
}

// visitAll visits every model that the first one can lead to, and requires that each keeps the rules.
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
			counts.runningGangs += current.requireWhole(t, key)
		}
	}
	counts.models = len(seen)
	return counts
}

// Every order of everything that can happen to two gangs of two parts on two nodes, with one fault.
func TestGang_EveryOrderOfEvents_RunsWholeOrNotAtAll(t *testing.T) {
	for _, idempotency := range []placement.Idempotency{placement.Idempotent, placement.AtMostOnce} {
		t.Run(idempotencyNames[idempotency], func(t *testing.T) {
			counts := visitAll(t, newModel(idempotency))
			assert.NotZero(t, counts.runningGangs)
			t.Logf("%d models, %d of them final, %d gangs run", counts.models, counts.final, counts.runningGangs)
			assert.Greater(t, counts.models, 1000)
		})
	}
}
