package native

import (
	"cmp"
	"fmt"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// workloadState is the state of a workload as its client knows it.
type workloadState uint8

const (
	workloadPending    workloadState = iota // it has no final answer
	workloadPlaced                          // answered: it was accepted by a node
	workloadNotPlaced                       // answered: rejected or unschedulable
	workloadCancelling                      // withdrawn or stopped before it was placed; a bind of it may be unanswered
	workloadStopping                        // withdrawn or stopped after it was placed
)

// String returns the state's name for operators, who are shown fewer states. The names are part of the command
// line's output.
func (s workloadState) String() string {
	switch s {
	case workloadPlaced:
		return "placed"
	case workloadCancelling, workloadStopping:
		return "stopping"
	case workloadPending, workloadNotPlaced:
		return "pending"
	}
	return fmt.Sprintf("workloadState(%d)", uint8(s))
}

// afterAnswer is the state after a final answer.
func (s workloadState) afterAnswer(v allocator.Verdict) workloadState {
	if v == allocator.Placed {
		return workloadPlaced
	}
	return workloadNotPlaced
}

// afterWithdrawal is the state after the workload was withdrawn or stopped.
func (s workloadState) afterWithdrawal() workloadState {
	if s == workloadPlaced || s == workloadStopping {
		return workloadStopping
	}
	return workloadCancelling
}

// withdrawn reports whether the client has withdrawn the workload.
func (s workloadState) withdrawn() bool { return s == workloadCancelling || s == workloadStopping }

// accepted reports whether the workload was placed on the node of its last bind.
func (s workloadState) accepted() bool { return s == workloadPlaced || s == workloadStopping }

// bindState is the state of a workload's last bind until its offer is sent or the engine cancels it. What the node
// replies is part of the engine's state. Each bind begins as not sent:
//
//	notSent -> persisting -> sent       if the journal must have it first
//	notSent -> sent                     if not
//	persisting -> outdated -> notSent   if the decision no longer holds
//	any -> stopRequested                if the engine cancels it
//
// The binder makes these transitions.
type bindState uint8

const (
	bindNone          bindState = iota // no bind was made
	bindPersisting                     // it is being written to the journal, and its offer is sent afterwards
	bindOutdated                       // it is being written, but its decision no longer holds: no offer will be sent
	bindNotSent                        // its offer is not sent, yet or at all
	bindSent                           // its offer was sent
	bindStopRequested                  // the engine has cancelled it
)

// workload is one workload that the engine holds. The workloadTable changes its state and the binder its binds.
type workload struct {
	id         placement.WorkloadID
	client     string
	request    *pb.PlaceRequest
	receivedAt placement.Millis
	state      workloadState
	answer     frontend.AnswerState // not due for a part of a gang or an adopted workload
	bindNodes  []placement.NodeID   // to which it was offered, in order
	bindState  bindState            // of the last bind
	adopted    *pb.BindID           // by which its node knows a workload that was found there; nil for any other
	partOfGang
}

// partOfGang is of which gang a workload is a part. It is set where the workload is added, or by gangRecovery.
type partOfGang struct {
	gang *gangRequest // nil if it is none
	part int          // its number in the gang
}

// lastNode is the node of the last bind, or 0, which is no node's id, if there was none.
func (w *workload) lastNode() placement.NodeID {
	if len(w.bindNodes) == 0 {
		return 0
	}
	return w.bindNodes[len(w.bindNodes)-1]
}

// lastBind is the number of the last bind, -1 if there was none.
func (w *workload) lastBind() int { return len(w.bindNodes) - 1 }

// beginBind begins the next bind, to the given node.
func (w *workload) beginBind(node placement.NodeID) {
	w.bindNodes = append(w.bindNodes, node)
	w.bindState = bindNotSent
}

// requestID names a request: its number counts within its client.
type requestID struct {
	client  string
	request uint64
}

// compareRequestIDs orders requests by client, and those of a client by their numbers.
func compareRequestIDs(x, y requestID) int {
	return cmp.Or(cmp.Compare(x.client, y.client), cmp.Compare(x.request, y.request))
}
