package placement

// StepKind says what is to be done for a workload.
type StepKind uint8

// Kinds of steps. Those without a NextStep are final.
const (
	Bind          StepKind = iota // offer it to Node, for Timeout at most
	Wait                          // pass TimerFired once WakeAt has come
	AwaitEnd                      // nothing until the bind ends
	Rejected                      // final: a retry by the client is harmless
	Unschedulable                 // final: it may have run
	Done                          // final: the client gets no answer
)

// Step is the next thing to do for a workload. NextStep takes its result; it is nil for a final step.
type Step struct {
	Kind     StepKind
	Node     NodeID // of a Bind
	Timeout  Millis // of a Bind, from now on
	WakeAt   Millis // of a Wait
	NextStep func(now Millis, r Result) Step
}

// Maintenance is what the scheduler wants done beside the steps of workloads.
type Maintenance struct {
	Migrations   []WorkloadID // placed workloads to stop, so that they are placed anew
	HealthChecks []NodeID     // nodes to check
	Subscribe    bool         // whether to subscribe to the changes of the node list now
	NextAt       Millis       // when to call Maintain next
}
