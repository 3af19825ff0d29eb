package placement

// StepKind is the action that a step requires.
type StepKind uint8

// Kinds of steps. Rejected, Unschedulable and Done are final: they have no NextStep.
const (
	Bind          StepKind = iota // offer the workload to Node, with a result after Timeout at the latest
	Wait                          // pass the result TimerFired at WakeAt
	AwaitEnd                      // do nothing until the bind ends
	Rejected                      // final answer: a retry by the client is harmless
	Unschedulable                 // final answer: the workload may have run
	Done                          // final, without an answer to the client
)

// Step is the next action for a workload. NextStep takes the result of the step and returns the following step; it is
// nil for a final step.
type Step struct {
	Kind     StepKind
	Node     NodeID // target of a Bind
	Timeout  Millis // timeout of a Bind, from the time of the call that returned it
	AnswerBy Millis // time of the latest final answer; set for a Bind
	WakeAt   Millis // end of a Wait
	NextStep func(now Millis, r Result) Step
}

// Maintenance holds the actions that the scheduler requests beside the steps of workloads.
type Maintenance struct {
	Migrations   []WorkloadID // placed workloads to stop and place again
	HealthChecks []NodeID     // nodes to send a health check to
	Subscribe    bool         // whether to subscribe to the changes of the node list now
	NextAt       Millis       // time of the next call of Maintain
}
