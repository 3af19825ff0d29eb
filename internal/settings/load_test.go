package settings

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestSetLoadField_SetsOnlyNamedField(t *testing.T) {
	for name, value := range map[string]func(*placement.LoadReport) float64{
		"x0":          func(l *placement.LoadReport) float64 { return l.SpareCores },
		"x1":          func(l *placement.LoadReport) float64 { return l.SpareMemory },
		"backlog":     func(l *placement.LoadReport) float64 { return l.Backlog },
		"queue":       func(l *placement.LoadReport) float64 { return l.Backlog },
		"utilization": func(l *placement.LoadReport) float64 { return l.Utilization },
		"util":        func(l *placement.LoadReport) float64 { return l.Utilization },
	} {
		t.Run(name, func(t *testing.T) {
			report := UnknownLoad()
			SetLoadField(report, name, 0.5)
			assert.InDelta(t, 0.5, value(report), 0)
			reported := 0
			for _, v := range []float64{report.SpareCores, report.SpareMemory, report.Backlog, report.Utilization} {
				if !math.IsNaN(v) {
					reported++
				}
			}
			assert.Equal(t, 1, reported)
		})
	}
}

func TestSetLoadField_UnusedName_Ignored(t *testing.T) {
	report := UnknownLoad()
	SetLoadField(report, "x9", 1)
	assert.True(t, math.IsNaN(report.SpareCores) && math.IsNaN(report.SpareMemory))
	assert.True(t, math.IsNaN(report.Backlog) && math.IsNaN(report.Utilization))
}
