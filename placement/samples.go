package placement

import "slices"

// appendBounded appends v to samples and drops the oldest samples in excess of limit. It reuses the array of samples.
func appendBounded[T any](samples []T, v T, limit int) []T {
	if len(samples) >= limit {
		excess := len(samples) - limit + 1
		samples = append(samples[:0], samples[excess:]...)
	}
	return append(samples, v)
}

// median returns the upper median of the samples, or 0 if there are none.
func median[T ~float64](samples []T) T {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[len(sorted)/2]
}
