package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRejections_LackOfCapacityBlocksUntilThePauseEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		now   Millis
		cores float64
		want  bool
	}{
		{"as many cores: blocked", 1, 2, true},
		{"fewer cores: not blocked", 1, 1, false},
		{"as many cores after the pause: not blocked", capacityRejectionPause + 1, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 1)
			log := rejectionLog{{
				at:     0,
				size:   resources{2, 2},
				reason: InsufficientCores,
			}}
			assert.Equal(t, c.want, log.blocks(c.now, pendingWorkload(scheduler, idempotent, c.cores, 1)))
		})
	}
}

func TestRejections_UnspecifiedReasonBlocksOnlyTheGroup(t *testing.T) {
	for _, c := range []struct {
		name  string
		now   Millis
		group GroupID
		want  bool
	}{
		{"rejected group: blocked", groupRejectionPause - 1, atMostOnce, true},
		{"other group: not blocked", 1, idempotent, false},
		{"rejected group after the pause: not blocked", groupRejectionPause, atMostOnce, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 1)
			log := rejectionLog{{
				at:     0,
				group:  &scheduler.groups[atMostOnce],
				reason: ReasonUnspecified,
			}}
			assert.Equal(t, c.want, log.blocks(c.now, pendingWorkload(scheduler, c.group, 1, 1)))
		})
	}
}
