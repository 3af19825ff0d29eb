package placement

// KindID is a node kind's index in Settings.NodeKinds.
type KindID uint8

// AnyKind is the RequiredKind of a group whose workloads run on every kind of node.
const AnyKind = -1

// NodeKind is the size of one kind of node.
type NodeKind struct {
	Cores  float64
	Memory float64
}

// Settings are what an allocator knows when it starts. The JSON keys are those of stored histories and of
// "config check", so the fields stay in one flat struct and in this order.
type Settings struct {
	// Allocators counts the allocators that place workloads on the same nodes, this one included.
	Allocators int
	// Ordinal is this allocator's number among them, from 0.
	Ordinal int
	// Groups are the priority groups by GroupID.
	Groups []Group
	// NodeKinds are the kinds of nodes by KindID.
	NodeKinds []NodeKind `json:"Kinds"`

	// WarmUpDuration is how long a node that has just started warms up.
	WarmUpDuration Millis `json:"ColdFor"`
	// InitialRate is the share of its full rate of binds that a node starts with, from 0 to 1.
	InitialRate float64 `json:"ColdFrom"`
	// WarmUpBudget is how many binds a node that warms up bears in any OverloadWindow, from all allocators.
	WarmUpBudget float64 `json:"ColdBears"`
	// OverloadWindow is the time over which the binds to a node that warms up are counted.
	OverloadWindow Millis `json:"OverloadFor"`

	// PolledDiscovery says that the node list sends changes only to subscribers.
	PolledDiscovery bool `json:"MustAsk"`
	// PollInterval is the time within which a change of the node list must be known.
	PollInterval Millis `json:"AskWithin"`

	// ConfirmsRunning says that a confirmation means running, and not only accepted.
	ConfirmsRunning bool
	// ReportsUsage says that the spare values of a load report count what is not in use. Without it they count
	// what is not requested.
	ReportsUsage bool `json:"ReportsUse"`
	// EntriesCarryCapacity says that entries of the node list hold free capacity.
	EntriesCarryCapacity bool `json:"RoomInList"`
	// MaxBinds limits the binds of one workload, the first one included.
	MaxBinds int
	// HealthChecksAllowed says that the allocator may check nodes on its own account.
	HealthChecksAllowed bool `json:"MayProbe"`
}
