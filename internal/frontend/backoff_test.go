package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestBackoff_DelayDoublesUpToMax(t *testing.T) {
	b := Backoff{Initial: 50, Max: 500}
	var delays []placement.Millis
	for failures := range 6 {
		delays = append(delays, b.Delay(failures))
	}
	delays = append(delays, b.Delay(1<<30)) // no overflow
	assert.Equal(t, []placement.Millis{50, 100, 200, 400, 500, 500, 500}, delays)
}
