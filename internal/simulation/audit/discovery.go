package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// notDraining is the value of listedDrainingSince and reportedDrainingSince while the node is not draining.
const notDraining = placement.Millis(-1)

// nodeView is the information that an allocator has received about a node.
type nodeView struct {
	incarnation           uint64
	removed               bool             // removed from the discovery service's list, or listed as removed
	listedDrainingSince   placement.Millis // start of drain or removal in the discovery service's list, or notDraining
	reportedDrainingSince placement.Millis // start of drain as reported by the node itself, or notDraining
}

// view returns an allocator's view of a node, which it adds if there is none.
func (s *allocatorState) view(node uint32) *nodeView {
	v := s.nodes[node]
	if v == nil {
		v = &nodeView{listedDrainingSince: notDraining, reportedDrainingSince: notDraining}
		s.nodes[node] = v
	}
	return v
}

// setReportedDraining records whether the node itself reports that it is draining.
func (v *nodeView) setReportedDraining(now placement.Millis, draining bool) {
	switch {
	case !draining:
		v.reportedDrainingSince = notDraining
	case v.reportedDrainingSince == notDraining:
		v.reportedDrainingSince = now
	}
}

// setListed records the discovery service's entry for a node, or nil if the node is not listed.
func (v *nodeView) setListed(now placement.Millis, entry *pb.NodeEntry) {
	if entry != nil && entry.State == pb.NodeEntry_READY {
		v.listedDrainingSince = notDraining
		v.removed = false
		return
	}
	if v.listedDrainingSince == notDraining {
		v.listedDrainingSince = now
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

// ignores reports whether an allocator ignores an update: a failed poll, an update older than the last one, or one of
// another epoch that is not a snapshot.
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

// applyUpdate applies an update to the views of nodes, and returns the IDs of the nodes that it reports as removed, in
// no particular order.
func (s *allocatorState) applyUpdate(now placement.Millis, update *pb.NodeListUpdate) (removed []uint32) {
	snapshot := update.Kind == pb.NodeListUpdate_SNAPSHOT
	current, outdated := s.currentEntries(update)
	for node, view := range s.nodes {
		entry := current[node]
		ready := entry != nil && entry.State == pb.NodeEntry_READY
		notInUpdate := entry == nil && !snapshot
		if !ready && (notInUpdate || outdated[node]) {
			continue
		}
		view.setListed(now, entry)
		if view.removed {
			removed = append(removed, node)
		}
	}
	return removed
}

// currentEntries returns the entries of an update by node, and the nodes whose entry is outdated: the allocator has
// received a later incarnation of them.
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
			view.reportedDrainingSince = notDraining
		}
		view.incarnation = entry.Incarnation
	}
	return current, outdated
}

// endBindsOnRemovedNode ends an allocator's binds on a node that the discovery service has removed, unless the node is
// still connected.
func (a *Auditor) endBindsOnRemovedNode(process *observer.Process, node uint32) {
	s := a.allocator(process.Name)
	if s.view(node).removed && !a.connections.connectsNode(process, node) {
		s.endBinds(node, nil)
	}
}
