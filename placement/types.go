package placement

import "math"

// Millis is a time or a duration in milliseconds.
type Millis float64

// DistantPast is the start time of a node whose start nobody recorded, and the time of what never happened.
var DistantPast = Millis(math.Inf(-1))

type (
	// WorkloadID identifies one request to place a workload.
	WorkloadID uint32
	// NodeID identifies a node.
	NodeID uint32
	// ServiceID identifies the service that a workload belongs to.
	ServiceID uint64
	// GroupID is a priority group's index in Settings.Groups.
	GroupID uint16
	// KindID is a node kind's index in Settings.NodeKinds.
	KindID uint8
	// ZoneID identifies a zone.
	ZoneID uint16
	// CellID identifies a small set of nodes that belong together.
	CellID uint16
)

// AnyKind is the RequiredKind of a group whose workloads run on every kind of node.
const AnyKind = -1

// Idempotency says what a second start of a workload would do.
type Idempotency uint8

// Idempotency of a group's workloads.
const (
	Idempotent      Idempotency = iota // may run again
	IdempotentByKey                    // nodes recognize a repeat by its key, within KeyScope and KeyWindow
	AtMostOnce                         // must never start twice
)

// Scope is a set of nodes around one of them.
type Scope uint8

// Scopes, from none to the whole fleet.
const (
	ScopeNone Scope = iota
	ScopeNode
	ScopeCell
	ScopeZone
	ScopeAll
)

// Group holds the settings of one priority group. JSON has the names of stored histories and of config check.
type Group struct {
	LatencyObjective       Millis      `json:"Target"`  // a start within this is in time
	PriorityWeight         float64     `json:"Utility"` // value of one second of full service, at mean size
	Idempotency            Idempotency `json:"Effect"`
	KeyScope               Scope       `json:"DedupScope"`  // nodes that share their idempotency keys
	KeyWindow              Millis      `json:"DedupWindow"` // how long they keep a key
	SpreadScope            Scope       `json:"Spread"`      // where a service is limited, or ScopeNone
	MaxPerScope            int         `json:"SpreadMost"`  // workloads of a service in one such scope
	FullServiceUtilization float64     `json:"Calm"`        // share of cores in use up to which service is full
	DegradationRange       float64     `json:"Fade"`        // share beyond that over which it falls to nothing
	RequiredKind           int         `json:"Kind"`        // KindID of the nodes that it needs, or AnyKind
}

// NodeKind is the size of one kind of node.
type NodeKind struct{ Cores, Memory float64 }

// Settings are what an allocator knows when it starts. JSON has the names of stored histories, as for Group.
type Settings struct {
	Allocators           int        // allocators that place workloads on the same nodes
	Ordinal              int        // this allocator's number among them, from 0
	Groups               []Group    // by GroupID
	NodeKinds            []NodeKind `json:"Kinds"`       // by KindID
	WarmUpDuration       Millis     `json:"ColdFor"`     // for which a node that has just started warms up
	InitialRate          float64    `json:"ColdFrom"`    // share of its full rate that a node starts with
	WarmUpBudget         float64    `json:"ColdBears"`   // binds that a warming node bears in OverloadWindow
	OverloadWindow       Millis     `json:"OverloadFor"` // over which the binds to a node are counted
	PolledDiscovery      bool       `json:"MustAsk"`     // the node list sends changes only to subscribers
	PollInterval         Millis     `json:"AskWithin"`   // within which a change of the list must be known
	ConfirmsRunning      bool       // a confirmation means running, not only accepted
	ReportsUsage         bool       `json:"ReportsUse"` // spare means not in use, or else not requested
	EntriesCarryCapacity bool       `json:"RoomInList"` // entries of the node list hold free capacity
	MaxBinds             int        // binds of one workload
	HealthChecksAllowed  bool       `json:"MayProbe"`
}

// NodeState is a node's state in the node list.
type NodeState uint8

// States of a node. Only a ready node gets binds.
const (
	Ready NodeState = iota
	Draining
	Removed
)

// Node is one entry of the node list.
type Node struct {
	ID         NodeID
	State      NodeState
	Kind       KindID
	Zone       ZoneID
	Cell       CellID
	StartedAt  Millis  // start of this incarnation
	FreeCores  float64 // not requested by any workload
	FreeMemory float64
}

// Workload is one request to place a workload.
type Workload struct {
	ID             WorkloadID
	Service        ServiceID
	Group          GroupID
	Cores          float64
	Memory         float64
	PendingTimeout Millis // after which the client gives up
	Retried        bool   // whether the client requested it before, and has lost or had its first start in time
}

// LoadReport is what a node reports of its load. Values that it lacks are NaN.
type LoadReport struct {
	SpareCores  float64
	SpareMemory float64
	Backlog     float64 // workloads that wait on the node
	Utilization float64 // share of its cores in use
}

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
	Node     NodeID
	Timeout  Millis
	WakeAt   Millis
	NextStep func(now Millis, r Result) Step
}

// UsageKind says what an observation of a placed workload measures.
type UsageKind uint8

// Observations of a placed workload.
const (
	Running   UsageKind = iota // it runs now
	CoresUsed                  // cores in use by it
)

// NodeUpdateKind says what a message of the node list holds.
type NodeUpdateKind uint8

// Messages of the node list.
const (
	Delta          NodeUpdateKind = iota // entries that changed
	Snapshot                             // all entries
	CachedSnapshot                       // all entries, as an allocator kept them from an earlier run
	PollFailed                           // nothing: the list did not answer
)

// Maintenance is what the scheduler wants done beside the steps of workloads.
type Maintenance struct {
	Migrations   []WorkloadID // placed workloads to stop, so that they are placed anew
	HealthChecks []NodeID     // nodes to check
	Subscribe    bool         // whether to subscribe to the changes of the node list now
	NextAt       Millis       // when to call Maintain next
}
