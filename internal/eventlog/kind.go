package eventlog

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. Their numbers are part of the digest.
const (
	Requested      Kind = iota + 1 // a client requested a workload
	NotAdmitted                    // a request was not scheduled, or a part of a gang was not offered
	Adopted                        // a workload was found running on a node
	Bound                          // a workload was offered to a node
	BindOutcome                    // a bind was confirmed, or ended unconfirmed; Detail is the placement.ResultKind
	Answered                       // a workload got its final answer; Detail is the allocator.Verdict
	Ended                          // a placed workload ended
	Withdrawn                      // a client withdrew a workload
	BindStopped                    // a placed workload was stopped for migration; Detail is the allocator.StopReason
	HealthChecked                  // a health check of a node was started
	NodesUpdated                   // node discovery sent a message; Detail is the placement.NodeUpdateKind
	NodeConnection                 // a node's connection was opened (Detail is 1) or lost (Detail is 0)
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

// String returns the kind's name in lower case, or "" for zero. It panics for any other value that is not a Kind.
func (k Kind) String() string { return kindNames[k] }
