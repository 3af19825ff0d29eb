package native

import (
	"cmp"
	"fmt"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// workloadState is the state of a workload from its client's point of view.
type workloadState uint8

const (
	workloadPending    workloadState = iota // no final answer yet
	workloadPlaced                          // answered: accepted by a node
	workloadNotPlaced                       // answered: rejected or unschedulable
	workloadCancelling                      // withdrawn or stopped before placement; a bind may be unanswered
	workloadStopping                        // withdrawn or stopped after placement
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

// bindState is the state of a workload's last bind until its offer is sent or the engine cancels it. The engine tracks
// the node's reply. Each bind begins as not sent:
//
//	notSent -> persisting -> sent          if the bind must be durable first
//	notSent -> sent                        otherwise
//	persisting -> invalidated -> notSent   if another running workload of the service was found
//	persisting -> notSent                  if the offer is not sent for another reason; see binder.persist
//	any -> stopRequested                   if the engine cancels it
//
// The binder makes these transitions.
type bindState uint8

const (
	bindNone          bindState = iota // no bind was made
	bindPersisting                     // being persisted; the offer is sent afterwards
	bindInvalidated                    // being persisted; another workload of the service was found, so no offer is sent
	bindNotSent                        // offer not sent yet, or never to be sent
	bindSent                           // offer sent
	bindStopRequested                  // cancelled by the engine
)

// workload is one workload that the engine holds. The workloadTable changes its state and the binder its binds.
type workload struct {
	id         placement.WorkloadID
	client     string
	request    *pb.PlaceRequest
	receivedAt placement.Millis
	state      workloadState
	answer     frontend.AnswerState // not due for a part of a gang or an adopted workload
	bindNodes  []placement.NodeID   // node of each bind, in order
	bindState  bindState            // state of the last bind
	adopted    *pb.BindID           // bind id on the node of an adopted workload; nil for any other
	partOfGang
}

// partOfGang refers to a workload's gang. It is set when the workload is added, or by gangRecovery.
type partOfGang struct {
	gang *gangRequest // nil if the workload is not part of a gang
	part int          // index of the part in the gang
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

// requestID identifies a request. Request numbers are unique per client.
type requestID struct {
	client  string
	request uint64
}

// compareRequestIDs orders requests by client, and those of a client by their numbers.
func compareRequestIDs(x, y requestID) int {
	return cmp.Or(cmp.Compare(x.client, y.client), cmp.Compare(x.request, y.request))
}
