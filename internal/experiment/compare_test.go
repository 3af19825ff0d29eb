package experiment

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCompare_Cells_InPairsOfSeeds(t *testing.T) {
	dir := t.TempDir()
	p := decodePlan(t, strings.Replace(smallPlan, "repeats = 3", "repeats = 8", 1))
	doPlan(t, p, dir)
	a, err := OpenSide(dir + ":more/none")
	require.NoError(t, err)
	b, err := OpenSide(dir + ":more/crash")
	require.NoError(t, err)
	all, err := Compare(a, b)
	require.NoError(t, err)
	found := map[string]Difference{}
	for _, d := range all {
		found[d.Measure] = d
	}
	assert.Equal(t, 8, found["core_time"].Delta.N)
	worse := found["core_time"]
	assert.Equal(t, "worse", worse.Verdict)
	assert.True(t, worse.IsWorse())
	assert.Less(t, found["core_time"].Delta.High, 0.0)
	self, err := Compare(a, a)
	require.NoError(t, err)
	for _, d := range self {
		assert.Equal(t, "the same in every pair", d.Verdict, d.Measure)
		assert.True(t, d.IsEqual(), d.Measure)
	}
	_, err = OpenSide(dir + ":more/flood")
	require.ErrorContains(t, err, "known are few/none, few/crash, more/none, more/crash")
	_, err = OpenSide(t.TempDir())
	require.ErrorContains(t, err, "holds no experiment")
	all2, err := OpenSide(dir)
	require.NoError(t, err)
	_, err = Compare(a, all2)
	require.ErrorIs(t, err, ErrOneCell)
	require.ErrorContains(t, err, "name a cell on both")
}
