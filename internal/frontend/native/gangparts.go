package native

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangParts passes the events of parts to their gangs' state machines. The engine may be busy while its methods run, so
// they defer each event.
type gangParts struct {
	*environment
	workloads *workloadTable
	catalog   *catalog
	sender    *nodeSender
	executor  *gangExecutor
}

// deferEvent passes an event of a part to the gang's state machine once the engine is idle.
func (p *gangParts) deferEvent(w *workload, event func(now placement.Millis) []gang.Action) {
	p.executor.deferEvent(w.gang, w.id, w.part, event)
}

// answered handles the engine's final answer for a part. A node may accept a part before the part runs, unless
// Settings.ConfirmsRunning is set.
func (p *gangParts) answered(w *workload, v allocator.Verdict) {
	p.recorder.answer(p.host.Now(), w, v, w.lastNode(), reasonPartOfGang)
	switch v {
	case allocator.Placed:
		if p.config.Settings.ConfirmsRunning {
			p.reportRunning(w)
		}
	case allocator.Rejected:
		p.deferEvent(w, func(now placement.Millis) []gang.Action {
			return w.gang.machine.PartFailed(now, w.part, gang.NeverRan)
		})
	case allocator.Unschedulable:
		p.outcomeUnknown(w)
	}
}

// outcomeUnknown handles a part that may run on the node of its last bind, whose reply was not received. The gang is
// rolled back, so the part must not run on: its bind is stopped, unless the engine has stopped it. An at-most-once
// workload is stopped in any case, since the engine's stop after a timeout only drops an offer that the node has not
// accepted.
func (p *gangParts) outcomeUnknown(w *workload) {
	node := w.lastNode()
	bind := p.workloads.bindID(w)
	stopped := w.bindState == bindStopRequested && p.catalog.idempotency(w.request.Group) != placement.AtMostOnce
	p.deferEvent(w, func(now placement.Millis) []gang.Action {
		if !stopped {
			p.sender.stop(node, bind)
		}
		return w.gang.machine.PartFailed(now, w.part, gang.MayRun)
	})
}

// reportRunning notifies a workload's gang that the workload runs. It does nothing if the workload is not part of a
// gang.
func (p *gangParts) reportRunning(w *workload) {
	if w.gang != nil {
		p.deferEvent(w, func(placement.Millis) []gang.Action { return w.gang.machine.PartStarted(w.part) })
	}
}

// ended reports that a part has ended, or will never run.
func (p *gangParts) ended(w *workload, end gang.PartEnd) {
	p.deferEvent(w, func(now placement.Millis) []gang.Action { return w.gang.machine.PartEnded(now, w.part, end) })
}

// resendConfirmation notifies a node again that a part's gang runs, if the node reports the part as unconfirmed: the
// first notification may have been lost with the last connection.
func (p *gangParts) resendConfirmation(n *node, w *workload, running *pb.RunningWorkload) {
	if w.gang != nil && !running.Confirmed && w.gang.isRunning() {
		p.sender.confirmGang(n.id, running.Offer.Bind)
	}
}
