package allocator

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// state is where a workload is in its lifecycle:
//
//	pending ---confirm---> placed ---migrate---> migrating
//	   |                     |                       |
//	withdraw              withdraw               withdraw
//	   v                     v                       |
//	cancelled --confirm--> stopping <----------------+
//
// A workload leaves the engine from any state, once the module has no further step for it.
type state uint8

const (
	pending   state = iota // without a final answer: it waits, or a bind of it is in flight
	placed                 // on a node, and its client has the answer
	migrating              // placed, and being stopped so that it is placed anew
	cancelled              // withdrawn before it was placed; its last bind may still be in flight
	stopping               // withdrawn, and on a node until that node confirms the end
)

// noTimer is the number of no timer: those of a timerqueue.Queue begin at 1.
const noTimer = 0

// workload is the engine's entry of a workload that is pending or placed.
type workload struct {
	id    placement.WorkloadID
	group placement.GroupID
	state state
	step  placement.Step   // the one that was executed last
	binds int              // number of binds so far
	node  placement.NodeID // of the last bind
	timer uint64           // number of the timer of its step, or noTimer
	due   placement.Millis // when that step is due; its timer may be set for an earlier time
}

// confirm notes that a node has confirmed the workload's last bind.
func (w *workload) confirm() {
	switch w.state {
	case pending:
		w.state = placed
	case cancelled:
		w.state = stopping
	case placed, migrating, stopping: // confirmed before
	}
}

// withdraw notes that the workload's client no longer wants it.
func (w *workload) withdraw() {
	switch w.state {
	case pending:
		w.state = cancelled
	case placed, migrating:
		w.state = stopping
	case cancelled, stopping: // withdrawn before
	}
}

// migrate notes that a placed workload is stopped in order to be placed anew.
func (w *workload) migrate() {
	if w.state == placed {
		w.state = migrating
	}
}

// onNode reports whether a node has confirmed the workload and not ended it.
func (w *workload) onNode() bool {
	return w.state == placed || w.state == migrating || w.state == stopping
}

// wanted reports whether the workload has a client that is to be answered and notified.
func (w *workload) wanted() bool { return w.state != cancelled && w.state != stopping }

// bindOpen reports whether the last bind is in flight or placed. None is while the workload waits for its next one.
func (w *workload) bindOpen() bool { return w.binds > 0 && w.step.Kind != placement.Wait }

// bind is the number of the last bind.
func (w *workload) bind() int { return w.binds - 1 }

// isOpen reports whether the bind of that number is the last one and still open.
func (w *workload) isOpen(bind int) bool { return bind == w.bind() && w.bindOpen() }

// workloads are the workloads of an engine, by id.
type workloads map[placement.WorkloadID]*workload

// add adds a new workload, which is pending, and returns its entry.
func (t workloads) add(added placement.Workload) *workload {
	entry := &workload{id: added.ID, group: added.Group}
	t[added.ID] = entry
	return entry
}

// on returns the workloads that have a bind open on the node, in the order of their ids: that of the map is random.
func (t workloads) on(node placement.NodeID) []*workload {
	var found []*workload
	for _, entry := range t {
		if entry.node == node && entry.bindOpen() {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(x, y *workload) int { return cmp.Compare(x.id, y.id) })
	return found
}
