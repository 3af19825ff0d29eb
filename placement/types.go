// Package placement decides where workloads are placed. This file is its interface: ids, settings, inputs
// and results. The decisions are in the other files.
package placement

import "math"

// Millis is a time or a length of time in milliseconds.
type Millis float64

// DistantPast is the start time of a machine that has been up for longer than anyone remembers.
var DistantPast = Millis(math.Inf(-1))

type (
	// WorkloadID names one ask to place a workload.
	WorkloadID uint32
	// NodeID names a machine.
	NodeID uint32
	// ServiceID names the service that a workload belongs to.
	ServiceID uint64
	// GroupID is a priority group's place in Settings.Groups.
	GroupID uint16
	// KindID is a machine kind's place in Settings.Kinds.
	KindID uint8
	// ZoneID names a location.
	ZoneID uint16
	// CellID names a handful of machines that belong together.
	CellID uint16
)

// Idempotency says what a second start of a workload would do.
type Idempotency uint8

const (
	Idempotent      Idempotency = iota // may run again
	IdempotentByKey                    // repeats are known by a mark, within a scope and for a time
	AtMostOnce                         // must never start twice
)

// Scope names a set of machines around one of them.
type Scope uint8

const (
	ScopeNone Scope = iota
	ScopeNode
	ScopeCell
	ScopeZone
	ScopeAll
)

// Group holds the settings of one priority group. The names in JSON are those of stored histories and of config check.
type Group struct {
	LatencyObjective       Millis      `json:"Target"`  // a start within this is in time
	PriorityWeight         float64     `json:"Utility"` // of one second of full service, at mean size
	Idempotency            Idempotency `json:"Effect"`
	KeyScope               Scope       `json:"DedupScope"`  // machines that drop a repeat
	KeyWindow              Millis      `json:"DedupWindow"` // how long they remember
	SpreadScope            Scope       `json:"Spread"`      // where the tasks of a service are limited, or ScopeNone
	MaxPerScope            int         `json:"SpreadMost"`  // how many of them may share one such place
	FullServiceUtilization float64     `json:"Calm"`        // busy share of the cores up to which it is served in full
	DegradationRange       float64     `json:"Fade"`        // over how much more the service falls to nothing
	RequiredKind           int         `json:"Kind"`        // machine kind that it needs, or -1
}

// NodeKind is the size of one kind of machine.
type NodeKind struct{ Cores, Memory float64 }

// Settings are what an allocator is told when it starts.
type Settings struct {
	Allocators           int
	Ordinal              int // this allocator's number among them, from 0
	Groups               []Group
	NodeKinds            []NodeKind `json:"Kinds"`
	WarmUpDuration       Millis     `json:"ColdFor"`   // a machine just up is warm after this
	InitialRate          float64    `json:"ColdFrom"`  // pace that it starts with
	WarmUpBudget         float64    `json:"ColdBears"` // offers within OverloadFor that it bears from all allocators together
	OverloadWindow       Millis     `json:"OverloadFor"`
	PolledDiscovery      bool       `json:"MustAsk"`   // the machine list answers only when asked
	PollInterval         Millis     `json:"AskWithin"` // the list counts as known after this, asked for or not
	ConfirmsRunning      bool       // a confirmation means running, not only accepted
	ReportsUsage         bool       `json:"ReportsUse"` // reported room is what is not in use, not what nobody asked for
	EntriesCarryCapacity bool       `json:"RoomInList"` // list entries carry the room that nobody has asked for
	MaxBinds             int
	HealthChecksAllowed  bool `json:"MayProbe"`
}

// NodeState is what the list says of a machine.
type NodeState uint8

const (
	Ready NodeState = iota
	Draining
	Removed
)

// Node is one entry of the machine list.
type Node struct {
	ID         NodeID
	State      NodeState
	Kind       KindID
	Zone       ZoneID
	Cell       CellID
	StartedAt  Millis
	FreeCores  float64
	FreeMemory float64
}

// Workload is one ask to place a workload.
type Workload struct {
	ID             WorkloadID
	Service        ServiceID
	Group          GroupID
	Cores          float64
	Memory         float64
	PendingTimeout Millis // pending timeout: how long until the owner gives up
	Retried        bool   // it came before, so that its first start in time is lost or behind it
}

// LoadReport is a machine's report. Values that it lacks are NaN.
type LoadReport struct {
	SpareCores  float64
	SpareMemory float64
	Backlog     float64
	Utilization float64
}

// ResultKind tells how a step of a workload went on.
type ResultKind uint8

const (
	Confirmed      ResultKind = iota // the machine took it; the bind stays open until it ends
	RejectedByNode                   // the machine turned it down: never ran
	NotDelivered                     // no connection: never ran
	NotAttempted                     // the bind was never made
	OutcomeUnknown                   // no answer, or a broken one: may have run
	TimedOut                         // no answer in time: may have run
	Ended                            // a confirmed bind is over
	Withdrawn                        // the owner no longer wants it; the bind may still be out
	TimerFired                       // the time of a wait has come
)

// Reason tells why a machine declined or ended a workload.
type Reason uint8

const (
	ReasonUnspecified Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode
	Evicted
	Preempted
	Drained
)

// Result is what is handed to the continuation of a step.
type Result struct {
	Kind   ResultKind
	Reason Reason
	Final  bool // the workload needs no answer any more
	Load   *LoadReport
}

// StepKind says what is to be done for a workload.
type StepKind uint8

const (
	Bind          StepKind = iota // offer it to Node, for Timeout at most
	Wait                          // hand back Due once Until has come
	AwaitEnd                      // placed; nothing to do until its end
	Rejected                      // final: asking again does no harm
	Unschedulable                 // final: no promise
	Done                          // nothing is owed or expected any more
)

// Step is the next thing to do for a workload. Next takes its result, unless the step is final.
type Step struct {
	Kind     StepKind
	Node     NodeID
	Timeout  Millis
	WakeAt   Millis
	NextStep func(now Millis, r Result) Step
}

// UsageKind says what a note on a workload measures.
type UsageKind uint8

const (
	Running   UsageKind = iota // it runs now
	CoresUsed                  // cores in use by it
)

// NodeUpdateKind says what a message of the machine list holds.
type NodeUpdateKind uint8

const (
	Delta NodeUpdateKind = iota
	Snapshot
	CachedSnapshot
	PollFailed
)

// Maintenance are what the allocator wants done beside workloads' steps.
type Maintenance struct {
	Migrations   []WorkloadID // placed workloads to stop, so that they are placed anew
	HealthChecks []NodeID
	Subscribe    bool   // ask for the list's changes from now on
	NextAt       Millis // when to ask for chores next
}
