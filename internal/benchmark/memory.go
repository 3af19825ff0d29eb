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

// Memory is the heap memory of an allocator for placed workloads.
type Memory struct {
	Residents        int     `json:"residents"`
	Bytes            uint64  `json:"bytes"`
	BytesPerResident float64 `json:"bytes_each"`
}

// MeasureMemory measures the heap memory of placed workloads in the engine, placement module and native frontend.
func MeasureMemory(residents int) (Memory, error) {
	before := heapSize()
	frontend := frontendWithResidents(residents)
	after := heapSize()
	if held := frontend.WorkloadCount(); held != residents {
		return Memory{}, fmt.Errorf("adopt the residents: %d of %d adopted", held, residents)
	}
	runtime.KeepAlive(frontend)
	memory := Memory{Residents: residents, Bytes: after - min(before, after)}
	memory.BytesPerResident = float64(memory.Bytes) / float64(residents)
	return memory, nil
}

// heapSize returns the size of reachable objects in bytes. The second collection frees the objects whose finalizers ran
// after the first one.
func heapSize() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// frontendWithResidents returns an allocator's frontend that has adopted workloads from 1,000 nodes over the native
// protocol.
func frontendWithResidents(residents int) *native.Frontend {
	network := &discardNetwork{}
	frontend := native.New(frontendConfig("list"))
	frontend.Start(0, network)
	discovery := network.last
	frontend.Opened(0, discovery)
	frontend.Received(0, discovery, transport.HelloFrame(discoveryHello()))
	var entries []*pb.NodeEntry
	for i := range memoryNodes {
		entries = append(entries, nodeEntry(i, 1, fmt.Sprint(i)))
	}
	frontend.Received(0, discovery, snapshotFrame(entries))
	perNode := (residents + memoryNodes - 1) / memoryNodes
	for i := range memoryNodes {
		first := min(i*perNode, residents)
		afterLast := min(first+perNode, residents)
		hello := nodeHello(i)
		for id := uint64(first) + 1; id <= uint64(afterLast); id++ {
			client := fmt.Sprintf("owner-%d", id%memoryClients)
			hello.RunningWorkloads = append(hello.RunningWorkloads, resident(id, client, pendingTimeout))
		}
		conn := discovery + 1 + transport.ConnID(i)
		frontend.Opened(0, conn)
		frontend.Received(0, conn, transport.HelloFrame(hello))
	}
	return frontend
}

// discardNetwork is a frontend's network that discards all frames that are sent, and receives none.
type discardNetwork struct{ last transport.ConnID } // last dialed connection

func (n *discardNetwork) Dial(string) transport.ConnID {
	n.last++
	return n.last
}

func (*discardNetwork) Send(transport.ConnID, *pb.Frame) {}
func (*discardNetwork) Close(transport.ConnID)           {}
func (*discardNetwork) WakeAt(placement.Millis)          {}
func (*discardNetwork) Now() placement.Millis            { return 0 }
