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
	entry         placement.Node   // latest entry from the discovery service
	incarnation   uint64           // latest incarnation that the service or the node reported
	updatedAt     placement.Millis // time of the last listing by the service
	draining      bool             // whether the node reports that it is draining
	lastRejection string           // text of the last rejected handshake or bind since the last hello, for operators
	session       nodeSession
}

// listing has the attributes that the discovery service reports for a node, by their protocol names.
type listing struct {
	kind    string
	zone    string
	cell    string // "zone/cell"
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
	failures int              // failed dials and lost connections since the last hello
	dials    uint64           // total number of dials
}

// connected reports whether the node has sent its hello, so that frames may be sent to it.
func (n *node) connected() bool { return n.session.state == sessionConnected }

// replyQueued reports whether frames of the node were received and not handled yet.
func (n *node) replyQueued(network transport.FrameNetwork) bool {
	return n.connected() && transport.Queued(network, n.session.conn)
}

// state is the node's state for placement. A node that reports that it is draining counts as draining even while the
// discovery service lists it as ready, since the node list lags behind. A report of the node or a restart clears
// the state.
func (n *node) state() placement.NodeState {
	if n.draining && n.entry.State == placement.Ready {
		return placement.Draining
	}
	return n.entry.State
}

// placementEntry returns the node's entry for the engine.
func (n *node) placementEntry() placement.Node {
	entry := n.entry
	entry.State = n.state()
	return entry
}

// setIncarnation records a restart of the node if the incarnation changed. The start time is computed only once per
// incarnation: message delays vary, and the placement module would treat a different start time as another restart.
// upFor is the uptime in ms; if it is negative, the node has been up for a long but unknown time.
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
