package frontend

import "grebeglade/placement"

// FitsSomeKind reports whether a request for that many cores and that much memory is within the size of any of the
// kinds of nodes. Any other request can never be placed.
func FitsSomeKind(kinds []placement.NodeKind, cores, memory float64) bool {
	for _, kind := range kinds {
		if cores <= kind.Cores && memory <= kind.Memory {
			return true
		}
	}
	return false
}
