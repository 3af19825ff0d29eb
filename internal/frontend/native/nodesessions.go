package native

import (
	"grebeglade/internal/eventlog"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// connectTimeout is the time limit, in ms, from the dial to the beginning of the node's hello.
const connectTimeout = placement.Millis(250)

// Values of Detail in events of the kind NodeConnection.
const (
	nodeDisconnected uint8 = iota
	nodeConnected
)

// nodeSessions manages the connections to the nodes: it dials the nodes, completes the handshakes and passes the frames
// that follow to their handlers.
//
// Unlike on the platform, where nodes are dialed on demand and connections are evicted at a limit, every listed node
// stays connected: its hello lists the workloads that run there, and the node table limits the connections.
type nodeSessions struct {
	*environment
	nodes        *nodeTable
	connections  *connections
	replies      *replyHandler
	healthChecks *healthChecker
	reconciler   *reconciler
}

// dial connects to a node. It does nothing if the node is connected, being dialed or removed, or has no address.
func (s *nodeSessions) dial(now placement.Millis, n *node) {
	if n.session.state != sessionDisconnected || n.address == "" || n.entry.State == placement.Removed {
		return
	}
	conn := s.network.Dial(n.address)
	n.session.state = sessionConnecting
	n.session.conn = conn
	n.session.dials++
	s.connections.add(conn, &connection{role: pb.Role_NODE, node: n})
	deadline := helloDeadline{begins: now + connectTimeout, complete: noDeadline}
	s.scheduleHelloDeadline(deadline, conn, func(placement.Millis) {
		if n.session.conn == conn && n.session.state == sessionConnecting {
			s.connections.disconnect(conn, errConnectTimeout)
		}
	})
}

// closed handles the end of a node's connection or a failed dial.
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
		s.reportNodeLost(now, n)
		return
	}
	s.redial(now, n)
}

// redial dials a node after a backoff, unless it was dialed in the meantime, since that dial has its own retry. On the
// platform a flag ensures that there is only one timer. Here an update of the node list dials immediately, so a timer
// is valid only if the number of dials is unchanged.
func (s *nodeSessions) redial(now placement.Millis, n *node) {
	delay := s.host.RetryDelay(reconnectBackoff, n.session.failures)
	n.session.failures++
	dials := n.session.dials
	s.host.Schedule(now+delay, func(now placement.Millis) {
		if current, listed := s.nodes.get(n.id); listed && current == n && n.session.dials == dials {
			s.dial(now, n)
		}
	})
}

// reportNodeLost reports a removed node to the engine, which ends its workloads.
func (s *nodeSessions) reportNodeLost(now placement.Millis, n *node) {
	s.reportEnds(endInterrupted, func() { s.host.Engine().NodeLost(now, n.id) })
}

// received handles a frame of a node. Frames of unexpected kinds are ignored.
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

// handshake handles the first frame of a node. It closes the connection unless the frame is a hello of the dialed node.
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

// helloReceived handles a node's hello: its incarnation and uptime, its draining state, and the workloads of this
// allocator that run there.
func (s *nodeSessions) helloReceived(now placement.Millis, n *node, hello *pb.Hello) {
	n.session.state = sessionConnected
	n.session.failures = 0
	n.lastRejection = ""
	s.logConnection(now, n, nodeConnected)
	// A node's hello reports a restart long before the discovery service does. If it were ignored, offers in the
	// meantime could exceed the node's warm-up budget.
	if hello.Incarnation > n.incarnation {
		n.setIncarnation(now, hello.Incarnation, hello.UpForMs)
		s.updatePlacement(now, n)
	}
	s.setDraining(now, n, hello.Draining)
	s.reconciler.reconcile(now, n, hello.RunningWorkloads)
}

// setDraining records whether a node reports that it is draining. The state remains valid after the connection ends:
// the node's next hello or a restart changes it.
func (s *nodeSessions) setDraining(now placement.Millis, n *node, draining bool) {
	if n.draining == draining {
		return
	}
	n.draining = draining
	s.updatePlacement(now, n)
}

// updatePlacement passes a node's entry, including its own reports, to the engine.
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
