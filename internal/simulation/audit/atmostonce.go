package audit

import (
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// atMostOnceWorkloads holds the binds of at-most-once workloads, across all requests and allocator incarnations.
type atMostOnceWorkloads struct {
	binds   map[uint64][]*bind            // binds sent, by workload key
	started map[uint64][]observer.BindKey // binds whose workload started, by workload key
}

func newAtMostOnceWorkloads() atMostOnceWorkloads {
	return atMostOnceWorkloads{
		binds:   map[uint64][]*bind{},
		started: map[uint64][]observer.BindKey{},
	}
}

// addBind adds a bind, and returns the earlier binds of other requests for the same workload that may have run.
func (w *atMostOnceWorkloads) addBind(b *bind) (conflicts []*bind) {
	key := b.request.spec.Key
	for _, earlier := range w.binds[key] {
		if !earlier.neverRan && earlier.request != b.request {
			conflicts = append(conflicts, earlier)
		}
	}
	w.binds[key] = append(w.binds[key], b)
	return conflicts
}

// addStart records that the workload of a bind has started, and reports whether it had already started by another bind.
func (w *atMostOnceWorkloads) addStart(b *bind) (again bool) {
	key := b.request.spec.Key
	earlier := w.started[key]
	if slices.Contains(earlier, b.key) {
		return false // repeated report of the same start
	}
	w.started[key] = append(earlier, b.key)
	return len(earlier) > 0
}

// checkAtMostOnce reports a bind of an at-most-once workload that may already have run for another request, or for
// another incarnation of the allocator.
func (a *Auditor) checkAtMostOnce(b *bind) {
	for _, earlier := range a.atMostOnce.addBind(b) {
		a.reportBind(ruleIdempotency, b, "a run-once workload sent for another ask that may have run",
			earlier.request.frames...)
	}
}

// checkStart reports an at-most-once workload that starts a second time.
func (a *Auditor) checkStart(now placement.Millis, node uint32, id *pb.BindID) {
	b := a.allocator(id.Allocator).openBinds[observer.KeyOf(id)]
	if b == nil || a.terms.Groups[b.request.spec.Group].Idempotency != placement.AtMostOnce {
		return
	}
	if a.atMostOnce.addStart(b) {
		a.report(ruleIdempotency, now, node, b.request, "a run-once workload started twice")
	}
}
