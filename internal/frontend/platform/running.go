package platform

import (
	"context"
	"errors"
	"log/slog"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// stop ends a running workload at its node. If the node does not confirm the end within endGrace, the workload is
// considered ended.
func (b *binder) stop(w *workload) {
	b.conns.release(w)
	b.host.Schedule(b.host.Now()+endGrace, func(now placement.Millis) {
		if b.workloads.contains(w) {
			b.reportEnd(now, w, placement.Result{Kind: placement.Ended, Final: true})
		}
	})
}

// adopt passes a workload that was handed over to the engine, and dials the node so that it can report the end.
func (b *binder) adopt(now placement.Millis, w *workload, running placement.Workload, h handover) {
	w.adopt(h.at, h.node)
	b.host.Engine().Adopt(now, running, h.node.id)
	b.conns.watch(now, h.node)
	b.conns.connect(now, h.node)
}

// machineLost implements nodeEvents: it ends all workloads that ran on the node. They may still run if the machine is
// cut off, so they are released once it can be reached again.
func (b *binder) machineLost(now placement.Millis, n *node) {
	for _, w := range frontend.SortedValues(n.workloads) {
		if w.running() {
			b.conns.queueRelease(n, w.tag, w.unverified())
		}
	}
	for _, tag := range b.adoptions.handovers.on(n, justAfter(now)) {
		b.conns.queueRelease(n, tag, true)
	}
	b.conns.disconnectNode(now, n, errMachineLost)
	b.processEnded(now, n, errMachineLost)
}

// justAfter returns a time such that workloads which began to run at the time now did so before it.
func justAfter(now placement.Millis) placement.Millis { return now + 1 }

// processEnded implements nodeEvents: it ends all workloads that ran on the node.
func (b *binder) processEnded(now placement.Millis, n *node, reason error) {
	b.processRestarted(now, n, justAfter(now), reason)
}

// processRestarted handles a start of a node's process at the given time: workloads that ran on the node before have
// ended. If the node's state is Removed and it has no workloads left, it is removed from the table.
func (b *binder) processRestarted(now placement.Millis, n *node, startedAt placement.Millis, reason error) {
	ended := 0
	for _, w := range frontend.SortedValues(n.workloads) {
		if w.running() && w.bind.runningSince < startedAt {
			ended++
			b.counters.Lost++
			w.bind.endCause = codec.CauseReset
			b.reportEnd(now, w, placement.Result{Kind: placement.Ended, Final: true})
		}
	}
	ended += b.adoptions.processRestarted(n, startedAt)
	b.logEnded(n, ended, reason)
	b.conns.removeNode(now, n)
}

// logEnded logs that workloads of a node have ended without a release. Unlisted nodes are logged at a lower level,
// since clients can name any number of them.
func (b *binder) logEnded(n *node, ended int, reason error) {
	level := slog.LevelInfo
	if errors.Is(reason, errUnlisted) {
		level = slog.LevelDebug
	}
	if ended > 0 {
		b.log.Log(context.Background(), level, "workloads of a node have ended", "node", n.name, "address", n.addr,
			"workloads", ended, "reason", reason)
	}
}
