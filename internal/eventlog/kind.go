package eventlog

// Kind says what happened.
type Kind uint8

// The kinds of events. Their numbers are part of the digest.
const (
	Requested      Kind = iota + 1 // a client requested a workload
	NotAdmitted                    // a request was rejected before it was scheduled
	Adopted                        // a workload was found running on a node
	Bound                          // a workload was offered to a node
	BindOutcome                    // a bind was confirmed, or ended before that; Detail is the placement.ResultKind
	Answered                       // a client got its final answer; Detail is the allocator.Verdict
	Ended                          // a placed workload no longer runs
	Withdrawn                      // a client no longer wants a workload
	BindStopped                    // a bind was stopped; Detail is the allocator.StopReason
	HealthChecked                  // a health check was sent to a node
	NodesUpdated                   // node discovery sent a message; Detail is the placement.NodeUpdateKind
	NodeConnection                 // a node's connection was opened, or lost; Detail is 1 or 0
)

var kindNames = [...]string{
	Requested:      "requested",
	NotAdmitted:    "not admitted",
	Adopted:        "adopted",
	Bound:          "bound",
	BindOutcome:    "bind outcome",
	Answered:       "answered",
	Ended:          "ended",
	Withdrawn:      "withdrawn",
	BindStopped:    "bind stopped",
	HealthChecked:  "health checked",
	NodesUpdated:   "nodes updated",
	NodeConnection: "node connection",
}

// String returns the kind's name in lower case, and "" for zero. It panics for any other number that is no kind.
func (k Kind) String() string { return kindNames[k] }
