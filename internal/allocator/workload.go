package allocator

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// state is a workload's lifecycle state. Transitions:
//
//	pending ---confirm---> placed ---migrate---> migrating
//	   |                     |                       |
//	withdraw              withdraw               withdraw
//	   v                     v                       |
//	cancelled --confirm--> stopping <----------------+
//
// A workload leaves the engine, from any state, once the module returns no further step for it.
type state uint8

const (
	pending   state = iota // waiting or with a bind in flight; the client has no final answer yet
	placed                 // confirmed by a node; the client has the final answer
	migrating              // placed, and being stopped so that it can be placed again
	cancelled              // withdrawn before it was placed; its latest bind may still be in flight
	stopping               // withdrawn, and still on a node until the node confirms the end
)

// noTimer marks a workload without a timer. Numbers in a timerqueue.Queue start at 1.
const noTimer = 0

// workload is the engine's entry for one workload.
type workload struct {
	id    placement.WorkloadID
	group placement.GroupID
	state state
	step  placement.Step   // latest executed step
	binds int              // number of binds so far
	node  placement.NodeID // node of the latest bind
	timer uint64           // timer number of the current step, or noTimer
	dueAt placement.Millis // due time of the current step; the timer may fire earlier

	queuedReplyUntil placement.Millis // limit of waiting for a queued reply to the latest bind; 0 before its timeout
}

// confirm updates the state when a node confirms the latest bind.
func (w *workload) confirm() {
	switch w.state {
	case pending:
		w.state = placed
	case cancelled:
		w.state = stopping
	case placed, migrating, stopping: // confirmed before
	}
}

// withdraw updates the state when the client withdraws the workload.
func (w *workload) withdraw() {
	switch w.state {
	case pending:
		w.state = cancelled
	case placed, migrating:
		w.state = stopping
	case cancelled, stopping: // withdrawn before
	}
}

// migrate updates the state when a placed workload is stopped so that it can be placed again.
func (w *workload) migrate() {
	if w.state == placed {
		w.state = migrating
	}
}

// onNode reports whether a node has confirmed the workload and has not reported its end.
func (w *workload) onNode() bool {
	return w.state == placed || w.state == migrating || w.state == stopping
}

// hasClient reports whether there is still a client to answer and notify.
func (w *workload) hasClient() bool { return w.state != cancelled && w.state != stopping }

// bindOpen reports whether the latest bind is in flight or placed. No bind is open while the step is Wait.
func (w *workload) bindOpen() bool { return w.binds > 0 && w.step.Kind != placement.Wait }

// bind returns the number of the latest bind, counted from 0.
func (w *workload) bind() int { return w.binds - 1 }

// isOpen reports whether the bind with the given number is the latest one and still open.
func (w *workload) isOpen(bind int) bool { return bind == w.bind() && w.bindOpen() }

// workloads is the engine's workload table, by id.
type workloads map[placement.WorkloadID]*workload

// add inserts a new pending workload and returns its entry.
func (t workloads) add(added placement.Workload) *workload {
	entry := &workload{id: added.ID, group: added.Group}
	t[added.ID] = entry
	return entry
}

// boundTo returns the workloads with an open bind on the node. They are sorted by id because map order is random.
func (t workloads) boundTo(node placement.NodeID) []*workload {
	var found []*workload
	for _, entry := range t {
		if entry.node == node && entry.bindOpen() {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(x, y *workload) int { return cmp.Compare(x.id, y.id) })
	return found
}
