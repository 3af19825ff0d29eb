package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Of twenty comparisons of equal things, one is significant on its own by chance.
func TestJudge_ManyComparisons_Corrected(t *testing.T) {
	all := make([]Difference, 20)
	for i := range all {
		all[i] = Difference{Measure: "rejected", Delta: Estimate{Mean: 1, P: 0.5, N: 9, SmallestDetectable: 2}}
	}
	all[3].Delta.P = 0.04
	judge(all)
	assert.False(t, all[3].Significant)
	assert.Contains(t, all[3].Verdict, "perhaps")
	assert.Contains(t, all[0].Verdict, "one under 2.00 would not have been")
	all[3].Delta.P = 1e-4
	judge(all)
	assert.Equal(t, "worse", all[3].Verdict)
}
