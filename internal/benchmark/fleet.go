package benchmark

import (
	"fmt"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Fleet is the nodes that are measured with, and how many workloads of the allocator run on each from the start.
type Fleet struct {
	Nodes, Residents int
}

// The nodes and workloads of each measurement.
const (
	nodeCores, nodeMemory         = 64, 256
	workloadCores, workloadMemory = 0.5, 1
	freeShare                     = 0.5 // of a node's capacity, as the node list says
	nodesPerCell                  = 8
	services                      = 50
	pendingTimeout                = 6000 // ms
	groupName, kindName           = "g", "k"
	allocatorName                 = "bench"
)

// loadReport is what each node reports at any time.
var loadReport = placement.LoadReport{
	SpareCores:  nodeCores * 0.6,
	SpareMemory: nodeMemory * 0.6,
	Utilization: 0.4,
}

// protobufLoad returns loadReport as nodes send it.
func protobufLoad() *pb.Load {
	l := loadReport
	return &pb.Load{
		SpareCores:  &l.SpareCores,
		SpareMemory: &l.SpareMemory,
		Utilization: &l.Utilization,
	}
}

// settings returns those of the placement module, with one group and one kind of node.
func settings() placement.Settings {
	return placement.Settings{
		Allocators:           1,
		NodeKinds:            []placement.NodeKind{{Cores: nodeCores, Memory: nodeMemory}},
		MaxBinds:             3,
		EntriesCarryCapacity: true,
		ReportsUsage:         true,
		WarmUpDuration:       15e3,
		WarmUpBudget:         24,
		OverloadWindow:       2e3,
		Groups: []placement.Group{{
			LatencyObjective:       1e3,
			PriorityWeight:         1,
			FullServiceUtilization: 0.8,
			DegradationRange:       0.2,
			RequiredKind:           placement.AnyKind,
		}},
	}
}

// nodes returns the node list for the placement module.
func (f Fleet) nodes() []placement.Node {
	nodes := make([]placement.Node, f.Nodes)
	for i := range nodes {
		nodes[i] = placement.Node{
			ID:         placement.NodeID(i + 1),
			Cell:       placement.CellID(i / nodesPerCell),
			StartedAt:  placement.DistantPast,
			FreeCores:  nodeCores * freeShare,
			FreeMemory: nodeMemory * freeShare,
		}
	}
	return nodes
}

// nodeEntry returns the entry of the i-th node in the node list of the native protocol.
func nodeEntry(i int, freeShare float64, address string) *pb.NodeEntry {
	return &pb.NodeEntry{
		Id:          uint32(i + 1),
		Kind:        kindName,
		Zone:        "z",
		Cell:        fmt.Sprint(i / nodesPerCell),
		Incarnation: 1,
		UpForMs:     -1,
		FreeCores:   nodeCores * freeShare,
		FreeMemory:  nodeMemory * freeShare,
		Address:     address,
	}
}

// workload returns a small workload, as clients request it and residents are.
func workload(id placement.WorkloadID) placement.Workload {
	return placement.Workload{
		ID:             id,
		Service:        placement.ServiceID(id % services),
		Cores:          workloadCores,
		Memory:         workloadMemory,
		PendingTimeout: pendingTimeout,
	}
}

// resident returns a workload that runs on a node when the allocator connects to it.
func resident(id uint64, client string, timeoutMs float64) *pb.RunningWorkload {
	return &pb.RunningWorkload{Running: true, Offer: &pb.Offer{
		Bind: &pb.BindID{
			Allocator:   allocatorName,
			Incarnation: 1,
			Workload:    id,
		},
		Client: client,
		Request: &pb.PlaceRequest{
			RequestId:        id,
			Key:              id,
			Service:          id % services,
			Group:            groupName,
			Cores:            workloadCores,
			Memory:           workloadMemory,
			PendingTimeoutMs: timeoutMs,
		},
	}}
}
