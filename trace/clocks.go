package trace

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"grebeglade/trace/tracepb"
)

const (
	// maxClockDifference is how far apart, in milliseconds, two allocators may receive the same revision of the node
	// list before their clocks are said to differ: pushes and polls alone take some hundred.
	maxClockDifference = 1000
	millisPerSecond    = 1000
)

// receptionTimes are the Unix times, in milliseconds, at which each source first received each revision of the node
// list. Sources are given by their places in a header.
type receptionTimes map[uint32]map[listRevision]float64

// add records that a source has received a revision, unless it had received it before.
func (t receptionTimes) add(source uint32, revision listRevision, unixMs float64) {
	received := t[source]
	if received == nil {
		received = map[listRevision]float64{}
		t[source] = received
	}
	if received[revision] == 0 {
		received[revision] = unixMs
	}
}

// clockDifferences describes the clocks that differ: between sources, by when they received the same revisions of the
// node list, and between incarnations of one allocator, by when they started.
func clockDifferences(header *tracepb.Header, received receptionTimes) []string {
	return append(differencesBetweenSources(header, received), clocksSetBack(header)...)
}

// differencesBetweenSources compares each source with the first one.
func differencesBetweenSources(header *tracepb.Header, received receptionTimes) []string {
	found := []string{}
	sources := slices.Sorted(maps.Keys(received))
	for _, source := range sources[min(1, len(sources)):] {
		reference := sources[0]
		differences := timeDifferences(received[source], received[reference])
		if len(differences) == 0 {
			continue
		}
		median := differences[len(differences)/2]
		if math.Abs(median) <= maxClockDifference {
			continue
		}
		found = append(found, fmt.Sprintf("%s receives the same revisions of the node list %s than %s (median of %d)",
			KeyOf(header.Sources[source]),
			describeDifference(median),
			KeyOf(header.Sources[reference]),
			len(differences)))
	}
	return found
}

// describeDifference returns a difference of times in words, as in "5.0 s later".
func describeDifference(ms float64) string {
	direction := "earlier"
	if ms > 0 {
		direction = "later"
	}
	return fmt.Sprintf("%.1f s %s", math.Abs(ms)/millisPerSecond, direction)
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

// clocksSetBack describes later incarnations whose clock was behind that of an earlier one at its start.
func clocksSetBack(header *tracepb.Header) []string {
	if header.Anonymised {
		return nil // pseudonyms of incarnations have no order
	}
	var found []string
	for _, earlier := range header.Sources {
		for _, later := range header.Sources {
			if earlier.Allocator != later.Allocator || earlier.Incarnation >= later.Incarnation {
				continue
			}
			if back := earlier.WallMs - later.WallMs; back > 0 {
				found = append(found, fmt.Sprintf("the clock of %s stepped back by %.1f s or more between two starts",
					earlier.Allocator, back/millisPerSecond))
			}
		}
	}
	return found
}
