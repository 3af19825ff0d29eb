package native

import (
	"fmt"

	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// node is a node that the discovery service has listed. The fields of listing come from that service and are changed by
// membership; nodeSessions changes the session and what the node reports itself.
type node struct {
	id placement.NodeID
	listing
	entry         placement.Node   // of the discovery service
	incarnation   uint64           // the latest that the service or the node itself has named
	updatedAt     placement.Millis // when the service last listed it
	draining      bool             // as the node reports
	lastRejection string           // of a connection or a bind, for operators
	session       nodeSession
}

// listing is what the discovery service says of a node, in the protocol's names.
type listing struct {
	kind    string
	zone    string
	cell    string // with its zone in front
	address string
}

// sessionState is the state of a connection that this side dials.
type sessionState uint8

const (
	sessionDisconnected sessionState = iota
	sessionConnecting                // dialed, and the peer has not sent its hello
	sessionConnected
)

// String returns the state's name for operators. The names are part of the command line's output.
func (s sessionState) String() string {
	switch s {
	case sessionDisconnected:
		return "none"
	case sessionConnecting:
		return "dialling"
	case sessionConnected:
		return "open"
	}
	return fmt.Sprintf("sessionState(%d)", uint8(s))
}

// nodeSession is the connection to a node.
type nodeSession struct {
	state    sessionState
	conn     transport.ConnID // 0 while disconnected
	failures int              // dials that failed since the node was last connected
	dials    uint64           // in all
}

// connected reports whether the node has sent its hello, so that frames may be sent to it.
func (n *node) connected() bool { return n.session.state == sessionConnected }

// state is the node's state for placement. A node that reports that it is draining counts as draining even while the
// discovery service lists it as ready: the service learns of it later. That ends when the node reports otherwise or is
// restarted.
func (n *node) state() placement.NodeState {
	if n.draining && n.entry.State == placement.Ready {
		return placement.Draining
	}
	return n.entry.State
}

// placementEntry is the node as the engine sees it.
func (n *node) placementEntry() placement.Node {
	entry := n.entry
	entry.State = n.state()
	return entry
}

// setIncarnation records that the node was started, if the incarnation is not the known one. The start time is computed
// once for each incarnation: the delay of messages differs, and the placement module would take another start time for
// another start. A negative upFor, in ms, means longer ago than is remembered.
func (n *node) setIncarnation(now placement.Millis, incarnation uint64, upFor float64) {
	if n.incarnation == incarnation {
		return
	}
	n.incarnation = incarnation
	n.draining = false
	n.entry.StartedAt = placement.DistantPast
	if upFor >= 0 {
		n.entry.StartedAt = now - placement.Millis(upFor)
	}
}
