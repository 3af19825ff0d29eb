package native

import (
	"math"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// adoptedBindKey identifies the bind of an adopted workload: one that an earlier incarnation made, or one that the
// current incarnation abandoned.
type adoptedBindKey struct {
	node        placement.NodeID
	incarnation uint64
	workload    uint64
	number      uint32
}

func adoptedBindKeyOf(node placement.NodeID, b *pb.BindID) adoptedBindKey {
	return adoptedBindKey{node, b.Incarnation, b.Workload, b.Number}
}

// bindID returns the protocol's id of a workload's last bind.
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

// offer returns the offer of a workload's last bind, without the acceptance timeout.
func (t *workloadTable) offer(now placement.Millis, w *workload) *pb.Offer {
	offer := &pb.Offer{
		Bind:    t.bindID(w),
		Client:  w.client,
		Request: w.request,
	}
	if w.gang != nil {
		offer.Gang = w.gang.partDescription(now, w.part)
	}
	return offer
}

// findByBind returns the workload and the bind number of a bind id that a node reports. ok is false unless the bind is
// one of this allocator to that node.
func (t *workloadTable) findByBind(node placement.NodeID, b *pb.BindID) (w *workload, bind int, ok bool) {
	if b == nil || b.Allocator != t.allocator {
		return nil, 0, false
	}
	if id, adopted := t.byAdopted[adoptedBindKeyOf(node, b)]; adopted {
		return t.byID[id], 0, true
	}
	if b.Incarnation != t.incarnation || b.Workload > math.MaxUint32 {
		return nil, 0, false
	}
	w, exists := t.byID[placement.WorkloadID(b.Workload)]
	if !exists || w.adopted != nil || int(b.Number) >= len(w.bindNodes) || w.bindNodes[b.Number] != node {
		return nil, 0, false
	}
	return w, int(b.Number), true
}
