package platform

import "grebeglade/internal/transport"

// evictable is a connection that a table may close at its limit.
type evictable[C any] interface {
	// evictedBefore defines the eviction order of a table's connections.
	evictedBefore(other C) bool
}

// firstEvicted returns the first connection in eviction order among those that may be evicted. It returns false if
// there is none.
func firstEvicted[C evictable[C]](conns map[transport.ConnID]C, may func(C) bool) (first C, found bool) {
	for _, c := range conns {
		if may(c) && (!found || c.evictedBefore(first)) {
			first = c
			found = true
		}
	}
	return first, found
}
