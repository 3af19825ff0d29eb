package placement

// ResultKind is the kind of result of a step.
type ResultKind uint8

// Kinds of results.
const (
	Confirmed      ResultKind = iota // the node accepted the workload; the bind stays open until Ended
	RejectedByNode                   // the node rejected the workload: it has not run
	NotDelivered                     // no connection to the node: the workload has not run
	NotAttempted                     // the bind was not sent
	OutcomeUnknown                   // no reply, or a malformed one: the workload may have run
	TimedOut                         // no reply before Step.Timeout: the workload may have run
	Ended                            // the confirmed bind has ended
	Withdrawn                        // the client withdrew the workload; the bind may still be in flight
	TimerFired                       // Step.WakeAt of a Wait has come
)

// Reason is the reason why a node rejected or ended a workload.
type Reason uint8

// Reasons that a node reports.
const (
	ReasonUnspecified Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode // the bind reached a node other than the addressed one
	Evicted   // ended for lack of memory
	Preempted // ended in favour of a workload of higher priority
	Drained   // the node is draining
)

// Result is the result of a step. It is passed to the step's NextStep.
type Result struct {
	Kind   ResultKind
	Reason Reason
	Final  bool        // the workload needs neither another bind nor an answer
	Load   *LoadReport // load report in the node's reply; nil if there was none
}
