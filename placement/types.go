// Package placement decides where workloads are placed. This file is its interface: ids, settings, inputs
// and results. The decisions are in the other files.
package placement

import "math"

// Millis is a time or a length of time in milliseconds.
type Millis float64

// LongAgo is the start time of a machine that has been up for longer than anyone remembers.
var LongAgo = Millis(math.Inf(-1))

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

// Effect says what a second start of a workload would do.
type Effect uint8

const (
	Restartable  Effect = iota // may run again
	Deduplicated               // repeats are known by a mark, within a scope and for a time
	RunOnce                    // must never start twice
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

// Group holds the settings of one priority group.
type Group struct {
	Target      Millis  // a start within this is in time
	Utility     float64 // of one second of full service, at mean size
	Effect      Effect
	DedupScope  Scope   // machines that drop a repeat
	DedupWindow Millis  // how long they remember
	Spread      Scope   // where the tasks of a service are limited, or ScopeNone
	SpreadMost  int     // how many of them may share one such place
	Calm        float64 // busy share of the cores up to which it is served in full
	Fade        float64 // over how much more the service falls to nothing
	Kind        int     // machine kind that it needs, or -1
}

// Kind is the size of one kind of machine.
type Kind struct{ Cores, Memory float64 }

// Settings are what an allocator is told when it starts.
type Settings struct {
	Allocators      int
	Ordinal         int // this allocator's number among them, from 0
	Groups          []Group
	Kinds           []Kind
	ColdFor         Millis  // a machine just up is warm after this
	ColdFrom        float64 // pace that it starts with
	ColdBears       float64 // offers within OverloadFor that it bears from all allocators together
	OverloadFor     Millis
	MustAsk         bool   // the machine list answers only when asked
	AskWithin       Millis // the list counts as known after this, asked for or not
	ConfirmsRunning bool   // a confirmation means running, not only accepted
	ReportsUse      bool   // reported room is what is not in use, not what nobody asked for
	RoomInList      bool   // list entries carry the room that nobody has asked for
	MaxBinds        int
	MayProbe        bool
}

// NodeState is what the list says of a machine.
type NodeState uint8

const (
	Ready NodeState = iota
	Draining
	Gone
)

// Node is one entry of the machine list.
type Node struct {
	ID         NodeID
	State      NodeState
	Kind       KindID
	Zone       ZoneID
	Cell       CellID
	Born       Millis
	FreeCores  float64
	FreeMemory float64
}

// Workload is one ask to place a workload.
type Workload struct {
	ID      WorkloadID
	Service ServiceID
	Group   GroupID
	Cores   float64
	Memory  float64
	Left    Millis // pending timeout: how long until the owner gives up
	Again   bool   // it came before, so that its first start in time is lost or behind it
}

// Load is a machine's report. Values that it lacks are NaN.
type Load struct {
	SpareCores  float64
	SpareMemory float64
	Backlog     float64
	Utilization float64
}

// ResultKind tells how a step of a workload went on.
type ResultKind uint8

const (
	Confirmed   ResultKind = iota // the machine took it; the bind stays open until it ends
	Declined                      // the machine turned it down: never ran
	Unreachable                   // no connection: never ran
	NotSent                       // the bind was never made
	Unclear                       // no answer, or a broken one: may have run
	TimedOut                      // no answer in time: may have run
	Ended                         // a confirmed bind is over
	Withdrawn                     // the owner no longer wants it; the bind may still be out
	Due                           // the time of a wait has come
)

// Reason tells why a machine declined or ended a workload.
type Reason uint8

const (
	NoReason Reason = iota
	NoCores
	NoMemory
	TooManyWaiting
	NotHere
	Evicted
	PushedOut
	SentAway
)

// Result is what is handed to the continuation of a step.
type Result struct {
	Kind   ResultKind
	Reason Reason
	Over   bool // the workload needs no answer any more
	Load   *Load
}

// StepKind says what is to be done for a workload.
type StepKind uint8

const (
	Bind          StepKind = iota // offer it to Node, for Timeout at most
	Wait                          // hand back Due once Until has come
	Resident                      // placed; nothing to do until its end
	Rejected                      // final: asking again does no harm
	Unschedulable                 // final: no promise
	Done                          // nothing is owed or expected any more
)

// Step is the next thing to do for a workload. Next takes its result, unless the step is final.
type Step struct {
	Kind    StepKind
	Node    NodeID
	Timeout Millis
	Until   Millis
	Next    func(now Millis, r Result) Step
}

// NoteKind says what a note on a workload measures.
type NoteKind uint8

const (
	Running   NoteKind = iota // it runs now
	CoresUsed                 // cores in use by it
)

// ListKind says what a message of the machine list holds.
type ListKind uint8

const (
	Changes ListKind = iota
	Whole
	Cached
	Failed
)

// Chores are what the allocator wants done beside workloads' steps.
type Chores struct {
	Moves  []WorkloadID // placed workloads to stop, so that they are placed anew
	Probes []NodeID
	Watch  bool   // ask for the list's changes from now on
	Again  Millis // when to ask for chores next
}
