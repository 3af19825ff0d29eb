package placement

// NodeID identifies a node.
type NodeID uint32

// ZoneID identifies a zone.
type ZoneID uint16

// CellID identifies a cell: a small group of nodes that belong together.
type CellID uint16

// NodeState is a node's state in the node list.
type NodeState uint8

// States of a node. Only ready nodes get binds.
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
	StartedAt  Millis  // start time of this incarnation
	FreeCores  float64 // cores not requested by any workload
	FreeMemory float64 // memory not requested by any workload
}

// NodeUpdateKind is the kind of a node list message.
type NodeUpdateKind uint8

// Kinds of node list messages.
const (
	Delta          NodeUpdateKind = iota // the entries that changed
	Snapshot                             // all entries
	CachedSnapshot                       // all entries, stored by the allocator in an earlier run
	PollFailed                           // no entries: the poll of the node list failed
)

// LoadReport is the load of a node as reported by the node. Missing values are NaN.
type LoadReport struct {
	SpareCores  float64 // cores not in use (with Settings.ReportsUsage) or not requested (without)
	SpareMemory float64 // memory not in use or not requested, as for SpareCores
	Backlog     float64 // number of workloads queued on the node
	Utilization float64 // share of the node's cores in use
}
