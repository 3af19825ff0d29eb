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
// From any state it leaves the engine, once the module has no further step for it.
type state uint8

const (
	pending   state = iota // without a final answer: it waits, or a bind of it is in flight
	placed                 // on a node, and its client has the answer
	migrating              // placed, and stopped so that it is placed anew
	cancelled              // withdrawn before it was placed; its last bind may still be in flight
	stopping               // withdrawn, and on a node until that confirms its end
)

// noTimer is the number of no timer: those of a timerqueue.Queue begin at 1.
const noTimer = 0

// workload is one workload in flight or placed.
type workload struct {
	id    placement.WorkloadID
	group placement.GroupID
	state state
	step  placement.Step   // that was executed last
	binds int              // made so far; the last one's number is one less
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
	}
}

// withdraw notes that the workload's client no longer wants it.
func (w *workload) withdraw() {
	switch w.state {
	case pending:
		w.state = cancelled
	case placed, migrating:
		w.state = stopping
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

// bindOpen reports whether the last bind is in flight or placed. There is none while the workload waits for its next one.
func (w *workload) bindOpen() bool { return w.binds > 0 && w.step.Kind != placement.Wait }

// bind is the number of the last bind.
func (w *workload) bind() int { return w.binds - 1 }

// isOpen reports whether the bind of that number is the last one and still open.
func (w *workload) isOpen(bind int) bool { return bind == w.bind() && w.bindOpen() }

// workloads are the workloads of an engine, by id.
type workloads map[placement.WorkloadID]*workload

// add makes and returns the entry of a new workload.
func (t workloads) add(w placement.Workload) *workload {
	entry := &workload{id: w.ID, group: w.Group}
	t[w.ID] = entry
	return entry
}

// on returns the workloads that have a bind open on the node, in the order of their ids.
func (t workloads) on(node placement.NodeID) []*workload {
	var found []*workload
	for _, w := range t {
		if w.node == node && w.bindOpen() {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(x, y *workload) int { return cmp.Compare(x.id, y.id) })
	return found
}
