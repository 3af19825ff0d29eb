package native

import (
	pb "grebeglade/proto/grebeglade/v1"
)

// nodeAddress returns the address that listNode sets for a node.
func nodeAddress(id uint32) string { return "node-" + string(rune('0'+id)) }

// listNode publishes a delta with one node.
func (h *testHarness) listNode(id uint32, state pb.NodeEntry_State, incarnation uint64, upForMs float64) {
	h.revision++
	h.publishFirstSnapshot()
	entry := listEntry(id, "z", "c")
	entry.State = state
	entry.Incarnation = incarnation
	entry.UpForMs = upForMs
	entry.Address = nodeAddress(id)
	h.receive(h.discoveryConn, nodeListUpdate(&pb.NodeListUpdate{
		Kind:     pb.NodeListUpdate_DELTA,
		Epoch:    1,
		Revision: h.revision,
		Entries:  []*pb.NodeEntry{entry},
	}))
}

// publishSnapshot publishes a snapshot with the given nodes.
func (h *testHarness) publishSnapshot(entries ...*pb.NodeEntry) {
	h.publishFirstSnapshot()
	h.revision++
	h.receive(h.discoveryConn, nodeListUpdate(&pb.NodeListUpdate{
		Kind:     pb.NodeListUpdate_SNAPSHOT,
		Epoch:    1,
		Revision: h.revision,
		Entries:  entries,
	}))
}

// publishFirstSnapshot publishes an empty snapshot with revision 0 if the current revision is 1.
func (h *testHarness) publishFirstSnapshot() {
	if h.revision == 1 {
		h.receive(h.discoveryConn, nodeListUpdate(&pb.NodeListUpdate{
			Kind:     pb.NodeListUpdate_SNAPSHOT,
			Epoch:    1,
			Revision: 0,
		}))
	}
}

// reconnectDiscovery ends the connection to the discovery service, and opens the next one that is dialed.
func (h *testHarness) reconnectDiscovery() {
	h.closeConn(h.discoveryConn, errReset)
	h.advanceTo(200)
	h.discoveryConn = h.network.dialed[discoveryAddress]
	h.openConn(h.discoveryConn)
}
