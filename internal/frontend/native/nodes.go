package native

import (
	"errors"
	"math"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func (p *Frontend) find(id placement.NodeID) (int, bool) {
	return slices.BinarySearchFunc(p.nodes, id, func(n *node, id placement.NodeID) int {
		return int(int64(n.id) - int64(id))
	})
}

func (p *Frontend) node(id placement.NodeID) *node {
	if i, ok := p.find(id); ok {
		return p.nodes[i]
	}
	return nil
}

// dial opens the connection to a node, unless there is one or nothing to dial.
func (p *Frontend) dial(now placement.Millis, n *node) {
	if n.dialling || n.ready || n.addr == "" || n.entry.State == placement.Removed {
		return
	}
	n.dialling = true
	n.dials++
	n.conn = p.net.Dial(n.addr)
	c := n.conn
	p.peers[c] = &peer{role: pb.Role_NODE, node: n}
	p.timers.Schedule(now+connectWithin, func(placement.Millis) {
		if n.conn == c && n.dialling {
			p.drop(c, errors.New("no connection in time"))
		}
	})
}

// nodeClosed takes the end of a node's connection, or that there will be none.
func (p *Frontend) nodeClosed(now placement.Millis, c transport.ConnID, n *node, reason error) {
	if n.conn != c {
		return
	}
	stood := n.ready
	n.conn, n.dialling, n.ready = 0, false, false
	if stood {
		p.record.Add(eventlog.Event{At: now, Kind: eventlog.NodeConnection, Node: n.id})
		p.log.Info("connection to node lost", "node", n.id, "why", reason)
		p.engine.ConnectionLost(now, n.id)
		n.fails = 0
	}
	if n.entry.State == placement.Removed {
		p.lost(now, n)
		return
	}
	pause := min(redialMost, redialFirst*placement.Millis(int(1)<<min(n.fails, 10)))
	n.fails++
	// If news of it has had it dialled meanwhile, that dial has a successor of its own: else each would begin another row.
	dials := n.dials
	p.timers.Schedule(now+p.jitter(pause), func(now placement.Millis) {
		if p.node(n.id) == n && n.dials == dials {
			p.dial(now, n)
		}
	})
}

// lost ends what stood on a node that is gone for good.
func (p *Frontend) lost(now placement.Millis, n *node) {
	p.lostNow = true
	p.engine.NodeLost(now, n.id)
	p.lostNow = false
}

func (p *Frontend) fromNode(now placement.Millis, c transport.ConnID, n *node, f *pb.Frame) {
	if n.conn != c {
		return
	}
	if !n.ready {
		h, refusal := transport.CheckHello(f)
		if refusal == "" && (h.Role != pb.Role_NODE || placement.NodeID(h.Node) != n.id) {
			refusal = "another than the node that the list names answers at its address"
		}
		if refusal != "" {
			n.refusal = refusal
			p.log.Warn("node not used", "node", n.id, "address", n.addr, "reason", refusal)
			p.drop(c, errors.New(refusal))
			return
		}
		p.nodeStands(now, n, h)
		return
	}
	switch b := f.Body.(type) {
	case *pb.Frame_OfferAnswer:
		p.offerAnswered(now, n, b.OfferAnswer)
	case *pb.Frame_End:
		if id, bind, ok := p.bound(n, b.End.Bind); ok {
			r := placement.Result{Kind: placement.OutcomeUnknown, Reason: reasonOf(b.End.Why), Final: true, Load: load(b.End.Load)}
			if !p.engine.IsPlaced(id, bind) {
				r.Final = p.wls[id].stopped
			}
			// What its node stopped, or whose lease it ended, has not come to its own end either.
			p.lostNow = slices.Contains([]pb.Why{pb.Why_LOST, pb.Why_STOPPED, pb.Why_LEASE_OVER}, b.End.Why)
			p.engine.BindEnded(now, id, bind, n.id, r)
			p.lostNow = false
		}
	case *pb.Frame_Note:
		if id, bind, ok := p.bound(n, b.Note.Bind); ok {
			if kind, ok := noteKinds[b.Note.Kind]; ok {
				p.engine.ReportUsage(now, id, bind, kind, b.Note.Value)
				if kind == placement.Running && p.engine.IsPlaced(id, bind) {
					p.partRuns(id)
				}
			}
		}
	case *pb.Frame_ProbeAnswer:
		if p.probes[b.ProbeAnswer.Id] == n.id {
			delete(p.probes, b.ProbeAnswer.Id)
			p.engine.HealthChecked(now, n.id, true, load(b.ProbeAnswer.Load))
		}
	case *pb.Frame_Drain:
		p.nodeDrains(now, n, b.Drain.Draining)
	}
}

// nodeStands takes a node's hello: who it is since when, and what of ours stands there.
func (p *Frontend) nodeStands(now placement.Millis, n *node, h *pb.Hello) {
	n.ready, n.dialling, n.fails, n.refusal = true, false, 0, ""
	p.record.Add(eventlog.Event{At: now, Kind: eventlog.NodeConnection, Detail: 1, Node: n.id})
	// A node that is back says so itself, long before the list does: offers would reach it cold meanwhile that
	// nobody counts.
	if h.Incarnation > n.boot {
		n.starts(now, h.Incarnation, h.UpForMs)
		p.engine.UpdateNodes(now, placement.Delta, []placement.Node{n.told()})
	}
	p.nodeDrains(now, n, h.Draining)
	type ref struct {
		id   placement.WorkloadID
		bind int
	}
	named := map[ref]bool{}
	var strays []*pb.Standing
	for _, s := range h.Standing {
		if id, bind, ok := p.known(n, s.GetOffer().GetBind()); ok && p.engine.IsPlaced(id, bind) {
			named[ref{id, bind}] = true
			if p.wls[id].called > bind {
				p.stop(n, s.Offer.Bind, false) // the first stop may have been lost with the connection
			} else if s.Running {
				p.partRuns(id)
				p.keepAgain(n, id, s)
			}
		} else if s.GetOffer().GetBind() != nil && s.Offer.Ask != nil {
			strays = append(strays, s)
		}
	}
	p.lostNow = true
	p.engine.ReconcileNode(now, n.id, func(id placement.WorkloadID, bind int) bool { return named[ref{id, bind}] })
	p.lostNow = false
	for _, s := range strays {
		p.stray(now, n, s)
	}
}

// stray takes a workload that stands on a node and is not on our books: of an earlier incarnation it is
// adopted; a copy that we gave up is stopped, or kept where stopping it could not undo its effect.
func (p *Frontend) stray(now placement.Millis, n *node, s *pb.Standing) {
	o := s.Offer
	w := p.workload(0, o.Ask)
	_, held := p.keys[o.Ask.Key]
	// Its owner withdrew it, and the stop was lost with the connection: nobody wants it, whatever its effect.
	if o.Bind.Incarnation == p.c.Incarnation && p.withdrew(o.Owner, o.Ask.Ask) {
		p.stop(n, o.Bind, false)
		return
	}
	// A part of a gang that is not on our books is of one that was undone: nothing of it may be left.
	if (o.Bind.Incarnation == p.c.Incarnation || held) && (o.Gang != nil || p.engine.StopsDuplicates(w.Group)) {
		p.stop(n, o.Bind, false)
		return
	}
	if p.lastID == math.MaxUint32 {
		p.log.Error("no number is left for what stands on a node; restart the allocator", "node", n.id)
		return
	}
	p.lastID++
	w.ID = p.lastID
	wl := &workload{owner: o.Owner, ask: o.Ask, nodes: []placement.NodeID{n.id}, bind: o.Bind, since: now, answer: allocator.Placed}
	p.wls[w.ID] = wl
	p.old[oldBindOf(n.id, o.Bind)] = w.ID
	p.asks[askID{wl.owner, wl.ask.Ask}] = w.ID
	if !held {
		p.keys[wl.ask.Key] = w.ID
	}
	if p.tap != nil {
		p.tap.RecordRequest(now, w.ID, wl.owner, wl.ask.Ask, wl.ask.Key)
	}
	for _, other := range p.writing {
		other.outdated = other.outdated || other.ask.Service == wl.ask.Service
	}
	p.engine.Adopt(now, w, n.id)
	if s.Running {
		p.engine.ReportUsage(now, w.ID, 0, placement.Running, 1)
	}
	if o.Gang != nil {
		p.found(now, w.ID, wl, s)
	}
}

// known finds the workload and the bind that a node speaks of: one of ours that went to that node.
func (p *Frontend) known(n *node, b *pb.BindID) (placement.WorkloadID, int, bool) {
	if b == nil || b.Allocator != p.c.Name {
		return 0, 0, false
	}
	if id, ok := p.old[oldBindOf(n.id, b)]; ok {
		return id, 0, true
	}
	id := placement.WorkloadID(b.Workload)
	wl := p.wls[id]
	if b.Incarnation == p.c.Incarnation && b.Workload <= math.MaxUint32 && wl != nil && wl.bind == nil &&
		int(b.Number) < len(wl.nodes) && wl.nodes[b.Number] == n.id {
		return id, int(b.Number), true
	}
	return 0, 0, false
}

// bound is known for what a node says by itself: counted and logged where it speaks of no bind of ours.
func (p *Frontend) bound(n *node, b *pb.BindID) (placement.WorkloadID, int, bool) {
	id, bind, ok := p.known(n, b)
	if !ok {
		p.Counters.UnmatchedReplies++
		p.log.Debug("a node speaks of no bind of ours", "node", n.id, "incarnation", b.GetIncarnation(),
			"workload", b.GetWorkload())
	}
	return id, bind, ok
}

func oldBindOf(n placement.NodeID, b *pb.BindID) oldBind {
	return oldBind{n, b.Incarnation, b.Workload, b.Number}
}

func (p *Frontend) offerAnswered(now placement.Millis, n *node, a *pb.OfferAnswer) {
	id, bind, ok := p.bound(n, a.Bind)
	switch {
	case !ok:
		if l := load(a.Load); l != nil {
			p.engine.ReportLoad(now, n.id, *l)
		}
	case a.Accepted:
		p.engine.BindConfirmed(now, id, bind, load(a.Load))
	case p.engine.IsPlaced(id, bind):
		// A no after a yes is no answer that a node may give; the workload's own end will come.
		p.Counters.UnmatchedReplies++
	default:
		n.refusal = a.Text
		p.never(p.wls[id], a.Bind)
		if p.tap != nil && a.Text != "" {
			p.tap.RecordRejection(now, id, n.id, a.Text)
		}
		p.engine.BindEnded(now, id, bind, n.id, placement.Result{
			Kind: placement.RejectedByNode, Reason: reasonOf(a.Why), Final: p.wls[id].stopped, Load: load(a.Load),
		})
	}
}

// nodeDrains takes a node's own word that it drains, or no longer does. It counts over the list's, which is later, until
// the node says otherwise or starts anew. It was forgotten with its connection: an offer that then waited for the next one
// reached a node long after it had said that it drains.
func (p *Frontend) nodeDrains(now placement.Millis, n *node, draining bool) {
	if n.draining == draining {
		return
	}
	n.draining = draining
	p.engine.UpdateNodes(now, placement.Delta, []placement.Node{n.told()})
}

// told is the list's entry under the node's own word.
func (n *node) told() placement.Node {
	e := n.entry
	if n.draining && e.State == placement.Ready {
		e.State = placement.Draining
	}
	return e
}

func reasonOf(w pb.Why) placement.Reason {
	switch w {
	case pb.Why_NO_CORES:
		return placement.InsufficientCores
	case pb.Why_NO_MEMORY:
		return placement.InsufficientMemory
	case pb.Why_TOO_MANY_WAITING:
		return placement.QueueFull
	case pb.Why_NOT_HERE:
		return placement.WrongNode
	case pb.Why_EVICTED:
		return placement.Evicted
	case pb.Why_PUSHED_OUT:
		return placement.Preempted
	case pb.Why_SENT_AWAY:
		return placement.Drained
	}
	return placement.ReasonUnspecified
}

var noteKinds = map[pb.Note_Kind]placement.UsageKind{
	pb.Note_RUNNING: placement.Running, pb.Note_CORES_USED: placement.CoresUsed,
}

// load reads a report, or returns nil where none came along, or one too old to tell anything.
func load(l *pb.Load) *placement.LoadReport {
	if l == nil || !(placement.Millis(l.AgeMs) < noReport) {
		return nil
	}
	value := func(v *float64) float64 {
		if v == nil || math.IsInf(*v, 0) {
			return math.NaN()
		}
		return *v
	}
	return &placement.LoadReport{
		SpareCores: value(l.SpareCores), SpareMemory: value(l.SpareMemory), Backlog: value(l.Backlog),
		Utilization: value(l.Utilization),
	}
}
