package placement

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLoadWith_NodesWithAndWithoutReport(t *testing.T) {
	const request = 0.1 // one core of ten
	for _, c := range []struct {
		name  string
		nodes int
		used  map[NodeID]float64 // cores in use by node, as reported
		node  NodeID
		want  float64
	}{
		{"with report: cores in use plus the request", 1, map[NodeID]float64{1: 4}, 1, 0.4 + request},
		{"without report: mean of the fleet plus the request", 3, map[NodeID]float64{1: 2, 2: 4}, 3, 0.3 + request},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, c.nodes)
			for id, used := range c.used {
				reportUsed(scheduler, 0, id, used)
			}
			pending := pendingWorkload(scheduler, idempotent, 1, 1)
			load := scheduler.load.loadWith(0, pending, scheduler.node(c.node))
			assert.InDelta(t, c.want, float64(load), 1e-9)
		})
	}
}

func TestUsedCores_FromUtilizationOrRequestedCores(t *testing.T) {
	const spareCores = 5.0
	for _, c := range []struct {
		name        string
		utilization float64
		want        float64
	}{
		{"with utilization: utilization times the size", 0.4, 4},
		{"without utilization: requested cores times the usage ratio", math.NaN(), 5 * defaultUsageRatio},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 1)
			scheduler.settings.ReportsUsage = false
			scheduler.ReportLoad(0, 1, LoadReport{
				SpareCores:  spareCores,
				SpareMemory: 9,
				Utilization: c.utilization,
			})
			used, _ := scheduler.load.usedCores(0, scheduler.node(1))
			assert.InDelta(t, c.want, used, 1e-9)
		})
	}
}
