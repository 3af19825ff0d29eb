package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// notDraining is the value of a time since which a node is draining, while it is not.
const notDraining = placement.Millis(-1)

// nodeView is what an allocator has been notified of about a node.
type nodeView struct {
	incarnation        uint64
	removed            bool             // from the discovery service's list
	drainedByDiscovery placement.Millis // since when the service lists it as draining or removed, or notDraining
	drainedByNode      placement.Millis // since when the node itself says that it is draining, or notDraining
}

// view returns an allocator's view of a node, which is empty at first.
func (s *allocatorState) view(node uint32) *nodeView {
	v := s.nodes[node]
	if v == nil {
		v = &nodeView{drainedByDiscovery: notDraining, drainedByNode: notDraining}
		s.nodes[node] = v
	}
	return v
}

// setDrainedByNode records a node's own statement that it is draining, or not.
func (v *nodeView) setDrainedByNode(now placement.Millis, draining bool) {
	switch {
	case !draining:
		v.drainedByNode = notDraining
	case v.drainedByNode == notDraining:
		v.drainedByNode = now
	}
}

// setListed records the discovery service's entry of a node, or nil if it lists the node no more.
func (v *nodeView) setListed(now placement.Millis, entry *pb.NodeEntry) {
	if entry != nil && entry.State == pb.NodeEntry_READY {
		v.drainedByDiscovery = notDraining
		v.removed = false
		return
	}
	if v.drainedByDiscovery == notDraining {
		v.drainedByDiscovery = now
	}
	v.removed = entry == nil || entry.State == pb.NodeEntry_REMOVED
}

// discoveryUpdate handles an update of the node list at an allocator.
func (a *Auditor) discoveryUpdate(update *pb.NodeListUpdate, seen frame) {
	s := a.allocator(seen.process.Name)
	if s.ignores(update) {
		return
	}
	s.epoch = update.Epoch
	s.revision = update.Revision
	for _, node := range s.applyUpdate(seen.at, update) {
		a.endBindsOnRemovedNode(seen.process, node)
	}
}

// ignores reports whether an update does not count: it holds nothing, is older than the last one, or belongs to another
// epoch and is no snapshot.
func (s *allocatorState) ignores(update *pb.NodeListUpdate) bool {
	switch {
	case update.Kind == pb.NodeListUpdate_POLL_FAILED:
		return true
	case update.Epoch == s.epoch:
		return update.Revision < s.revision
	default:
		return update.Kind != pb.NodeListUpdate_SNAPSHOT
	}
}

// applyUpdate updates the views of all nodes, and returns the nodes that are removed, in no particular order.
func (s *allocatorState) applyUpdate(now placement.Millis, update *pb.NodeListUpdate) (removed []uint32) {
	snapshot := update.Kind == pb.NodeListUpdate_SNAPSHOT
	current, outdated := s.currentEntries(update)
	for node, view := range s.nodes {
		entry := current[node]
		ready := entry != nil && entry.State == pb.NodeEntry_READY
		unmentioned := entry == nil && !snapshot
		if !ready && (unmentioned || outdated[node]) {
			continue
		}
		view.setListed(now, entry)
		if view.removed {
			removed = append(removed, node)
		}
	}
	return removed
}

// currentEntries returns the entries of an update by node, and the nodes with an entry that is about an earlier
// incarnation than the allocator knows of.
func (s *allocatorState) currentEntries(
	update *pb.NodeListUpdate,
) (current map[uint32]*pb.NodeEntry, outdated map[uint32]bool) {
	current = make(map[uint32]*pb.NodeEntry, len(update.Entries))
	outdated = map[uint32]bool{}
	for _, entry := range update.Entries {
		view := s.view(entry.Id)
		if entry.Incarnation < view.incarnation {
			delete(current, entry.Id)
			outdated[entry.Id] = true
			continue
		}
		current[entry.Id] = entry
		if entry.Incarnation > view.incarnation {
			view.drainedByNode = notDraining
		}
		view.incarnation = entry.Incarnation
	}
	return current, outdated
}

// endBindsOnRemovedNode ends an allocator's binds on a node if the discovery service has removed it and it is not
// connected any more.
func (a *Auditor) endBindsOnRemovedNode(process *observer.Process, node uint32) {
	s := a.allocator(process.Name)
	if s.view(node).removed && !a.connections.connectsNode(process, node) {
		s.endBinds(node, nil)
	}
}
