package emulator

import (
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// maxAnswered is the number of binds whose answer a node remembers.
const maxAnswered = 4096

// queuedFrame is an offer or a health check in the admission queue.
type queuedFrame struct {
	offer     *pb.Offer
	probe     uint64
	from      transport.ConnID
	arrived   placement.Millis
	cancelled bool // by a stop
}

// offered puts an offer in line. Too many at a cold node push it over.
func (n *Node) offered(now placement.Millis, c transport.ConnID, o *pb.Offer) {
	if n.overloaded {
		return
	}
	if a := n.answered[observer.KeyOf(o.Bind)]; a != nil {
		n.net.Send(c, &pb.Frame{Body: &pb.Frame_OfferAnswer{OfferAnswer: a}})
		return
	}
	if n.byBind[observer.KeyOf(o.Bind)] != nil || slices.ContainsFunc(n.queue, func(w *queuedFrame) bool {
		return w.offer != nil && observer.KeyOf(w.offer.Bind) == observer.KeyOf(o.Bind)
	}) {
		return // it came twice, and is answered once
	}
	if pace, cold := n.warmUpRate(now); cold {
		arrived := now
		if g, ok := n.net.(interface{ Arrived() placement.Millis }); ok {
			arrived = g.Arrived()
		}
		n.arrivals = append(n.arrivals, arrived)
		n.arrivals = slices.DeleteFunc(n.arrivals, func(at placement.Millis) bool { return at < now-n.model.OverloadWindow })
		if float64(len(n.arrivals)) > n.model.BindLimit(pace) {
			n.overloaded = true
			n.timers.Schedule(now, func(placement.Millis) { n.OnOverload() })
			return
		}
	}
	n.enqueue(now, &queuedFrame{offer: o, from: c, arrived: now})
}

// stopped takes a bind back, from the line or, unless only that was wanted, from the node.
func (n *Node) stopped(now placement.Millis, s *pb.Stop) {
	k := observer.KeyOf(s.Bind)
	for _, w := range n.queue {
		if w.offer != nil && observer.KeyOf(w.offer.Bind) == k {
			w.cancelled = true
			return
		}
	}
	switch t := n.byBind[k]; {
	case t == nil: // it ended before, and word of that may have been lost
		n.sendTo(s.Bind.Allocator, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: s.Bind, Why: pb.Why_STOPPED}}})
	case !s.OnlyWaiting:
		n.end(now, t, pb.Why_STOPPED)
	}
}

func (n *Node) enqueue(now placement.Millis, w *queuedFrame) {
	if len(n.queue) >= n.model.QueueLimit {
		n.decline(now, w, pb.Why_TOO_MANY_WAITING, "too many offers wait")
		return
	}
	n.queue = append(n.queue, w)
	n.admitNext(now)
}

// look takes the first of the line, if nothing is looked at.
func (n *Node) admitNext(now placement.Millis) {
	if n.admitting || len(n.queue) == 0 {
		return
	}
	n.admitting = true
	w := n.queue[0]
	n.timers.Schedule(now+n.model.AdmissionTime*placement.Millis(n.Slowdown), func(now placement.Millis) {
		n.admitting = false
		n.queue = n.queue[1:]
		n.decide(now, w)
		n.admitNext(now)
	})
}

func (n *Node) decide(now placement.Millis, w *queuedFrame) {
	if w.offer == nil {
		n.net.Send(w.from, &pb.Frame{Body: &pb.Frame_ProbeAnswer{ProbeAnswer: &pb.ProbeAnswer{Id: w.probe, Load: n.loadNow(now)}}})
		return
	}
	o := w.offer
	cores, memory := n.requested()
	switch {
	case w.cancelled:
		n.decline(now, w, pb.Why_NOT_HERE, "called off")
	case now-w.arrived > placement.Millis(o.AcceptWithinMs):
		n.decline(now, w, pb.Why_NOT_HERE, "too late")
	case o.Bind.Incarnation < n.latestIncarnation[o.Bind.Allocator]:
		n.decline(now, w, pb.Why_NOT_HERE, "from an earlier incarnation of the allocator")
	case n.draining:
		n.decline(now, w, pb.Why_NOT_HERE, "draining")
	case n.ThrottledGroup == o.Ask.Group:
		n.decline(now, w, pb.Why_WHY_UNSPECIFIED, "")
	case n.hasWorkload(o):
		n.decline(now, w, pb.Why_NOT_HERE, "a copy stands here")
	case cores+o.Ask.Cores > n.model.CoreOvercommit*n.spec.Cores:
		n.decline(now, w, pb.Why_NO_CORES, "no cores left")
	case memory+o.Ask.Memory > n.model.MemoryOvercommit*n.spec.Memory:
		n.decline(now, w, pb.Why_NO_MEMORY, "no memory left")
	default:
		n.accept(now, o)
	}
}

func (n *Node) decline(now placement.Millis, w *queuedFrame, why pb.Why, text string) {
	if w.offer == nil {
		return // a probe that finds no place is not answered
	}
	n.answer(now, w.offer.Bind, &pb.OfferAnswer{Bind: w.offer.Bind, Why: why, Text: text, Load: n.loadNow(now)})
}

// answer gives a bind its one answer, and remembers it in case the offer comes again.
func (n *Node) answer(_ placement.Millis, b *pb.BindID, a *pb.OfferAnswer) {
	k := observer.KeyOf(b)
	n.answered[k] = a
	if n.answeredOrder = append(n.answeredOrder, k); len(n.answeredOrder) > maxAnswered {
		delete(n.answered, n.answeredOrder[0])
		n.answeredOrder = n.answeredOrder[1:]
	}
	n.sendTo(b.Allocator, &pb.Frame{Body: &pb.Frame_OfferAnswer{OfferAnswer: a}})
}

func (n *Node) accept(now placement.Millis, o *pb.Offer) {
	t := &Task{Offer: o, group: n.model.Groups[o.Ask.Group]}
	n.tasks = append(n.tasks, t)
	n.byBind[observer.KeyOf(o.Bind)] = t
	if !n.model.ConfirmsRunning {
		n.answer(now, o.Bind, &pb.OfferAnswer{Bind: o.Bind, Accepted: true, Load: n.loadNow(now)})
	}
	n.toStart = append(n.toStart, t)
	n.startNext(now)
	// A part that nobody declared standing ends by itself, by this node's own clock: its allocator may be no more.
	if g := o.Gang; g != nil {
		n.timers.Schedule(now+placement.Millis(g.LeaseMs), func(now placement.Millis) {
			if !t.confirmed {
				n.end(now, t, pb.Why_LEASE_OVER)
			}
		})
	}
}

func (n *Node) hasWorkload(o *pb.Offer) bool {
	return slices.ContainsFunc(n.tasks, func(t *Task) bool { return t.Offer.Ask.Key == o.Ask.Key })
}

// cold tells whether the node is, and at which share of its pace it then starts workloads.
func (n *Node) warmUpRate(now placement.Millis) (pace float64, cold bool) {
	up := now - n.startedAt
	if up >= n.model.WarmUpDuration {
		return 1, false
	}
	return n.model.InitialRate + (1-n.model.InitialRate)*float64(up/n.model.WarmUpDuration), true
}
