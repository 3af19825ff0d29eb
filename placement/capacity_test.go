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

// Guards against workloads that a client hands over and that do not exist: they took the capacity of the node from
// those that are requested.
func TestAvailable_AdoptedWorkloads_CountAsFarAsTheListShowsRequests(t *testing.T) {
	const adoptedCores = 30 // more than the node has
	for _, c := range []struct {
		name      string
		freeCores float64
		reported  bool
		want      float64
	}{
		{name: "list shows no requests: not counted", freeCores: nodeCores, want: nodeCores},
		{name: "list shows fewer requests: counted up to them", freeCores: 6, want: 6},
		{name: "node has reported on it: counted", freeCores: nodeCores, reported: true, want: nodeCores - adoptedCores},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 1)
			scheduler.Adopt(0, Workload{ID: 1, Cores: adoptedCores, Memory: 1}, 1)
			scheduler.node(1).FreeCores = c.freeCores
			if c.reported {
				scheduler.ReportUsage(0, 1, CoresUsed, 1)
			}
			assert.InDelta(t, c.want, scheduler.capacity.available(0, scheduler.node(1)).Cores, 1e-9)
		})
	}
}

// The list may not include a bind of this allocator yet. Adopted workloads do not make up for that.
func TestAvailable_BindAndAdoptedWorkload_BindAlwaysCounts(t *testing.T) {
	scheduler := newFleet(t, 1)
	n := scheduler.node(1)
	scheduler.Adopt(0, Workload{ID: 1, Cores: 4, Memory: 1}, 1)
	n.addBind(0, &workload{Workload: Workload{ID: 2, Cores: 5, Memory: 1}})
	n.FreeCores = nodeCores - 4 // the adopted workload only
	assert.InDelta(t, nodeCores-5.0, scheduler.capacity.available(discoverySettleTime+1, n).Cores, 1e-9)
	n.FreeCores = nodeCores - 9
	assert.InDelta(t, nodeCores-9.0, scheduler.capacity.available(discoverySettleTime+1, n).Cores, 1e-9)
}
