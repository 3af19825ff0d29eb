package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against false findings: at the 5% level, one of twenty comparisons without a true difference is significant by
// chance, and must not be reported as a difference.
func TestSetVerdicts_ManyComparisons_Corrected(t *testing.T) {
	differences := make([]Difference, 20)
	for i := range differences {
		differences[i] = Difference{
			Measure: "rejected",
			Delta: Estimate{
				Mean:               1,
				P:                  0.5,
				N:                  9,
				SmallestDetectable: 2,
			},
		}
	}
	largest := &differences[3]
	largest.Delta.P = 0.04
	setVerdicts(differences)
	assert.False(t, largest.Significant)
	assert.Contains(t, largest.Verdict, "perhaps")
	assert.Contains(t, differences[0].Verdict, "one under 2.00 would not have been")

	largest.Delta.P = 1e-4
	setVerdicts(differences)
	assert.Equal(t, "worse", largest.Verdict)
}
