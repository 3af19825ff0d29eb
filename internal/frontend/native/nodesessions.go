package native

import (
	"grebeglade/internal/eventlog"
	"grebeglade/internal/frontend"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	connectTimeout     = placement.Millis(250) // ms; a node that does not connect by then is unreachable
	healthCheckTimeout = placement.Millis(250) // ms; a health check without a reply by then has failed
)

// Details of the event log's events of the kind NodeConnection.
const (
	nodeDisconnected uint8 = iota
	nodeConnected
)

// nodeSessions are the connections to the nodes. They dial the nodes, and hand the engine what the nodes send.
type nodeSessions struct {
	*core
	table        *nodeTable
	connections  *connections
	workloads    *workloadTable
	binds        *binds
	gangs        *gangs
	reconciler   *reconciler
	healthChecks *frontend.HealthChecks
}

// dial connects to a node, unless it is connected or being dialled, or there is nothing to dial.
func (s *nodeSessions) dial(now placement.Millis, n *node) {
	if n.session.state != sessionDisconnected || n.address == "" || n.entry.State == placement.Removed {
		return
	}
	c := s.network.Dial(n.address)
	n.session.state, n.session.conn = sessionConnecting, c
	n.session.dials++
	s.connections.add(c, &connection{role: pb.Role_NODE, node: n})
	s.Schedule(now+connectTimeout, func(placement.Millis) {
		if n.session.conn == c && n.session.state == sessionConnecting {
			s.connections.disconnect(c, errConnectTimeout)
		}
	})
}

// closed handles the end of a node's connection, or that dialling it failed.
func (s *nodeSessions) closed(now placement.Millis, c transport.ConnID, n *node, reason error) {
	if n.session.conn != c {
		return
	}
	wasConnected := n.connected()
	n.session.state, n.session.conn = sessionDisconnected, 0
	if wasConnected {
		s.eventLog.Add(eventlog.Event{At: now, Kind: eventlog.NodeConnection, Detail: nodeDisconnected, Node: n.id})
		s.log.Info("connection to node lost", "node", n.id, "reason", reason)
		s.Engine().ConnectionLost(now, n.id)
		n.session.failures = 0
	}
	if n.entry.State == placement.Removed {
		s.lost(now, n)
		return
	}
	s.redial(now, n)
}

// redial dials a node after a backoff, unless it was dialled meanwhile: that dial has a retry of its own.
func (s *nodeSessions) redial(now placement.Millis, n *node) {
	delay := s.RetryDelay(reconnectBackoff, n.session.failures)
	n.session.failures++
	dials := n.session.dials
	s.Schedule(now+delay, func(now placement.Millis) {
		if current, known := s.table.get(n.id); known && current == n && n.session.dials == dials {
			s.dial(now, n)
		}
	})
}

// lost ends the workloads of a node that was removed.
func (s *nodeSessions) lost(now placement.Millis, n *node) {
	s.reportEnds(true, func() { s.Engine().NodeLost(now, n.id) })
}

// received handles a frame of a node.
func (s *nodeSessions) received(now placement.Millis, c transport.ConnID, n *node, f *pb.Frame) {
	if n.session.conn != c {
		return
	}
	if !n.connected() {
		s.handshake(now, c, n, f)
		return
	}
	switch b := f.Body.(type) {
	case *pb.Frame_OfferReply:
		s.offerAnswered(now, n, b.OfferReply)
	case *pb.Frame_End:
		s.ended(now, n, b.End)
	case *pb.Frame_UsageReport:
		s.noted(now, n, b.UsageReport)
	case *pb.Frame_HealthReply:
		s.healthChecks.Complete(now, b.HealthReply.Id, n.id, loadOf(b.HealthReply.Load))
	case *pb.Frame_Drain:
		s.setDraining(now, n, b.Drain.Draining)
	}
}

// handshake handles the first frame of a node: a hello of the node that was dialled, or the connection ends.
func (s *nodeSessions) handshake(now placement.Millis, c transport.ConnID, n *node, f *pb.Frame) {
	h, err := helloOf(f, func(h *pb.Hello) error {
		if h.Role != pb.Role_NODE || placement.NodeID(h.Node) != n.id {
			return errWrongNode
		}
		return nil
	})
	if err != nil {
		n.lastRefusal = err.Error()
		s.log.Warn("node handshake failed", "node", n.id, "address", n.address, "reason", err)
		s.connections.disconnect(c, err)
		return
	}
	s.helloReceived(now, n, h)
}

// helloReceived handles a node's hello: since when it runs, whether it drains, and which of our workloads run there.
func (s *nodeSessions) helloReceived(now placement.Millis, n *node, h *pb.Hello) {
	n.session.state, n.session.failures, n.lastRefusal = sessionConnected, 0, ""
	s.eventLog.Add(eventlog.Event{At: now, Kind: eventlog.NodeConnection, Detail: nodeConnected, Node: n.id})
	// A restarted node reports that itself, long before the discovery service does. Without that it would be offered workloads
	// beyond its warm-up budget meanwhile.
	if h.Incarnation > n.incarnation {
		n.setIncarnation(now, h.Incarnation, h.UpForMs)
		s.updatePlacement(now, n)
	}
	s.setDraining(now, n, h.Draining)
	s.reconciler.reconcile(now, n, h.RunningWorkloads)
}

// setDraining notes a node's own account of whether it drains. It outlasts the connection: the node takes it back at its
// next hello, or by a restart.
func (s *nodeSessions) setDraining(now placement.Millis, n *node, draining bool) {
	if n.draining == draining {
		return
	}
	n.draining = draining
	s.updatePlacement(now, n)
}

// updatePlacement passes the entry of a node, with what the node reported itself, to the engine.
func (s *nodeSessions) updatePlacement(now placement.Millis, n *node) {
	s.Engine().UpdateNodes(now, placement.Delta, []placement.Node{n.placementEntry()})
}

// findBind finds the bind that a node's message is about. Messages about no bind of ours are counted.
func (s *nodeSessions) findBind(n *node, b *pb.BindID) (wl *workload, bind int, ok bool) {
	wl, bind, ok = s.workloads.find(n.id, b)
	if !ok {
		s.counters.UnmatchedReplies++
		s.log.Debug("message of node about unknown bind", "node", n.id, "incarnation", b.GetIncarnation(),
			"workload", b.GetWorkload(), "bind", b.GetNumber())
	}
	return wl, bind, ok
}

// offerAnswered handles a node's answer to an offer.
func (s *nodeSessions) offerAnswered(now placement.Millis, n *node, a *pb.OfferReply) {
	wl, bind, ok := s.findBind(n, a.Bind)
	switch {
	case !ok:
		if l := loadOf(a.Load); l != nil {
			s.Engine().ReportLoad(now, n.id, *l)
		}
	case a.Accepted:
		s.Engine().BindConfirmed(now, wl.id, bind, loadOf(a.Load))
	case s.Engine().IsPlaced(wl.id, bind):
		// A node may not reject what it accepted. The workload's end will be reported by itself.
		s.counters.UnmatchedReplies++
	default:
		s.rejected(now, n, wl, bind, a)
	}
}

// rejected handles a node's rejection of an offer.
func (s *nodeSessions) rejected(now placement.Millis, n *node, wl *workload, bind int, a *pb.OfferReply) {
	n.lastRefusal = a.Text
	s.binds.rejected(wl, a.Bind)
	s.recorder.nodeRejection(now, wl, n.id, a.Text)
	s.Engine().BindEnded(now, wl.id, bind, n.id, placement.Result{
		Kind: placement.RejectedByNode, Reason: reasonOf(a.Reason), Final: wl.state.withdrawn(), Load: loadOf(a.Load),
	})
}

// ended handles the end of a workload that its node reports.
func (s *nodeSessions) ended(now placement.Millis, n *node, e *pb.End) {
	wl, bind, ok := s.findBind(n, e.Bind)
	if !ok {
		return
	}
	result := placement.Result{Kind: placement.OutcomeUnknown, Reason: reasonOf(e.Reason), Final: true, Load: loadOf(e.Load)}
	if !s.Engine().IsPlaced(wl.id, bind) {
		result.Final = wl.state.withdrawn()
	}
	s.reportEnds(interrupts(e.Reason), func() { s.Engine().BindEnded(now, wl.id, bind, n.id, result) })
}

// noted handles what a node reports of a running workload.
func (s *nodeSessions) noted(now placement.Millis, n *node, note *pb.UsageReport) {
	wl, bind, ok := s.findBind(n, note.Bind)
	if !ok {
		return
	}
	kind, ok := noteKindOf(note.Kind)
	if !ok {
		return
	}
	s.Engine().ReportUsage(now, wl.id, bind, kind, note.Value)
	if kind == placement.Running && s.Engine().IsPlaced(wl.id, bind) {
		s.gangs.partRunning(wl)
	}
}

// checkHealth sends a health check to a node. One that is not connected fails it at once.
func (s *nodeSessions) checkHealth(id placement.NodeID) {
	n, known := s.table.get(id)
	if !known || !n.connected() {
		s.healthChecks.FailUnsent(id)
		return
	}
	check := s.healthChecks.Begin(id)
	s.network.Send(n.session.conn, &pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: &pb.HealthCheck{Id: check}}})
}
