package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// allocatorState is what an allocator knows, and what it has not ended yet.
type allocatorState struct {
	name        string
	incarnation uint64 // by its own hello
	pauses      []pause
	nodes       map[uint32]*nodeView
	openBinds   map[observer.BindKey]*bind
	epoch       uint64 // of the last discovery update that counted, and its revision
	revision    uint64
}

type pause struct{ from, until placement.Millis }

// nodeView is what an allocator has been notified of about a node.
type nodeView struct {
	incarnation        uint64
	removed            bool             // from the discovery service's list
	drainedByDiscovery placement.Millis // since when the discovery service lists it as draining or gone, or notDraining
	drainedByNode      placement.Millis // since when the node itself drains, or notDraining
}

// setDrain records a node's own statement that it drains, or does not.
func (v *nodeView) setDrain(now placement.Millis, draining bool) {
	if !draining {
		v.drainedByNode = notDraining
	} else if v.drainedByNode == notDraining {
		v.drainedByNode = now
	}
}

// peer is the process at the other end of a connection, by its hello.
type peer struct {
	role pb.Role
	name string
	node uint32
}

func (a *Auditor) allocator(name string) *allocatorState {
	s := a.allocators[name]
	if s == nil {
		s = &allocatorState{name: name, nodes: map[uint32]*nodeView{}, openBinds: map[observer.BindKey]*bind{}}
		a.allocators[name] = s
	}
	return s
}

func (s *allocatorState) view(node uint32) *nodeView {
	v := s.nodes[node]
	if v == nil {
		v = &nodeView{drainedByDiscovery: notDraining, drainedByNode: notDraining}
		s.nodes[node] = v
	}
	return v
}

// helloReceived records who is at the other end of a connection.
func (a *Auditor) helloReceived(now placement.Millis, p *observer.Process, c transport.ConnID, h *pb.Hello) {
	if a.peers[p] == nil {
		a.peers[p] = map[transport.ConnID]*peer{}
	}
	a.peers[p][c] = &peer{role: h.Role, name: h.Name, node: h.Node}
	if p.Role == pb.Role_ALLOCATOR && h.Role == pb.Role_NODE {
		a.reconcileNode(now, a.allocator(p.Name), h)
	}
}

// reconcileNode takes a node's list of the workloads that run on it: binds that it does not name have ended.
func (a *Auditor) reconcileNode(now placement.Millis, s *allocatorState, h *pb.Hello) {
	v := s.view(h.Node)
	v.incarnation = max(v.incarnation, h.Incarnation)
	// The end of a connection does not end a drain. Only the node does, by this hello or by a new incarnation.
	v.setDrain(now, h.Draining)
	named := map[observer.BindKey]bool{}
	for _, running := range h.RunningWorkloads {
		k := observer.KeyOf(running.Offer.Bind)
		named[k] = true
		// Workloads that an earlier incarnation placed belong to this one now, and count for the spread.
		if s.openBinds[k] == nil && k.Incarnation < s.incarnation {
			r := &request{
				ref: requestRef{running.Offer.Client, running.Offer.Request.RequestId}, ask: running.Offer.Request, allocator: s.name, excused: true,
			}
			s.openBinds[k] = &bind{key: k, node: h.Node, sentAt: now, closed: true, accepted: true, request: r}
		}
	}
	for k, b := range s.openBinds {
		if b.node == h.Node && !named[k] {
			delete(s.openBinds, k)
		}
	}
}

// endBindsOnRemovedNode ends the binds on a node that the discovery service has removed and that is not connected any more.
func (a *Auditor) endBindsOnRemovedNode(p *observer.Process, s *allocatorState, node uint32) {
	if !s.view(node).removed {
		return
	}
	for _, other := range a.peers[p] {
		if other.role == pb.Role_NODE && other.node == node {
			return
		}
	}
	for k, b := range s.openBinds {
		if b.node == node {
			delete(s.openBinds, k)
		}
	}
}

// atAllocator handles a frame at an allocator's end.
func (a *Auditor) atAllocator(now placement.Millis, p *observer.Process, c transport.ConnID, seen frame) {
	s := a.allocator(p.Name)
	other := a.peers[p][c]
	if other == nil {
		other = &peer{}
	}
	switch b := seen.message.Body.(type) {
	case *pb.Frame_PlaceRequest:
		a.requestReceived(p, requestRef{other.name, b.PlaceRequest.RequestId}, seen)
	case *pb.Frame_GangRequest:
		a.requestReceived(p, requestRef{other.name, b.GangRequest.RequestId}, seen)
	case *pb.Frame_Withdraw:
		if r := a.requests[requestRef{other.name, b.Withdraw.RequestId}]; r != nil {
			r.withdrawn = true
			r.frames = append(r.frames, seen)
		}
	case *pb.Frame_Answer:
		a.answerSent(now, a.requests[requestRef{other.name, b.Answer.RequestId}], b.Answer, seen)
	case *pb.Frame_NodeListUpdate:
		a.discoveryUpdate(now, p, s, b.NodeListUpdate)
	case *pb.Frame_Drain:
		s.view(other.node).setDrain(now, b.Drain.Draining)
	case *pb.Frame_Offer:
		a.offerSent(now, s, other.node, b.Offer, seen)
	case *pb.Frame_Stop:
		a.stopSent(now, s, c, b.Stop, seen)
	case *pb.Frame_OfferReply:
		s.offerAnswered(now, b.OfferReply, seen)
	case *pb.Frame_End:
		s.bindEnded(b.End, seen)
	}
}

func (a *Auditor) requestReceived(p *observer.Process, ref requestRef, seen frame) {
	if r := a.requests[ref]; r != nil {
		r.received, r.allocator = true, p.Name
		r.frames = append(r.frames, seen)
	}
}

func (a *Auditor) stopSent(now placement.Millis, s *allocatorState, c transport.ConnID, stop *pb.Stop, seen frame) {
	k := observer.KeyOf(stop.Bind)
	if seen.sent && !stop.OnlyWaiting && a.gangs.partBinds[k] {
		a.checkPartStop(now, c, k, seen)
	}
	if b := s.openBinds[k]; b != nil && b.key.Incarnation < s.incarnation {
		b.accepted = false
	}
}

// offerAnswered takes a node's reply. One that accepts after the offer's timeout is to a bind that was given up; its stop is on
// the way.
func (s *allocatorState) offerAnswered(now placement.Millis, reply *pb.OfferReply, seen frame) {
	b := s.openBinds[observer.KeyOf(reply.Bind)]
	if b == nil {
		return
	}
	b.request.frames = append(b.request.frames, seen)
	b.closed, b.accepted = true, reply.Accepted && now <= b.sentAt+b.timeout
	if !reply.Accepted {
		b.neverRan = true
		delete(s.openBinds, b.key)
	}
}

func (s *allocatorState) bindEnded(end *pb.End, seen frame) {
	if b := s.openBinds[observer.KeyOf(end.Bind)]; b != nil {
		b.request.frames = append(b.request.frames, seen)
		b.closed = true
		delete(s.openBinds, b.key)
	}
}

// discoveryUpdate takes an update of the node list. Updates that are older than the last one, or that belong to another epoch and
// are no snapshot, do not count.
func (a *Auditor) discoveryUpdate(now placement.Millis, p *observer.Process, s *allocatorState, u *pb.NodeListUpdate) {
	snapshot := u.Kind == pb.NodeListUpdate_SNAPSHOT
	if u.Kind == pb.NodeListUpdate_POLL_FAILED || u.Epoch == s.epoch && u.Revision < s.revision || u.Epoch != s.epoch && !snapshot {
		return
	}
	s.epoch, s.revision = u.Epoch, u.Revision
	current, outdated := s.currentEntries(u)
	for id, v := range s.nodes {
		e := current[id]
		switch {
		case e != nil && e.State == pb.NodeEntry_READY:
			v.drainedByDiscovery, v.removed = notDraining, false
		case e == nil && !snapshot, outdated[id]:
		default:
			if v.drainedByDiscovery == notDraining {
				v.drainedByDiscovery = now
			}
			if v.removed = e == nil || e.State == pb.NodeEntry_REMOVED; v.removed {
				a.endBindsOnRemovedNode(p, s, id)
			}
		}
	}
}

// currentEntries sorts out the entries about an earlier incarnation of a node than the allocator knows.
func (s *allocatorState) currentEntries(u *pb.NodeListUpdate) (current map[uint32]*pb.NodeEntry, outdated map[uint32]bool) {
	current, outdated = make(map[uint32]*pb.NodeEntry, len(u.Entries)), map[uint32]bool{}
	for _, e := range u.Entries {
		v := s.view(e.Id)
		if e.Incarnation < v.incarnation {
			delete(current, e.Id)
			outdated[e.Id] = true
			continue
		}
		current[e.Id] = e
		if e.Incarnation > v.incarnation {
			v.drainedByNode = notDraining
		}
		v.incarnation = e.Incarnation
	}
	return current, outdated
}

// answerSent checks an answer as it leaves the allocator.
func (a *Auditor) answerSent(now placement.Millis, r *request, answer *pb.Answer, seen frame) {
	if r == nil {
		a.report(1, now, 0, nil, "an answer for no ask", seen)
		return
	}
	r.frames = append(r.frames, seen)
	if r.verdict != pb.Verdict_VERDICT_UNSPECIFIED {
		a.report(1, now, 0, r, "a second answer")
	}
	r.verdict = answer.Verdict
	if r.gang {
		a.gangAnswered(now, r, answer.Verdict)
		return
	}
	g := a.terms.Groups[r.ask.Group]
	if answer.Verdict != pb.Verdict_REJECTED || g.Idempotency == placement.Idempotent ||
		g.Idempotency == placement.IdempotentByKey && g.KeyScope == placement.ScopeAll {
		return
	}
	for _, b := range r.binds {
		if !b.neverRan {
			a.report(2, now, b.node, r, "rejected although a bind may have run")
			return
		}
	}
}
