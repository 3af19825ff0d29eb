package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// stop ends a running workload at its node, which confirms the end. Without a confirmation the workload counts as
// ended after endGrace.
func (b *binder) stop(w *workload) {
	b.conns.release(w)
	b.host.Schedule(b.host.Now()+endGrace, func(now placement.Millis) {
		if b.workloads.holds(w) {
			b.reportEnd(now, w, placement.Result{Kind: placement.Ended, Final: true})
		}
	})
}

// adopt takes over a workload that runs on a node, which is dialed so that it can report the end.
func (b *binder) adopt(now placement.Millis, w *workload, task placement.Workload, name string) {
	n := b.nodes.intern(name)
	w.adopt(now, n)
	b.host.Engine().Adopt(now, task, n.id)
	b.conns.connect(now, n)
}

// processEnded handles the end of a node's process, and so of all workloads that ran there.
func (b *binder) processEnded(now placement.Millis, n *node) {
	justAfter := now + 1 // so that workloads that began to run at this very time count as ended too
	b.processRestarted(now, n, justAfter)
}

// processRestarted handles the start of a node's process at the given time: workloads that ran there before have ended.
// A node that is no longer listed and has no workloads any more is removed.
func (b *binder) processRestarted(now placement.Millis, n *node, startedAt placement.Millis) {
	for _, w := range frontend.SortedValues(n.workloads) {
		if w.running() && w.bind.runningSince < startedAt {
			b.counters.Lost++
			w.bind.endCause = codec.CauseReset
			b.reportEnd(now, w, placement.Result{Kind: placement.Ended, Final: true})
		}
	}
	b.conns.removeNode(now, n)
}
