package trace

// The numbers below equal those of packages placement and allocator, which this package does not import: they are a
// part of the file format, and files of earlier versions must stay readable whatever the scheduler becomes. A new kind
// is added at the end. A test of package replay fails if the two no longer agree.

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

// Reasons for which nodes reject binds.
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

// The names below are those that "grebeglade trace" has always printed and exported, so that some of them differ from
// the present names of what they stand for.
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

// StepName returns the name of a kind of step, or otherwise for one that a later version has added.
func StepName(kind uint32, otherwise string) string { return nameOr(stepNames, kind, otherwise) }

// ResultName returns the name of a kind of result, or otherwise for one that a later version has added.
func ResultName(kind uint32, otherwise string) string { return nameOr(resultNames, kind, otherwise) }

// RejectionName returns the name of the reason of a node's rejection, or otherwise for one that a later version has
// added.
func RejectionName(reason uint32, otherwise string) string {
	return nameOr(rejectionNames, reason, otherwise)
}

// nameOr returns the name of a number, or otherwise if it has none: a later version may have added kinds.
func nameOr(names []string, number uint32, otherwise string) string {
	if int(number) < len(names) {
		return names[number]
	}
	return otherwise
}
