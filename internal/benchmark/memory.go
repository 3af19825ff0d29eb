package benchmark

import (
	"fmt"
	"runtime"

	"grebeglade/internal/frontend/native"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	memoryNodes   = 1000
	memoryClients = 100
)

// Memory is the heap that an allocator needs for placed workloads.
type Memory struct {
	Residents        int     `json:"residents"`
	Bytes            uint64  `json:"bytes"`
	BytesPerResident float64 `json:"bytes_each"`
}

// MeasureMemory measures the memory of placed workloads, with what the native frontend keeps of them.
func MeasureMemory(residents int) (Memory, error) {
	before := heapSize()
	frontend := frontendWith(residents)
	after := heapSize()
	if held := frontend.WorkloadCount(); held != residents {
		return Memory{}, fmt.Errorf("%d of %d workloads are held", held, residents)
	}
	runtime.KeepAlive(frontend)
	m := Memory{Residents: residents, Bytes: after - min(before, after)}
	m.BytesPerResident = float64(m.Bytes) / float64(residents)
	return m, nil
}

// heapSize returns the bytes of reachable objects. The second collection frees what finalizers released in the first.
func heapSize() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// frontendWith returns an allocator that has adopted workloads from 1,000 nodes over the native protocol.
func frontendWith(residents int) *native.Frontend {
	network := &silentNetwork{}
	frontend := native.New(frontendConfig("list"))
	frontend.Start(0, network)
	discovery := network.last
	frontend.Opened(0, discovery)
	frontend.Received(0, discovery, transport.HelloFrame(&pb.Hello{Role: pb.Role_DISCOVERY, Name: "l", Incarnation: 1}))
	update := &pb.NodeListUpdate{Kind: pb.NodeListUpdate_SNAPSHOT, Epoch: 1, Revision: 1}
	for i := range memoryNodes {
		update.Entries = append(update.Entries, nodeEntry(i, 1, fmt.Sprint(i)))
	}
	frontend.Received(0, discovery, &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: update}})
	perNode := (residents + memoryNodes - 1) / memoryNodes
	for i := range memoryNodes {
		first := min(i*perNode, residents)
		afterLast := min(first+perNode, residents)
		hello := &pb.Hello{Role: pb.Role_NODE, Name: "n", Node: uint32(i + 1), Incarnation: 1, UpForMs: -1}
		for id := uint64(first) + 1; id <= uint64(afterLast); id++ {
			hello.RunningWorkloads = append(hello.RunningWorkloads, resident(id, fmt.Sprintf("owner-%d", id%memoryClients), pendingTimeout))
		}
		conn := discovery + 1 + transport.ConnID(i)
		frontend.Opened(0, conn)
		frontend.Received(0, conn, transport.HelloFrame(hello))
	}
	return frontend
}

// silentNetwork takes frames and sends none.
type silentNetwork struct{ last transport.ConnID }

func (n *silentNetwork) Dial(string) transport.ConnID {
	n.last++
	return n.last
}

func (*silentNetwork) Send(transport.ConnID, *pb.Frame) {}
func (*silentNetwork) Close(transport.ConnID)           {}
func (*silentNetwork) WakeAt(placement.Millis)          {}
func (*silentNetwork) Now() placement.Millis            { return 0 }
