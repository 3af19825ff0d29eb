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

// handleOffer queues an offer for admission. Repeated offers are ignored, or answered as before. Too many offers during warm-up make
// the node fail.
func (n *Node) handleOffer(now placement.Millis, conn transport.ConnID, offer *pb.Offer) {
	if n.overloaded {
		return
	}
	if answer := n.answers[observer.KeyOf(offer.Bind)]; answer != nil {
		n.network.Send(conn, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: answer}})
		return
	}
	if n.byBind[observer.KeyOf(offer.Bind)] != nil || slices.ContainsFunc(n.queue, func(frame *queuedFrame) bool {
		return frame.offer != nil && observer.KeyOf(frame.offer.Bind) == observer.KeyOf(offer.Bind)
	}) {
		return // a duplicate of an offer that is answered only once
	}
	if n.overloads(now) {
		n.overloaded = true
		n.timers.Schedule(now, func(placement.Millis) { n.OnOverload() })
		return
	}
	n.enqueue(now, &queuedFrame{
		offer:   offer,
		from:    conn,
		arrived: now,
	})
}

// overloads counts the arrival of an offer during warm-up, and reports whether it exceeds the limit of the overload window.
func (n *Node) overloads(now placement.Millis) bool {
	rate, warmingUp := n.warmUpRate(now)
	if !warmingUp {
		return false
	}
	arrived := now
	if network, ok := n.network.(interface{ Arrived() placement.Millis }); ok {
		arrived = network.Arrived()
	}
	n.arrivals = append(n.arrivals, arrived)
	n.arrivals = slices.DeleteFunc(n.arrivals, func(at placement.Millis) bool { return at < now-n.model.OverloadWindow })
	return float64(len(n.arrivals)) > n.model.BindLimit(rate)
}

// handleStop cancels a queued offer or, unless the stop is for queued offers only, ends the task.
func (n *Node) handleStop(now placement.Millis, s *pb.Stop) {
	key := observer.KeyOf(s.Bind)
	for _, frame := range n.queue {
		if frame.offer != nil && observer.KeyOf(frame.offer.Bind) == key {
			frame.cancelled = true
			return
		}
	}
	switch t := n.byBind[key]; {
	case t == nil: // it ended before, and the notification may have been lost
		n.sendTo(s.Bind.Allocator, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: s.Bind, Reason: pb.Reason_STOPPED}}})
	case !s.OnlyWaiting:
		n.endTask(now, t, pb.Reason_STOPPED)
	}
}

// enqueue adds an offer or a health check to the admission queue, or rejects it if the queue is full.
func (n *Node) enqueue(now placement.Millis, frame *queuedFrame) {
	if len(n.queue) >= n.model.QueueLimit {
		n.reject(now, frame, pb.Reason_QUEUE_FULL, "too many offers wait")
		return
	}
	n.queue = append(n.queue, frame)
	n.admitNext(now)
}

// admitNext starts the admission of the first queued frame, unless one is in progress.
func (n *Node) admitNext(now placement.Millis) {
	if n.admitting || len(n.queue) == 0 {
		return
	}
	n.admitting = true
	frame := n.queue[0]
	n.timers.Schedule(now+n.model.AdmissionTime*placement.Millis(n.Slowdown), func(now placement.Millis) {
		n.admitting = false
		n.queue = n.queue[1:]
		n.decide(now, frame)
		n.admitNext(now)
	})
}

// decide answers a health check, and accepts or rejects an offer.
func (n *Node) decide(now placement.Millis, frame *queuedFrame) {
	if frame.offer == nil {
		n.network.Send(frame.from, &pb.Frame{Body: &pb.Frame_HealthReply{HealthReply: &pb.HealthReply{Id: frame.probe, Load: n.loadNow(now)}}})
		return
	}
	offer := frame.offer
	cores, memory := n.requestedCapacity()
	switch {
	case frame.cancelled:
		n.reject(now, frame, pb.Reason_WRONG_NODE, "called off")
	case now-frame.arrived > placement.Millis(offer.AcceptWithinMs):
		n.reject(now, frame, pb.Reason_WRONG_NODE, "too late")
	case offer.Bind.Incarnation < n.latestIncarnation[offer.Bind.Allocator]:
		n.reject(now, frame, pb.Reason_WRONG_NODE, "from an earlier incarnation of the allocator")
	case n.draining:
		n.reject(now, frame, pb.Reason_WRONG_NODE, "draining")
	case n.ThrottledGroup == offer.Request.Group:
		n.reject(now, frame, pb.Reason_REASON_UNSPECIFIED, "")
	case n.runsWorkload(offer):
		n.reject(now, frame, pb.Reason_WRONG_NODE, "a copy stands here")
	case cores+offer.Request.Cores > n.model.CoreOvercommit*n.spec.Cores:
		n.reject(now, frame, pb.Reason_INSUFFICIENT_CORES, "no cores left")
	case memory+offer.Request.Memory > n.model.MemoryOvercommit*n.spec.Memory:
		n.reject(now, frame, pb.Reason_INSUFFICIENT_MEMORY, "no memory left")
	default:
		n.accept(now, offer)
	}
}

// reject answers an offer with a reason.
func (n *Node) reject(now placement.Millis, frame *queuedFrame, why pb.Reason, text string) {
	if frame.offer == nil {
		return // a health check that finds the queue full is not answered
	}
	n.answer(now, frame.offer.Bind, &pb.OfferReply{
		Bind:   frame.offer.Bind,
		Reason: why,
		Text:   text,
		Load:   n.loadNow(now),
	})
}

// answer sends the answer to an offer, and remembers it for duplicates of the offer.
func (n *Node) answer(_ placement.Millis, b *pb.BindID, answer *pb.OfferReply) {
	key := observer.KeyOf(b)
	n.answers[key] = answer
	if n.answerOrder = append(n.answerOrder, key); len(n.answerOrder) > maxAnswered {
		delete(n.answers, n.answerOrder[0])
		n.answerOrder = n.answerOrder[1:]
	}
	n.sendTo(b.Allocator, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: answer}})
}

// accept adds a task for an offer and starts it when its turn comes.
func (n *Node) accept(now placement.Millis, offer *pb.Offer) {
	t := &Task{Offer: offer, group: n.model.Groups[offer.Request.Group]}
	n.tasks = append(n.tasks, t)
	n.byBind[observer.KeyOf(offer.Bind)] = t
	if !n.model.ConfirmsRunning {
		n.answer(now, offer.Bind, &pb.OfferReply{
			Bind:     offer.Bind,
			Accepted: true,
			Load:     n.loadNow(now),
		})
	}
	n.pendingStarts = append(n.pendingStarts, t)
	n.startNext(now)
	if offer.Gang != nil {
		n.scheduleLeaseEnd(now, t)
	}
}

// scheduleLeaseEnd ends a gang part after its lease unless its allocator has confirmed it by then. The node's own clock decides, as the
// allocator may have failed.
func (n *Node) scheduleLeaseEnd(now placement.Millis, t *Task) {
	n.timers.Schedule(now+placement.Millis(t.Offer.Gang.LeaseMs), func(now placement.Millis) {
		if !t.confirmed {
			n.endTask(now, t, pb.Reason_LEASE_EXPIRED)
		}
	})
}

// runsWorkload reports whether a task with the same workload key was accepted and has not ended.
func (n *Node) runsWorkload(offer *pb.Offer) bool {
	return slices.ContainsFunc(n.tasks, func(t *Task) bool { return t.Offer.Request.Key == offer.Request.Key })
}

// warmUpRate returns the share of its full rate at which the node starts tasks, and whether it is warming up.
func (n *Node) warmUpRate(now placement.Millis) (rate float64, warmingUp bool) {
	up := now - n.startedAt
	if up >= n.model.WarmUpDuration {
		return 1, false
	}
	return n.model.InitialRate + (1-n.model.InitialRate)*float64(up/n.model.WarmUpDuration), true
}
