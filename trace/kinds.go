package trace

// Kinds of steps, results and verdicts, as records number them.
const (
	stepBind     = 0
	stepRejected = 3 // the first of the kinds that end a workload's decisions

	resultRejectedByNode = 1
	resultNotDelivered   = 2
	resultOutcomeUnknown = 4
	resultTimedOut       = 5

	verdictPlaced        = 1
	verdictRejected      = 2
	verdictUnschedulable = 3
)

// StepName returns the name of a kind of step, otherwise for one that a later version has added.
func StepName(kind uint32, otherwise string) string { return nameOr(stepNames, kind, otherwise) }

// ResultName returns the name of a kind of result, otherwise for one that a later version has added.
func ResultName(kind uint32, otherwise string) string { return nameOr(resultNames, kind, otherwise) }

// RejectionName returns the name of the reason of a node's rejection, otherwise for one that a later version has added.
func RejectionName(reason uint32, otherwise string) string {
	return nameOr(rejectionNames, reason, otherwise)
}

var stepNames = []string{"bind", "wait", "resident", "rejected", "unschedulable", "done"}

var resultNames = []string{
	"confirmed", "declined", "unreachable", "not sent", "unclear", "timed out", "ended", "withdrawn", "due",
}

// rejectionNames are the reasons for which nodes reject binds.
var rejectionNames = []string{
	"no reason", "no cores", "no memory", "too many waiting", "not here", "evicted", "pushed out", "sent away",
}

// nameOr returns the name of a number, or otherwise if it has none: a later version may have added kinds.
func nameOr(names []string, number uint32, otherwise string) string {
	if int(number) < len(names) {
		return names[number]
	}
	return otherwise
}
