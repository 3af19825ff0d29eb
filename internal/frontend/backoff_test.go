package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestBackoff_Delay_DoublesUpToMax(t *testing.T) {
	backoff := Backoff{Initial: 50, Max: 500}
	var delays []placement.Millis
	for failures := range 6 {
		delays = append(delays, backoff.Delay(failures))
	}
	delays = append(delays, backoff.Delay(1<<30)) // no overflow
	assert.Equal(t, []placement.Millis{50, 100, 200, 400, 500, 500, 500}, delays)
}
