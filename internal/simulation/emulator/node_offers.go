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

// admission is what a node has not decided on yet, and whether offers overloaded it while it warmed up.
type admission struct {
	queue      []*queuedFrame
	busy       bool               // the first of the queue is being decided on
	arrivals   []placement.Millis // of the offers in the last overload window of the warm-up
	overloaded bool
}

// queuedFrame is an offer or a health check in the admission queue.
type queuedFrame struct {
	offer       *pb.Offer // nil for a health check
	healthCheck uint64    // its ID
	from        transport.ConnID
	arrived     placement.Millis
	cancelled   bool // by a stop
}

// isFor reports whether the frame is an offer for a bind.
func (f *queuedFrame) isFor(bind observer.BindKey) bool {
	return f.offer != nil && observer.KeyOf(f.offer.Bind) == bind
}

// offerOf returns the queued offer for a bind, or nil.
func (a *admission) offerOf(bind observer.BindKey) *queuedFrame {
	for _, frame := range a.queue {
		if frame.isFor(bind) {
			return frame
		}
	}
	return nil
}

// handleOffer queues an offer for admission. Repeated offers are ignored, or answered as before. Too many offers during
// warm-up make the node fail.
func (n *Node) handleOffer(now placement.Millis, conn transport.ConnID, offer *pb.Offer) {
	if n.admission.overloaded {
		return
	}
	bind := observer.KeyOf(offer.Bind)
	if reply := n.answers.replies[bind]; reply != nil {
		n.network.Send(conn, offerReplyFrame(reply))
		return
	}
	if n.tasks.byBind[bind] != nil || n.admission.offerOf(bind) != nil {
		return // a duplicate of an offer that is answered only once
	}
	if n.overloads(now) {
		n.admission.overloaded = true
		n.timers.Schedule(now, func(placement.Millis) {
			if n.OnOverload != nil {
				n.OnOverload()
			}
		})
		return
	}
	n.enqueue(now, &queuedFrame{
		offer:   offer,
		from:    conn,
		arrived: now,
	})
}

// overloads counts the arrival of an offer during warm-up, and reports whether it exceeds the limit of the overload
// window.
func (n *Node) overloads(now placement.Millis) bool {
	rate, warmingUp := n.warmUpRate(now)
	if !warmingUp {
		return false
	}
	arrived := now
	if network, ok := n.network.(interface{ Arrived() placement.Millis }); ok {
		arrived = network.Arrived() // it may have waited while the process was paused
	}
	tooOld := func(at placement.Millis) bool { return at < now-n.model.OverloadWindow }
	n.admission.arrivals = append(n.admission.arrivals, arrived)
	n.admission.arrivals = slices.DeleteFunc(n.admission.arrivals, tooOld)
	return float64(len(n.admission.arrivals)) > n.model.BindLimit(rate)
}

// handleStop cancels a queued offer or, unless the stop is for queued offers only, ends the task.
func (n *Node) handleStop(now placement.Millis, stop *pb.Stop) {
	bind := observer.KeyOf(stop.Bind)
	if frame := n.admission.offerOf(bind); frame != nil {
		frame.cancelled = true
		return
	}
	switch t := n.tasks.byBind[bind]; {
	case t == nil: // it ended before, and the notification may have been lost
		n.sendTo(stop.Bind.Allocator, endFrame(&pb.End{Bind: stop.Bind, Reason: pb.Reason_STOPPED}))
	case !stop.OnlyWaiting:
		n.endTask(now, t, pb.Reason_STOPPED)
	}
}

// enqueue adds an offer or a health check to the admission queue, or rejects it if the queue is full.
func (n *Node) enqueue(now placement.Millis, frame *queuedFrame) {
	if len(n.admission.queue) >= n.model.QueueLimit {
		n.reject(now, frame, pb.Reason_QUEUE_FULL, "too many offers wait")
		return
	}
	n.admission.queue = append(n.admission.queue, frame)
	n.admitNext(now)
}

// admitNext starts the admission of the first queued frame, unless one is in progress.
func (n *Node) admitNext(now placement.Millis) {
	if n.admission.busy || len(n.admission.queue) == 0 {
		return
	}
	n.admission.busy = true
	frame := n.admission.queue[0]
	duration := n.model.AdmissionTime * placement.Millis(n.Slowdown)
	n.timers.Schedule(now+duration, func(now placement.Millis) {
		n.admission.busy = false
		n.admission.queue = n.admission.queue[1:]
		n.decide(now, frame)
		n.admitNext(now)
	})
}

// decide answers a health check, and accepts or rejects an offer.
func (n *Node) decide(now placement.Millis, frame *queuedFrame) {
	if frame.offer == nil {
		n.network.Send(frame.from, healthReplyFrame(frame.healthCheck, n.load.at(now)))
		return
	}
	offer := frame.offer
	cores, memory := n.tasks.requestedCapacity()
	switch {
	case frame.cancelled:
		n.reject(now, frame, pb.Reason_WRONG_NODE, "called off")
	case now-frame.arrived > placement.Millis(offer.AcceptWithinMs):
		n.reject(now, frame, pb.Reason_WRONG_NODE, "too late")
	case offer.Bind.Incarnation < n.allocators.latestIncarnation[offer.Bind.Allocator]:
		n.reject(now, frame, pb.Reason_WRONG_NODE, "from an earlier incarnation of the allocator")
	case n.draining:
		n.reject(now, frame, pb.Reason_WRONG_NODE, "draining")
	case n.ThrottledGroup == offer.Request.Group:
		n.reject(now, frame, pb.Reason_REASON_UNSPECIFIED, "")
	case n.tasks.has(offer.Request.Key):
		n.reject(now, frame, pb.Reason_WRONG_NODE, "a copy stands here")
	case cores+offer.Request.Cores > n.model.CoreOvercommit*n.spec.Cores:
		n.reject(now, frame, pb.Reason_INSUFFICIENT_CORES, "no cores left")
	case memory+offer.Request.Memory > n.model.MemoryOvercommit*n.spec.Memory:
		n.reject(now, frame, pb.Reason_INSUFFICIENT_MEMORY, "no memory left")
	default:
		n.accept(now, offer)
	}
}

// reject answers an offer with a reason. A health check that finds the queue full is not answered.
func (n *Node) reject(now placement.Millis, frame *queuedFrame, reason pb.Reason, text string) {
	if frame.offer == nil {
		return
	}
	n.answer(&pb.OfferReply{
		Bind:   frame.offer.Bind,
		Reason: reason,
		Text:   text,
		Load:   n.load.at(now),
	})
}

// confirm answers an offer with its acceptance.
func (n *Node) confirm(now placement.Millis, offer *pb.Offer) {
	n.answer(&pb.OfferReply{
		Bind:     offer.Bind,
		Accepted: true,
		Load:     n.load.at(now),
	})
}

// answer sends the answer to an offer, and remembers it for duplicates of the offer.
func (n *Node) answer(reply *pb.OfferReply) {
	n.answers.add(reply)
	n.sendTo(reply.Bind.Allocator, offerReplyFrame(reply))
}

// accept adds a task for an offer and starts it when its turn comes.
func (n *Node) accept(now placement.Millis, offer *pb.Offer) {
	t := &Task{Offer: offer, group: n.model.Groups[offer.Request.Group]}
	n.tasks.add(t)
	if !n.model.ConfirmsRunning {
		n.confirm(now, offer)
	}
	n.tasks.pendingStarts = append(n.tasks.pendingStarts, t)
	n.startNext(now)
	if offer.Gang != nil {
		n.scheduleLeaseEnd(now, t)
	}
}

// scheduleLeaseEnd ends a gang part after its lease unless its allocator has confirmed it by then. The node's own clock
// decides, as the allocator may have failed.
func (n *Node) scheduleLeaseEnd(now placement.Millis, t *Task) {
	n.timers.Schedule(now+placement.Millis(t.Offer.Gang.LeaseMs), func(now placement.Millis) {
		if !t.confirmed {
			n.endTask(now, t, pb.Reason_LEASE_EXPIRED)
		}
	})
}

// warmUpRate returns the share of its full rate at which the node starts tasks, and whether it is warming up.
func (n *Node) warmUpRate(now placement.Millis) (rate float64, warmingUp bool) {
	up := now - n.startedAt
	if up >= n.model.WarmUpDuration {
		return 1, false
	}
	return n.model.InitialRate + (1-n.model.InitialRate)*float64(up/n.model.WarmUpDuration), true
}

// answerCache holds a node's answers to the last maxAnswered binds.
type answerCache struct {
	replies map[observer.BindKey]*pb.OfferReply
	order   []observer.BindKey // keys of replies, oldest first
}

func newAnswerCache() answerCache {
	return answerCache{replies: map[observer.BindKey]*pb.OfferReply{}}
}

// add adds an answer, and drops the oldest beyond the limit.
func (c *answerCache) add(reply *pb.OfferReply) {
	key := observer.KeyOf(reply.Bind)
	c.replies[key] = reply
	c.order = append(c.order, key)
	if len(c.order) > maxAnswered {
		delete(c.replies, c.order[0])
		c.order = c.order[1:]
	}
}
