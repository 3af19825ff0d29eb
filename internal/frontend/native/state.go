package native

import (
	"cmp"
	"maps"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// state answers an operator's question from what the allocator itself goes by.
func (p *Frontend) state(now placement.Millis, q *pb.Query) *pb.State {
	s := &pb.State{Revision: p.record.Revision()}
	most := int(cmp.Or(q.Most, 1000))
	switch q.What {
	case pb.Query_WORKLOADS:
		ids := slices.Sorted(maps.Keys(p.wls))
		s.LeftOut = uint32(max(0, len(ids)-most))
		for _, id := range ids[:min(len(ids), most)] {
			s.Workloads = append(s.Workloads, p.workloadState(now, id))
		}
	case pb.Query_GANGS:
		s.Gangs, s.LeftOut = p.gangStates(now, most)
	case pb.Query_NODES:
		s.LeftOut = uint32(max(0, len(p.nodes)-most))
		residents, out := map[placement.NodeID]uint32{}, map[placement.NodeID]uint32{}
		for _, wl := range p.wls {
			if len(wl.nodes) > 0 && wl.answer == allocator.Placed {
				residents[wl.nodes[len(wl.nodes)-1]]++
			} else if len(wl.nodes) > 0 {
				out[wl.nodes[len(wl.nodes)-1]]++
			}
		}
		for _, n := range p.nodes[:min(len(p.nodes), most)] {
			status := p.nodeStatus(now, n)
			status.Residents, status.BindsOut = residents[n.id], out[n.id]
			s.Nodes = append(s.Nodes, status)
		}
	}
	return s
}

func (p *Frontend) workloadState(now placement.Millis, id placement.WorkloadID) *pb.WorkloadState {
	wl := p.wls[id]
	w := &pb.WorkloadState{
		Workload: uint64(id), Owner: wl.owner, Ask: wl.ask.Ask, Key: wl.ask.Key, Service: wl.ask.Service,
		Group: wl.ask.Group, Cores: wl.ask.Cores, Memory: wl.ask.Memory, Binds: uint32(len(wl.nodes)),
		SinceMs: float64(now - wl.since), State: "pending",
	}
	switch {
	case wl.stopped:
		w.State = "stopping"
	case wl.answer == allocator.Placed:
		w.State = "placed"
	}
	w.Node = uint32(wl.last())
	return w
}

func (p *Frontend) nodeStatus(now placement.Millis, n *node) *pb.NodeStatus {
	s := &pb.NodeStatus{
		Id: uint32(n.id), Kind: n.kind, Zone: n.zone, Address: n.addr, FreeCores: n.entry.FreeCores,
		FreeMemory: n.entry.FreeMemory, ListedMs: float64(now - n.listed), LastRefusal: n.refusal,
		State:      [...]string{"ready", "draining", "gone"}[n.told().State],
		Connection: "none",
	}
	switch {
	case n.ready:
		s.Connection = "open"
	case n.dialling:
		s.Connection = "dialling"
	}
	return s
}
