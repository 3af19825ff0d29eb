package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAvailable_SubtractsRequestsLaterThanTheEntry(t *testing.T) {
	for _, c := range []struct {
		name string
		now  Millis
		want resources
	}{
		{"request that the entry may not include: subtracted", 0, resources{4, 14}},
		{"request that the entry includes: not subtracted", discoverySettleTime + 1, resources{10, 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 1)
			scheduler.node(1).changes.add(0, resources{6, 6})
			assert.Equal(t, c.want, scheduler.capacity.available(c.now, scheduler.node(1)))
		})
	}
}
