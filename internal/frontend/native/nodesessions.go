package native

import (
	"grebeglade/internal/eventlog"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// connectTimeout is how long, in ms, a node may take until its hello, counted from the dial.
const connectTimeout = placement.Millis(250)

// Details of the event log's events of the kind NodeConnection.
const (
	nodeDisconnected uint8 = iota
	nodeConnected
)

// nodeSessions holds the connections to the nodes: it dials the nodes and completes the handshakes. What the nodes
// send then goes to the parts that it concerns.
//
// Unlike on the platform, where a node is dialed on need and connections are evicted for others, every listed node
// stays connected: its hello names the workloads that run there, and the node table bounds the connections.
type nodeSessions struct {
	*environment
	nodes        *nodeTable
	connections  *connections
	replies      *replyHandler
	healthChecks *healthChecker
	reconciler   *reconciler
}

// dial connects to a node, unless it is connected or being dialed, or there is nothing to dial.
func (s *nodeSessions) dial(now placement.Millis, n *node) {
	if n.session.state != sessionDisconnected || n.address == "" || n.entry.State == placement.Removed {
		return
	}
	conn := s.network.Dial(n.address)
	n.session.state = sessionConnecting
	n.session.conn = conn
	n.session.dials++
	s.connections.add(conn, &connection{role: pb.Role_NODE, node: n})
	s.host.Schedule(now+connectTimeout, func(placement.Millis) {
		if n.session.conn == conn && n.session.state == sessionConnecting {
			s.connections.disconnect(conn, errConnectTimeout)
		}
	})
}

// closed handles the end of a node's connection, or that it could not be dialed.
func (s *nodeSessions) closed(now placement.Millis, conn transport.ConnID, n *node, reason error) {
	if n.session.conn != conn {
		return
	}
	wasConnected := n.connected()
	n.session.state = sessionDisconnected
	n.session.conn = 0
	if wasConnected {
		s.logConnection(now, n, nodeDisconnected)
		s.log.Info("connection to node lost", "node", n.id, "reason", reason)
		s.host.Engine().ConnectionLost(now, n.id)
		n.session.failures = 0
	}
	if n.entry.State == placement.Removed {
		s.lost(now, n)
		return
	}
	s.redial(now, n)
}

// redial dials a node after a backoff, unless it was dialed meanwhile: that dial has a retry of its own. On the
// platform a flag keeps the timer to one; here an update of the node list dials at once, so that timers are
// distinguished by the number of dials before them.
func (s *nodeSessions) redial(now placement.Millis, n *node) {
	delay := s.host.RetryDelay(reconnectBackoff, n.session.failures)
	n.session.failures++
	dials := n.session.dials
	s.host.Schedule(now+delay, func(now placement.Millis) {
		if current, known := s.nodes.get(n.id); known && current == n && n.session.dials == dials {
			s.dial(now, n)
		}
	})
}

// lost ends the workloads of a node that was removed.
func (s *nodeSessions) lost(now placement.Millis, n *node) {
	s.reportEnds(endInterrupted, func() { s.host.Engine().NodeLost(now, n.id) })
}

// received handles a frame of a node. Frames of other kinds than those here are ignored.
func (s *nodeSessions) received(now placement.Millis, conn transport.ConnID, n *node, frame *pb.Frame) {
	if n.session.conn != conn {
		return
	}
	if !n.connected() {
		s.handshake(now, conn, n, frame)
		return
	}
	switch body := frame.Body.(type) {
	case *pb.Frame_OfferReply:
		s.replies.offerReplied(now, n, body.OfferReply)
	case *pb.Frame_End:
		s.replies.ended(now, n, body.End)
	case *pb.Frame_UsageReport:
		s.replies.usageReported(now, n, body.UsageReport)
	case *pb.Frame_HealthReply:
		s.healthChecks.replied(now, n, body.HealthReply)
	case *pb.Frame_Drain:
		s.setDraining(now, n, body.Drain.Draining)
	}
}

// handshake handles the first frame of a node: a hello of the node that was dialed, or the connection ends.
func (s *nodeSessions) handshake(now placement.Millis, conn transport.ConnID, n *node, frame *pb.Frame) {
	hello, err := helloOf(frame, func(hello *pb.Hello) error {
		if hello.Role != pb.Role_NODE || placement.NodeID(hello.Node) != n.id {
			return errWrongNode
		}
		return nil
	})
	if err != nil {
		n.lastRejection = err.Error()
		s.log.Warn("node handshake failed", "node", n.id, "address", n.address, "reason", err)
		s.connections.disconnect(conn, err)
		return
	}
	s.helloReceived(now, n, hello)
}

// helloReceived handles a node's hello: since when it runs, whether it drains, and which of our workloads run there.
func (s *nodeSessions) helloReceived(now placement.Millis, n *node, hello *pb.Hello) {
	n.session.state = sessionConnected
	n.session.failures = 0
	n.lastRejection = ""
	s.logConnection(now, n, nodeConnected)
	// A restarted node reports that itself, long before the discovery service does. Without that it would be offered
	// workloads beyond its warm-up budget meanwhile.
	if hello.Incarnation > n.incarnation {
		n.setIncarnation(now, hello.Incarnation, hello.UpForMs)
		s.updatePlacement(now, n)
	}
	s.setDraining(now, n, hello.Draining)
	s.reconciler.reconcile(now, n, hello.RunningWorkloads)
}

// setDraining records a node's own statement of whether it drains. It outlasts the connection: the node takes it
// back at its next hello, or by a restart.
func (s *nodeSessions) setDraining(now placement.Millis, n *node, draining bool) {
	if n.draining == draining {
		return
	}
	n.draining = draining
	s.updatePlacement(now, n)
}

// updatePlacement passes the entry of a node, with what the node reported itself, to the engine.
func (s *nodeSessions) updatePlacement(now placement.Millis, n *node) {
	s.host.Engine().UpdateNodes(now, placement.Delta, []placement.Node{n.placementEntry()})
}

// logConnection adds the start or end of a connection to the event log.
func (s *nodeSessions) logConnection(now placement.Millis, n *node, detail uint8) {
	s.eventLog.Add(eventlog.Event{
		At:     now,
		Kind:   eventlog.NodeConnection,
		Detail: detail,
		Node:   n.id,
	})
}
