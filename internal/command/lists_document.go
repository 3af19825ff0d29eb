package command

import pb "grebeglade/proto/grebeglade/v1"

// stateDocument is the JSON form of an allocator's state. Scripts read its keys, so a key must not change when a field
// of the protocol is renamed.
type stateDocument struct {
	Workloads []workloadDocument `json:"workloads,omitempty"`
	Nodes     []nodeDocument     `json:"nodes,omitempty"`
	Revision  uint64             `json:"revision,omitempty"`
	LeftOut   uint32             `json:"left_out,omitempty"`
	Gangs     []gangDocument     `json:"gangs,omitempty"`
}

// workloadDocument is the JSON form of a pb.WorkloadState, and has all its fields.
type workloadDocument struct {
	Workload       uint64  `json:"workload,omitempty"`
	Client         string  `json:"owner,omitempty"`
	RequestID      uint64  `json:"ask,omitempty"`
	IdempotencyKey uint64  `json:"key,omitempty"`
	Service        uint64  `json:"service,omitempty"`
	Group          string  `json:"group,omitempty"`
	Cores          float64 `json:"cores,omitempty"`
	Memory         float64 `json:"memory,omitempty"`
	State          string  `json:"state,omitempty"`
	Node           uint32  `json:"node,omitempty"`
	Binds          uint32  `json:"binds,omitempty"`
	SinceMs        float64 `json:"since_ms,omitempty"`
}

// nodeDocument is the JSON form of a pb.NodeStatus, and has all its fields.
type nodeDocument struct {
	ID            uint32  `json:"id,omitempty"`
	State         string  `json:"state,omitempty"`
	Kind          string  `json:"kind,omitempty"`
	Zone          string  `json:"zone,omitempty"`
	Address       string  `json:"address,omitempty"`
	Connection    string  `json:"connection,omitempty"`
	FreeCores     float64 `json:"free_cores,omitempty"`
	FreeMemory    float64 `json:"free_memory,omitempty"`
	ListedMs      float64 `json:"listed_ms,omitempty"`
	Residents     uint32  `json:"residents,omitempty"`
	BindsInFlight uint32  `json:"binds_out,omitempty"`
	LastRejection string  `json:"last_refusal,omitempty"`
}

// gangDocument is the JSON form of a pb.GangStatus, and has all its fields.
type gangDocument struct {
	Client    string   `json:"owner,omitempty"`
	RequestID uint64   `json:"ask,omitempty"`
	State     string   `json:"state,omitempty"`
	Parts     uint32   `json:"parts,omitempty"`
	MinParts  uint32   `json:"need,omitempty"`
	Running   uint32   `json:"running,omitempty"`
	Attempts  uint32   `json:"tries,omitempty"`
	SinceMs   float64  `json:"since_ms,omitempty"`
	Workloads []uint64 `json:"workloads,omitempty"`
}

func newStateDocument(state *pb.State) stateDocument {
	document := stateDocument{Revision: state.Revision, LeftOut: state.LeftOut}
	for _, workload := range state.Workloads {
		document.Workloads = append(document.Workloads, newWorkloadDocument(workload))
	}
	for _, node := range state.Nodes {
		document.Nodes = append(document.Nodes, newNodeDocument(node))
	}
	for _, gang := range state.Gangs {
		document.Gangs = append(document.Gangs, newGangDocument(gang))
	}
	return document
}

func newWorkloadDocument(workload *pb.WorkloadState) workloadDocument {
	return workloadDocument{
		Workload:       workload.Workload,
		Client:         workload.Client,
		RequestID:      workload.RequestId,
		IdempotencyKey: workload.Key,
		Service:        workload.Service,
		Group:          workload.Group,
		Cores:          workload.Cores,
		Memory:         workload.Memory,
		State:          workload.State,
		Node:           workload.Node,
		Binds:          workload.Binds,
		SinceMs:        workload.SinceMs,
	}
}

func newNodeDocument(node *pb.NodeStatus) nodeDocument {
	return nodeDocument{
		ID:            node.Id,
		State:         node.State,
		Kind:          node.Kind,
		Zone:          node.Zone,
		Address:       node.Address,
		Connection:    node.Connection,
		FreeCores:     node.FreeCores,
		FreeMemory:    node.FreeMemory,
		ListedMs:      node.ListedMs,
		Residents:     node.Residents,
		BindsInFlight: node.BindsInFlight,
		LastRejection: node.LastRejection,
	}
}

func newGangDocument(gang *pb.GangStatus) gangDocument {
	return gangDocument{
		Client:    gang.Client,
		RequestID: gang.RequestId,
		State:     gang.State,
		Parts:     gang.Parts,
		MinParts:  gang.MinParts,
		Running:   gang.Running,
		Attempts:  gang.Attempts,
		SinceMs:   gang.SinceMs,
		Workloads: gang.Workloads,
	}
}
