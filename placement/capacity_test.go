package placement

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLoad_CountsReportedUseAndTheRequest(t *testing.T) {
	s := newFleet(t, 1)
	reportUsed(s, 0, 1, 4)
	assert.InDelta(t, 0.5, float64(s.load.loadWith(0, pendingWorkload(s, 0, 1, 1), s.node(1))), 1e-9)
}

func TestLoad_NodeWithoutReportTakesTheMeanOfTheFleet(t *testing.T) {
	s := newFleet(t, 3)
	reportUsed(s, 0, 1, 2)
	reportUsed(s, 0, 2, 4)
	assert.InDelta(t, 0.3+0.1, float64(s.load.loadWith(0, pendingWorkload(s, 0, 1, 1), s.node(3))), 1e-9)
}

func TestAvailable_SubtractsRequestsSinceTheEntry(t *testing.T) {
	s := newFleet(t, 1)
	s.node(1).changes.add(0, resources{6, 6})
	assert.Equal(t, resources{4, 14}, s.capacity.available(0, s.node(1)))
	assert.Equal(t, resources{10, 20}, s.capacity.available(discoverySettling+1, s.node(1)), "the list shows it by then")
}

func TestReports_DenseOnesSpanTheMigrationWindow(t *testing.T) {
	s := newFleet(t, 1)
	for at := Millis(0); at <= 2*migrationWindow; at += 50 {
		reportUsed(s, at, 1, 9)
	}
	assert.LessOrEqual(t, s.node(1).reports[0].at, migrationWindow)
	assert.InDelta(t, float64(2*migrationWindow), float64(s.node(1).reports.lastAt()), 0)
}

func TestUsedCores_ByWhatReportsCount(t *testing.T) {
	s := newFleet(t, 1)
	s.settings.ReportsUsage = false
	s.ReportLoad(0, 1, LoadReport{SpareCores: 5, SpareMemory: 9, Utilization: 0.4})
	used, _ := s.load.usedCores(0, s.node(1))
	assert.InDelta(t, 4, used, 1e-9, "cores in use")
	s.ReportLoad(0, 1, LoadReport{SpareCores: 5, SpareMemory: 9, Utilization: math.NaN()})
	used, _ = s.load.usedCores(0, s.node(1))
	assert.InDelta(t, 5*defaultUsageRatio, used, 1e-9, "requested cores, by the share of them that is used")
}
