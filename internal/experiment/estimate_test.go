package experiment

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// An interval must hold the true mean as often as its confidence says, and the smallest difference must be seen as often as
// the power says.
func TestEstimate_ConfidenceAndPower(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const times = 4000
	held, seen := 0, 0
	for range times {
		values := make([]float64, 8)
		for i := range values {
			values[i] = 5 + rng.NormFloat64()
		}
		if e := estimate(values); e.Low <= 5 && 5 <= e.High {
			held++
		}
		// The smallest difference that is seen for a deviation of 1 and 8 values.
		shift := 1.15
		for i := range values {
			values[i] = shift + rng.NormFloat64()
		}
		if e := estimate(values); e.P < 0.05 {
			seen++
		}
	}
	assert.InDelta(t, 0.95, float64(held)/times, 0.015)
	assert.InDelta(t, 0.8, float64(seen)/times, 0.05)
	e := estimate([]float64{-1, 1, -1, 1, -1, 1, -1, 1})
	assert.InDelta(t, 1.15, e.SmallestDetectable, 0.15)
}

func TestEstimate_FewValues_NoInterval(t *testing.T) {
	assert.True(t, math.IsNaN(estimate(nil).Mean))
	one := estimate([]float64{3})
	assert.True(t, math.IsInf(one.Low, -1) && math.IsInf(one.High, 1))
	assert.InDelta(t, 1, one.P, 0)
	alike := estimate([]float64{2, 2, 2})
	assert.InDelta(t, 2, alike.Low, 0)
	assert.True(t, alike.Alike)
}
