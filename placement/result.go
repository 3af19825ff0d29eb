package placement

// ResultKind says how a step of a workload went.
type ResultKind uint8

// Results of a step.
const (
	Confirmed      ResultKind = iota // the node accepted it; the bind stays open until it ends
	RejectedByNode                   // the node rejected it: never ran
	NotDelivered                     // no connection: never ran
	NotAttempted                     // the bind was never made
	OutcomeUnknown                   // no answer, or a malformed one: may have run
	TimedOut                         // no answer in time: may have run
	Ended                            // a confirmed bind has ended
	Withdrawn                        // the client no longer wants it; the bind may still be in flight
	TimerFired                       // the time of a Wait has come
)

// Reason says why a node rejected or ended a workload.
type Reason uint8

// Reasons of a node.
const (
	ReasonUnspecified Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode // the node is not the one that was addressed
	Evicted   // for lack of memory
	Preempted // by a workload of higher priority
	Drained   // the node drains
)

// Result is passed to the continuation of a step.
type Result struct {
	Kind   ResultKind
	Reason Reason
	Final  bool        // the workload needs no further step
	Load   *LoadReport // nil where none came with the answer
}
