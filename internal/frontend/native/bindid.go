package native

import (
	"math"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// adoptedBind names the bind of an adopted workload: one of an earlier incarnation, or one that this one had abandoned.
type adoptedBind struct {
	node        placement.NodeID
	incarnation uint64
	workload    uint64
	number      uint32
}

// adoptedBindOf returns the name of a bind to that node.
func adoptedBindOf(node placement.NodeID, b *pb.BindID) adoptedBind {
	return adoptedBind{node, b.Incarnation, b.Workload, b.Number}
}

// bindID is the identity of a workload's last bind on the wire.
func (t *workloadTable) bindID(w *workload) *pb.BindID {
	if w.adopted != nil {
		return w.adopted
	}
	return &pb.BindID{
		Allocator:   t.allocator,
		Incarnation: t.incarnation,
		Workload:    uint64(w.id),
		Number:      uint32(w.lastBind()),
	}
}

// offer is a workload's last bind as it is sent, without the time until which it may be accepted.
func (t *workloadTable) offer(now placement.Millis, w *workload) *pb.Offer {
	offer := &pb.Offer{
		Bind:    t.bindID(w),
		Client:  w.client,
		Request: w.request,
	}
	if w.gang != nil {
		offer.Gang = w.gang.offerPart(now, w.part)
	}
	return offer
}

// find returns the workload and the number of its bind that a node names, if it is a bind of ours to that node.
func (t *workloadTable) find(node placement.NodeID, b *pb.BindID) (w *workload, bind int, ok bool) {
	if b == nil || b.Allocator != t.allocator {
		return nil, 0, false
	}
	if id, adopted := t.byAdopted[adoptedBindOf(node, b)]; adopted {
		return t.byID[id], 0, true
	}
	if b.Incarnation != t.incarnation || b.Workload > math.MaxUint32 {
		return nil, 0, false
	}
	w, held := t.byID[placement.WorkloadID(b.Workload)]
	if !held || w.adopted != nil || int(b.Number) >= len(w.bindNodes) || w.bindNodes[b.Number] != node {
		return nil, 0, false
	}
	return w, int(b.Number), true
}
