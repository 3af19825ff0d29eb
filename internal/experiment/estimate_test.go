package experiment

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	sampleCount = 4000 // samples from which a probability is estimated
	sampleSize  = 8    // values of a sample
)

// normalSample draws values with a standard deviation of 1.
func normalSample(rng *rand.Rand, mean float64) []float64 {
	values := make([]float64, sampleSize)
	for i := range values {
		values[i] = mean + rng.NormFloat64()
	}
	return values
}

// Guards against intervals of the wrong width: of the intervals of many samples, 95% must contain the true mean, and a
// true mean of the smallest detectable size must be significant in 80% of the samples.
func TestEstimate_ConfidenceAndPower(t *testing.T) {
	const (
		trueMean           = 5.0
		smallestDetectable = 1.15 // for 8 values with standard deviation 1
	)
	rng := rand.New(rand.NewPCG(1, 1))
	contained := 0
	detected := 0
	for range sampleCount {
		interval := newEstimate(normalSample(rng, trueMean))
		if interval.Low <= trueMean && trueMean <= interval.High {
			contained++
		}
		shifted := newEstimate(normalSample(rng, smallestDetectable))
		if shifted.P < 0.05 {
			detected++
		}
	}
	assert.InDelta(t, 0.95, float64(contained)/sampleCount, 0.015)
	assert.InDelta(t, 0.8, float64(detected)/sampleCount, 0.05)
	deviationOfOne := newEstimate([]float64{-1, 1, -1, 1, -1, 1, -1, 1})
	assert.InDelta(t, smallestDetectable, deviationOfOne.SmallestDetectable, 0.15)
}

func TestEstimate_FewValues_NoInterval(t *testing.T) {
	assert.True(t, math.IsNaN(newEstimate(nil).Mean))
	oneValue := newEstimate([]float64{3})
	assert.True(t, math.IsInf(oneValue.Low, -1) && math.IsInf(oneValue.High, 1))
	assert.InDelta(t, 1, oneValue.P, 0)
	equalValues := newEstimate([]float64{2, 2, 2})
	assert.InDelta(t, 2, equalValues.Low, 0)
	assert.True(t, equalValues.Alike)
}
