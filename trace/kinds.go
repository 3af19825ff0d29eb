package trace

// The numbers below equal those of packages placement and allocator. This package does not import those: the numbers
// are part of the file format, and files of earlier versions must stay readable even if the scheduler changes. New
// kinds are added at the end. A test of package replay fails if the numbers differ.

// Kinds of steps.
const (
	stepBind = iota
	stepWait
	stepAwaitEnd
	stepRejected // this kind and all greater ones are final
	stepUnschedulable
	stepDone
)

// Kinds of results.
const (
	resultConfirmed = iota
	resultRejectedByNode
	resultNotDelivered
	resultNotAttempted
	resultOutcomeUnknown
	resultTimedOut
	resultEnded
	resultWithdrawn
	resultTimerFired
)

// Reasons of nodes for rejecting or ending workloads.
const (
	reasonUnspecified = iota
	reasonInsufficientCores
	reasonInsufficientMemory
	reasonNodeQueueFull
	reasonWrongNode
	reasonEvicted
	reasonPreempted
	reasonDrained
)

// Verdicts.
const (
	verdictPlaced = iota + 1
	verdictRejected
	verdictUnschedulable
)

// The names below are part of the output format of "grebeglade trace" and of exports and must not change. Some differ
// from the names of the constants.
var (
	stepNames = []string{
		stepBind:          "bind",
		stepWait:          "wait",
		stepAwaitEnd:      "resident",
		stepRejected:      "rejected",
		stepUnschedulable: "unschedulable",
		stepDone:          "done",
	}

	resultNames = []string{
		resultConfirmed:      "confirmed",
		resultRejectedByNode: "declined",
		resultNotDelivered:   "unreachable",
		resultNotAttempted:   "not sent",
		resultOutcomeUnknown: "unclear",
		resultTimedOut:       "timed out",
		resultEnded:          "ended",
		resultWithdrawn:      "withdrawn",
		resultTimerFired:     "due",
	}

	rejectionNames = []string{
		reasonUnspecified:        "no reason",
		reasonInsufficientCores:  "no cores",
		reasonInsufficientMemory: "no memory",
		reasonNodeQueueFull:      "too many waiting",
		reasonWrongNode:          "not here",
		reasonEvicted:            "evicted",
		reasonPreempted:          "pushed out",
		reasonDrained:            "sent away",
	}
)

// StepName returns the name of a kind of step, or fallback for a kind added by a later version.
func StepName(kind uint32, fallback string) string { return nameOr(stepNames, kind, fallback) }

// ResultName returns the name of a kind of result, or fallback for a kind added by a later version.
func ResultName(kind uint32, fallback string) string { return nameOr(resultNames, kind, fallback) }

// RejectionName returns the name of a node's reason for rejecting or ending a workload, or fallback for a reason added
// by a later version.
func RejectionName(reason uint32, fallback string) string {
	return nameOr(rejectionNames, reason, fallback)
}

// nameOr returns the name of a number, or fallback for a number added by a later version.
func nameOr(names []string, number uint32, fallback string) string {
	if int(number) < len(names) {
		return names[number]
	}
	return fallback
}
