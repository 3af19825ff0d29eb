package trace

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"grebeglade/trace/tracepb"
)

const (
	// maxClockDifferenceMs is the threshold, in milliseconds, above which the median difference between the times at
	// which two sources receive the same revisions of the node list is reported. Push and poll delays alone reach some
	// hundred milliseconds.
	maxClockDifferenceMs = 1000
	millisPerSecond      = 1000
)

// receptionTimes holds the Unix time, in milliseconds, at which each source first received each revision of the node
// list. The key is the source's index in the merged header.
type receptionTimes map[uint32]map[nodeListRevision]float64

// add stores the time at which a source received a revision, unless one is stored already.
func (t receptionTimes) add(source uint32, revision nodeListRevision, unixMs float64) {
	received := t[source]
	if received == nil {
		received = map[nodeListRevision]float64{}
		t[source] = received
	}
	if received[revision] == 0 {
		received[revision] = unixMs
	}
}

// clockDifferences describes clock differences: between sources, from the times at which they received the same
// revisions of the node list, and between incarnations of one allocator, from their start times.
func clockDifferences(header *tracepb.Header, received receptionTimes) []string {
	return append(sourceClockDifferences(header, received), backwardClockSteps(header)...)
}

// sourceClockDifferences compares the first source that received a node list with each of the others. It describes the
// differences whose median exceeds maxClockDifferenceMs.
func sourceClockDifferences(header *tracepb.Header, received receptionTimes) []string {
	found := []string{}
	sources := slices.Sorted(maps.Keys(received))
	for _, source := range sources[min(1, len(sources)):] {
		reference := sources[0]
		differences := receptionDelays(received[source], received[reference])
		if len(differences) == 0 {
			continue
		}
		median := differences[len(differences)/2]
		if math.Abs(median) <= maxClockDifferenceMs {
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

// describeDifference formats a time difference, as in "5.0 s later".
func describeDifference(ms float64) string {
	direction := "earlier"
	if ms > 0 {
		direction = "later"
	}
	return fmt.Sprintf("%.1f s %s", math.Abs(ms)/millisPerSecond, direction)
}

// receptionDelays returns the time in x minus the time in y for each revision in both, in milliseconds and ascending
// order.
func receptionDelays(x, y map[nodeListRevision]float64) []float64 {
	var differences []float64
	for revision, at := range x {
		if other, both := y[revision]; both {
			differences = append(differences, at-other)
		}
	}
	slices.Sort(differences)
	return differences
}

// backwardClockSteps describes incarnations that started at an earlier clock time than a previous incarnation of their
// allocator.
func backwardClockSteps(header *tracepb.Header) []string {
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
