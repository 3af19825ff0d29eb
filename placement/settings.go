package placement

// KindID is a node kind's index in Settings.NodeKinds.
type KindID uint8

// AnyKind is the Group.RequiredKind of workloads that can run on every kind of node.
const AnyKind = -1

// NodeKind is a kind of node, described by the size of its nodes.
type NodeKind struct {
	Cores  float64
	Memory float64
}

// Settings are the settings of a Scheduler. Stored histories and "config check" use the JSON keys and the order of the
// fields, so the fields must stay in one flat struct and in this order.
type Settings struct {
	// Allocators is the number of allocators that place workloads on the same nodes, including this one.
	Allocators int
	// Ordinal is the number of this allocator, from 0 to Allocators-1.
	Ordinal int
	// Groups are the priority groups, indexed by GroupID.
	Groups []Group
	// NodeKinds are the kinds of nodes, indexed by KindID.
	NodeKinds []NodeKind `json:"Kinds"`

	// WarmUpDuration is the time from a node's start during which its warm-up budget applies.
	WarmUpDuration Millis `json:"ColdFor"`
	// InitialRate is the rate of binds at a node's start as a share of its full rate, from 0 to 1.
	InitialRate float64 `json:"ColdFrom"`
	// WarmUpBudget is the maximum number of binds to a node that warms up in any OverloadWindow, from all allocators.
	WarmUpBudget float64 `json:"ColdBears"`
	// OverloadWindow is the time over which binds to a node that warms up are counted.
	OverloadWindow Millis `json:"OverloadFor"`

	// PolledDiscovery states that changes of the node list are sent only to subscribers.
	PolledDiscovery bool `json:"MustAsk"`
	// PollInterval is the time within which a change of the node list must reach the scheduler.
	PollInterval Millis `json:"AskWithin"`

	// ConfirmsRunning states that nodes confirm a workload when it runs, not when they accept it.
	ConfirmsRunning bool
	// ReportsUsage states that the spare values of load reports are the resources not in use. If false, they are the
	// resources not requested.
	ReportsUsage bool `json:"ReportsUse"`
	// EntriesCarryCapacity states that the entries of the node list contain the free capacity.
	EntriesCarryCapacity bool `json:"RoomInList"`
	// MaxBinds is the maximum number of binds of one workload, including the first.
	MaxBinds int
	// HealthChecksAllowed states that the allocator may send health checks to nodes.
	HealthChecksAllowed bool `json:"MayProbe"`
}
