package benchmark

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	shortLength = 100 * time.Millisecond // long enough for replies on a busy machine
	mib         = 1 << 20
)

var smallFleet = Fleet{Nodes: 4, Residents: 2}

func TestMeasureRates_SmallFleet_FillsAllRates(t *testing.T) {
	r, err := MeasureRates(smallFleet, shortLength, true)
	require.NoError(t, err)
	assert.Equal(t, 4, r.Nodes)
	assert.Equal(t, 2, r.Residents)
	for name, v := range map[string]float64{
		"module": r.Module, "engine": r.Engine, "engine ratio": r.EngineRatio, "sockets": r.Sockets,
		"sockets ratio": r.SocketsRatio, "median": r.OfferMedianMs, "99th percentile": r.Offer99Ms,
	} {
		assert.Positive(t, v, name)
	}
	assert.GreaterOrEqual(t, r.Offer99Ms, r.OfferMedianMs)
}

func TestMeasureRates_WithoutSockets_SocketRatesZero(t *testing.T) {
	r, err := MeasureRates(smallFleet, time.Millisecond, false)
	require.NoError(t, err)
	assert.Positive(t, r.EngineRatio)
	assert.Zero(t, r.Sockets)
	assert.Zero(t, r.OfferMedianMs)
}

func TestMeasureMemory_CountsEveryResident(t *testing.T) {
	for _, residents := range []int{1, 999, 2500} {
		m, err := MeasureMemory(residents)
		require.NoError(t, err)
		assert.Equal(t, residents, m.Residents)
	}
}

func TestMeasureTrace_Scenario_FillsCosts(t *testing.T) {
	c, err := MeasureTrace("quiet", smallFleet, shortLength, mib)
	require.NoError(t, err)
	assert.Equal(t, "quiet", c.Script)
	assert.Greater(t, c.Records, c.Decisions)
	assert.Greater(t, c.JSONRatio, c.PlainRatio)
	assert.Greater(t, c.PlainRatio, 1.0, "trace files must be compressed")
	assert.InDelta(t, mib, c.FileBytes, mib/2)
	assert.Positive(t, c.LookedUp)
	assert.Positive(t, c.RecordingRatio)
	assert.Zero(t, c.Lost)
}

func TestMeasureTrace_UnknownScenario_ReturnsError(t *testing.T) {
	_, err := MeasureTrace("no-such-scenario", smallFleet, shortLength, 0)
	assert.ErrorContains(t, err, "no-such-scenario")
}

func TestMeasureState_EverySync_FillsCost(t *testing.T) {
	dir := t.TempDir()
	for _, sync := range []string{noState, "none", "group", "each"} {
		t.Run(sync, func(t *testing.T) {
			cost, err := measureState(dir, sync, smallFleet, shortLength, 0)
			require.NoError(t, err)
			assert.Equal(t, sync, cost.Sync)
			assert.Positive(t, cost.Placed)
			assert.InDelta(t, 1, cost.Ratio, 0, "without a baseline, the rate is its own baseline")
			assert.Positive(t, cost.P99)
		})
	}
}

func TestMeasureRecovery_History_RecoversLiveKeysOnly(t *testing.T) {
	r, err := measureRecovery(t.TempDir(), 100)
	require.NoError(t, err)
	assert.Equal(t, 100, r.Keys)
	assert.Positive(t, r.Ms)
	assert.Positive(t, r.MiB)
}
