package placement

// NodeID identifies a node.
type NodeID uint32

// ZoneID identifies a zone.
type ZoneID uint16

// CellID identifies a small set of nodes that belong together.
type CellID uint16

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
	FreeMemory float64 // not requested by any workload
}

// NodeUpdateKind says what a message of the node list holds.
type NodeUpdateKind uint8

// Messages of the node list.
const (
	Delta          NodeUpdateKind = iota // entries that changed
	Snapshot                             // all entries
	CachedSnapshot                       // all entries, as an allocator kept them from an earlier run
	PollFailed                           // nothing: the list did not answer
)

// LoadReport is what a node reports of its load. Values that it lacks are NaN.
type LoadReport struct {
	SpareCores  float64 // not in use or not requested, as Settings.ReportsUsage says
	SpareMemory float64 // as for SpareCores
	Backlog     float64 // workloads that wait on the node
	Utilization float64 // share of its cores in use
}
