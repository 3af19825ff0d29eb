package trace

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"grebeglade/trace/tracepb"
)

const (
	// maxClockDifference is how far apart, in milliseconds, two allocators may receive the same revision of the endpoint
	// list before their clocks are said to differ: pushes and polls alone take some hundred.
	maxClockDifference = 1000
	millisPerSecond    = 1000
)

// clockDifferences compares when sources received the same revisions of the endpoint list, and when incarnations of one
// allocator started.
func clockDifferences(h *tracepb.Header, received map[uint32]map[listRevision]float64) []string {
	return append(differencesBetweenSources(h, received), clocksSetBack(h)...)
}

// differencesBetweenSources compares each source with the first one.
func differencesBetweenSources(h *tracepb.Header, received map[uint32]map[listRevision]float64) []string {
	found := []string{}
	sources := slices.Sorted(maps.Keys(received))
	for _, s := range sources[min(1, len(sources)):] {
		reference := sources[0]
		differences := timeDifferences(received[s], received[reference])
		if len(differences) == 0 {
			continue
		}
		median := differences[len(differences)/2]
		if math.Abs(median) <= maxClockDifference {
			continue
		}
		direction := "earlier"
		if median > 0 {
			direction = "later"
		}
		found = append(found, fmt.Sprintf("%s hears the same news of the list %.1f s %s than %s (median of %d)",
			KeyOf(h.Sources[s]), math.Abs(median)/millisPerSecond, direction, KeyOf(h.Sources[reference]), len(differences)))
	}
	return found
}

// timeDifferences returns how much later x received the revisions that both received, sorted.
func timeDifferences(x, y map[listRevision]float64) []float64 {
	var differences []float64
	for revision, at := range x {
		if other, both := y[revision]; both {
			differences = append(differences, at-other)
		}
	}
	slices.Sort(differences)
	return differences
}

// clocksSetBack finds later incarnations whose clock was behind that of an earlier one at its start.
func clocksSetBack(h *tracepb.Header) []string {
	var found []string
	if h.Anonymised {
		return nil // pseudonyms of incarnations have no order
	}
	for _, a := range h.Sources {
		for _, b := range h.Sources {
			if a.Allocator == b.Allocator && a.Incarnation < b.Incarnation && a.WallMs > b.WallMs {
				found = append(found, fmt.Sprintf("the clock of %s stepped back by %.1f s or more between two starts", a.Allocator,
					(a.WallMs-b.WallMs)/millisPerSecond))
			}
		}
	}
	return found
}
