package frontend

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestFitsSomeKind(t *testing.T) {
	kinds := []placement.NodeKind{
		{Cores: 4, Memory: 64},
		{Cores: 16, Memory: 8},
	}
	cases := map[string]struct {
		cores  float64
		memory float64
		fits   bool
	}{
		"all of the first kind":                {4, 64, true},
		"all of the second kind":               {16, 8, true},
		"more cores than any kind":             {17, 1, false},
		"more memory than any kind":            {1, 65, false},
		"cores of one kind, memory of another": {16, 64, false},
		"cores not a number":                   {math.NaN(), 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.fits, FitsSomeKind(kinds, c.cores, c.memory))
		})
	}
	assert.False(t, FitsSomeKind(nil, 1, 1), "no kinds")
}
