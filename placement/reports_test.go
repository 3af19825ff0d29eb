package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReportHistory_FrequentReportsCoverTheMigrationWindow(t *testing.T) {
	scheduler := newFleet(t, 1)
	for at := Millis(0); at <= 2*migrationWindow; at += 50 {
		reportUsed(scheduler, at, 1, 9)
	}
	reports := scheduler.node(1).reports
	assert.LessOrEqual(t, reports[0].at, migrationWindow)
	assert.InDelta(t, float64(2*migrationWindow), float64(reports.lastAt()), 0)
}
