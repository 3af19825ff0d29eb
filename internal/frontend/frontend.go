// Package frontend holds what every frontend of the allocator needs once, whatever protocol it speaks: the engine's
// host (deferred completions, timers, wake-ups), health checks, ids of workloads and groups, the requests that wait for
// their answers, backoff with jitter, ordered iteration and counters.
//
// A frontend embeds or holds one Host, implements allocator.Actions, and passes the handling of every event to the
// Host:
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
// Times are milliseconds on a clock that never steps back. Nothing here reads a clock or a global random source, and
// everything belongs to the one goroutine that handles the frontend's events.
package frontend

import (
	"cmp"
	"maps"
	"slices"
)

// SortedValues returns the values of table in the order of its keys. It is a copy: the table may change while the
// caller goes through it. Every loop over a map whose order can reach the wire, a timer or the engine must use it.
func SortedValues[K cmp.Ordered, V any](table map[K]V) []V {
	values := make([]V, 0, len(table))
	for _, key := range slices.Sorted(maps.Keys(table)) {
		values = append(values, table[key])
	}
	return values
}
