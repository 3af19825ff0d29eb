package placement

import "slices"

// appendBounded appends v to s and drops the oldest values beyond limit.
func appendBounded[T any](s []T, v T, limit int) []T {
	if len(s) >= limit {
		s = append(s[:0], s[len(s)-limit+1:]...)
	}
	return append(s, v)
}

func median[T ~float64](s []T) T {
	if len(s) == 0 {
		return 0
	}
	s = slices.Sorted(slices.Values(s))
	return s[len(s)/2]
}
