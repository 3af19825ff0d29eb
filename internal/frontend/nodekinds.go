package frontend

import "grebeglade/placement"

// FitsSomeKind reports whether at least one node kind has the requested cores and memory. A request that fits no kind
// can never be placed.
func FitsSomeKind(kinds []placement.NodeKind, cores, memory float64) bool {
	for _, kind := range kinds {
		if cores <= kind.Cores && memory <= kind.Memory {
			return true
		}
	}
	return false
}
