package command

import pb "grebeglade/proto/grebeglade/v1"

// stateDocument is an allocator's state as --json prints it. Its keys are those of earlier versions, so that scripts that
// read it go on working when a field of the protocol is renamed.
type stateDocument struct {
	Workloads []workloadDocument `json:"workloads,omitempty"`
	Nodes     []nodeDocument     `json:"nodes,omitempty"`
	Revision  uint64             `json:"revision,omitempty"`
	LeftOut   uint32             `json:"left_out,omitempty"`
	Gangs     []gangDocument     `json:"gangs,omitempty"`
}

// workloadDocument is a pb.WorkloadState.
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

// nodeDocument is a pb.NodeStatus.
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

// gangDocument is a pb.GangStatus.
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

func newStateDocument(s *pb.State) stateDocument {
	document := stateDocument{Revision: s.Revision, LeftOut: s.LeftOut}
	for _, w := range s.Workloads {
		document.Workloads = append(document.Workloads, newWorkloadDocument(w))
	}
	for _, n := range s.Nodes {
		document.Nodes = append(document.Nodes, newNodeDocument(n))
	}
	for _, g := range s.Gangs {
		document.Gangs = append(document.Gangs, newGangDocument(g))
	}
	return document
}

func newWorkloadDocument(w *pb.WorkloadState) workloadDocument {
	return workloadDocument{
		Workload:       w.Workload,
		Client:         w.Client,
		RequestID:      w.RequestId,
		IdempotencyKey: w.Key,
		Service:        w.Service,
		Group:          w.Group,
		Cores:          w.Cores,
		Memory:         w.Memory,
		State:          w.State,
		Node:           w.Node,
		Binds:          w.Binds,
		SinceMs:        w.SinceMs,
	}
}

func newNodeDocument(n *pb.NodeStatus) nodeDocument {
	return nodeDocument{
		ID:            n.Id,
		State:         n.State,
		Kind:          n.Kind,
		Zone:          n.Zone,
		Address:       n.Address,
		Connection:    n.Connection,
		FreeCores:     n.FreeCores,
		FreeMemory:    n.FreeMemory,
		ListedMs:      n.ListedMs,
		Residents:     n.Residents,
		BindsInFlight: n.BindsInFlight,
		LastRejection: n.LastRejection,
	}
}

func newGangDocument(g *pb.GangStatus) gangDocument {
	return gangDocument{
		Client:    g.Client,
		RequestID: g.RequestId,
		State:     g.State,
		Parts:     g.Parts,
		MinParts:  g.MinParts,
		Running:   g.Running,
		Attempts:  g.Attempts,
		SinceMs:   g.SinceMs,
		Workloads: g.Workloads,
	}
}
