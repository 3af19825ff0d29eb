// Package frontend holds the parts that are common to all frontends of the allocator, independent of their protocol:
// the engine's host (deferred calls, timers, wake-ups), health checks, ids of workloads and groups, the count of
// unanswered requests, backoff with jitter, ordered iteration and counters.
//
// A frontend embeds or holds one Host, implements allocator.Actions, and handles every event through the Host:
//
//	func (f *Frontend) Start(now placement.Millis, n transport.Network) {
//		f.host.Attach(now, n)
//		f.host.Handle(now, func() { f.host.Engine().Start(now) })
//	}
//
//	func (f *Frontend) Received(now placement.Millis, c transport.ConnID, m any) {
//		f.host.Handle(now, func() {
//			// ... decode, look up, call f.host.Engine() ...
//		})
//	}
//
//	func (f *Frontend) Wake(now placement.Millis) { f.host.Wake(now) }
//
// Times are milliseconds on a monotonic clock. The package reads no clock and no global random source. All of its types
// are confined to the goroutine that handles the frontend's events.
package frontend

import (
	"cmp"
	"maps"
	"slices"
)

// SortedValues returns the values of table, sorted by key. The result is a copy, so the table may change while the
// caller iterates. Every loop over a map must use it if the order can affect messages, timers or the engine.
func SortedValues[K cmp.Ordered, V any](table map[K]V) []V {
	values := make([]V, 0, len(table))
	for _, key := range slices.Sorted(maps.Keys(table)) {
		values = append(values, table[key])
	}
	return values
}
