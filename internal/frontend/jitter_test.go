package frontend

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestJitter_Factors_WithinQuarterAndReproducibleBySeed(t *testing.T) {
	draw := func(seed uint64) []placement.Millis {
		source := newJitter(seed)
		draws := make([]placement.Millis, 2000)
		for i := range draws {
			draws[i] = source.apply(1000)
		}
		return draws
	}
	draws := draw(3)
	assert.Equal(t, draws, draw(3))
	assert.NotEqual(t, draws, draw(4))
	least := slices.Min(draws)
	most := slices.Max(draws)
	assert.GreaterOrEqual(t, least, placement.Millis(750))
	assert.Less(t, most, placement.Millis(1250))
	assert.Less(t, least, placement.Millis(760), "the whole range is used")
	assert.Greater(t, most, placement.Millis(1240))
}

// Guards against changed factors: stored runs in virtual time can only be repeated with the same ones.
func TestJitter_Draws_MatchStoredRuns(t *testing.T) {
	source := newJitter(7)
	host := &Host{jitter: newJitter(7)}
	var draws, delays []placement.Millis
	for range 3 {
		draws = append(draws, source.apply(1000))
		delays = append(delays, host.RetryDelay(Backoff{Initial: 1000, Max: 1000}, 5))
	}
	assert.Equal(t, []placement.Millis{1032.5, 988.4999999999999, 944.5}, draws)
	assert.Equal(t, draws, delays)
}
