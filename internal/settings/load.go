package settings

import (
	"math"

	"grebeglade/placement"
)

// UnknownLoad returns a load report in which every value is NaN, meaning "not reported".
func UnknownLoad() *placement.LoadReport {
	unknown := math.NaN()
	return &placement.LoadReport{
		SpareCores:  unknown,
		SpareMemory: unknown,
		Backlog:     unknown,
		Utilization: unknown,
	}
}

// SetLoadField sets the field of l for the name under which nodes report it. Other names are ignored, since nodes
// may report more than placement uses.
func SetLoadField(l *placement.LoadReport, name string, v float64) {
	switch name {
	case "x0":
		l.SpareCores = v
	case "x1":
		l.SpareMemory = v
	case "backlog", "queue":
		l.Backlog = v
	case "utilization", "util":
		l.Utilization = v
	}
}
