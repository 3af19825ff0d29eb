package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func openSide(t *testing.T, name string) *Side {
	t.Helper()
	side, err := OpenSide(name)
	require.NoError(t, err)
	return side
}

func compareSides(t *testing.T, a, b *Side) []Difference {
	t.Helper()
	differences, err := Compare(a, b)
	require.NoError(t, err)
	return differences
}

func TestCompare_Cells(t *testing.T) {
	dir := t.TempDir()
	runPlan(t, eightSeedsPlan(t), dir)
	withoutFault := openSide(t, dir+":more/none")

	t.Run("cell with crashes, worse over pairs of seeds", func(t *testing.T) {
		found := map[string]Difference{}
		for _, d := range compareSides(t, withoutFault, openSide(t, dir+":more/crash")) {
			found[d.Measure] = d
		}
		coreTime := found["core_time"]
		assert.Equal(t, 8, coreTime.Delta.N)
		assert.Equal(t, "worse", coreTime.Verdict)
		assert.True(t, coreTime.IsWorse())
		assert.Less(t, coreTime.Delta.High, 0.0)
	})
	t.Run("same cell on both sides, equal", func(t *testing.T) {
		for _, d := range compareSides(t, withoutFault, withoutFault) {
			assert.Equal(t, "the same in every pair", d.Verdict, d.Measure)
			assert.True(t, d.IsEqual(), d.Measure)
		}
	})
	t.Run("whole experiment on one side, error", func(t *testing.T) {
		_, err := Compare(withoutFault, openSide(t, dir))
		require.ErrorIs(t, err, ErrOneCell)
		require.ErrorContains(t, err, "name a cell on both")
	})
	t.Run("unknown cell, error with the names of all cells", func(t *testing.T) {
		_, err := OpenSide(dir + ":more/flood")
		require.ErrorContains(t, err, "known are few/none, few/crash, more/none, more/crash")
		var unknown UnknownCellError
		require.ErrorAs(t, err, &unknown)
	})
	t.Run("directory without experiment, error", func(t *testing.T) {
		_, err := OpenSide(t.TempDir())
		require.ErrorContains(t, err, "holds no experiment")
		var none NoExperimentError
		require.ErrorAs(t, err, &none)
	})
}
