package benchmark

import (
	"fmt"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Fleet is the size of a measurement: the number of nodes, and the number of residents on each node. Residents are
// workloads that the allocator adopts at its start.
type Fleet struct {
	Nodes, Residents int
}

// Sizes and names of nodes and workloads in all measurements.
const (
	nodeCores, nodeMemory         = 64, 256
	workloadCores, workloadMemory = 0.5, 1
	freeShare                     = 0.5 // free share of a node's capacity in the node list
	nodesPerCell                  = 8
	services                      = 50
	pendingTimeout                = 6000 // ms
	groupName, kindName           = "g", "k"
	allocatorName                 = "bench"
)

// loadReport is the load report of every node.
var loadReport = placement.LoadReport{
	SpareCores:  nodeCores * 0.6,
	SpareMemory: nodeMemory * 0.6,
	Utilization: 0.4,
}

// protobufLoad returns loadReport as a protobuf message.
func protobufLoad() *pb.Load {
	l := loadReport
	return &pb.Load{
		SpareCores:  &l.SpareCores,
		SpareMemory: &l.SpareMemory,
		Utilization: &l.Utilization,
	}
}

// settings returns the settings of the placement module, with one group and one kind of node.
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

// nodes returns the fleet's nodes for the placement module.
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

// workload returns a workload of the size that clients request and that residents have.
func workload(id placement.WorkloadID) placement.Workload {
	return placement.Workload{
		ID:             id,
		Service:        placement.ServiceID(id % services),
		Cores:          workloadCores,
		Memory:         workloadMemory,
		PendingTimeout: pendingTimeout,
	}
}

// resident returns a workload that is running on a node when the allocator connects to the node.
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
