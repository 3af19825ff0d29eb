package emulator

import (
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// maxCachedAnswers is the number of binds whose answers a node keeps for duplicate offers.
const maxCachedAnswers = 4096

// admission is the state of a node's admission control: the queue, and the overload check during warm-up.
type admission struct {
	queue      []*queuedFrame
	busy       bool               // the first frame of the queue is being processed
	arrivals   []placement.Millis // arrival times of the offers in the overload window, during warm-up
	overloaded bool               // too many offers arrived during warm-up; further ones are ignored
}

// queuedFrame is an offer or a health check in the admission queue.
type queuedFrame struct {
	offer         *pb.Offer // nil for a health check
	healthCheckID uint64    // ID of the health check
	from          transport.ConnID
	arrived       placement.Millis
	cancelled     bool // a stop has cancelled the offer
}

// isFor reports whether the frame is an offer for a bind.
func (f *queuedFrame) isFor(bind observer.BindKey) bool {
	return f.offer != nil && observer.KeyOf(f.offer.Bind) == bind
}

// findOffer returns the queued offer for a bind, or nil.
func (a *admission) findOffer(bind observer.BindKey) *queuedFrame {
	for _, frame := range a.queue {
		if frame.isFor(bind) {
			return frame
		}
	}
	return nil
}

// handleOffer queues an offer for admission. A duplicate of an answered offer gets the same answer; other duplicates
// are ignored. Too many offers during warm-up make the node fail.
func (n *Node) handleOffer(now placement.Millis, conn transport.ConnID, offer *pb.Offer) {
	if n.admission.overloaded {
		return
	}
	bind := observer.KeyOf(offer.Bind)
	if reply := n.answers.replies[bind]; reply != nil {
		n.network.Send(conn, offerReplyFrame(reply))
		return
	}
	if n.tasks.byBind[bind] != nil || n.admission.findOffer(bind) != nil {
		return // duplicate of an offer whose answer is pending
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

// overloads records the arrival of an offer during warm-up, and reports whether the offers in the overload window
// exceed the limit.
func (n *Node) overloads(now placement.Millis) bool {
	rate, warmingUp := n.warmUpRate(now)
	if !warmingUp {
		return false
	}
	arrived := now
	if network, ok := n.network.(interface{ Arrived() placement.Millis }); ok {
		arrived = network.Arrived() // earlier than now if the process was paused
	}
	tooOld := func(at placement.Millis) bool { return at < now-n.model.OverloadWindow }
	n.admission.arrivals = append(n.admission.arrivals, arrived)
	n.admission.arrivals = slices.DeleteFunc(n.admission.arrivals, tooOld)
	return float64(len(n.admission.arrivals)) > n.model.BindLimit(rate)
}

// handleStop cancels a queued offer or, unless the stop is for queued offers only, ends the task. If it finds neither,
// it reports the workload as stopped.
func (n *Node) handleStop(now placement.Millis, stop *pb.Stop) {
	bind := observer.KeyOf(stop.Bind)
	if frame := n.admission.findOffer(bind); frame != nil {
		frame.cancelled = true
		return
	}
	switch t := n.tasks.byBind[bind]; {
	case t == nil: // the task has ended, and its end frame may have been lost
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

// decide answers a health check, or accepts or rejects an offer.
func (n *Node) decide(now placement.Millis, frame *queuedFrame) {
	if frame.offer == nil {
		n.network.Send(frame.from, healthReplyFrame(frame.healthCheckID, n.load.at(now)))
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

// reject rejects an offer with a reason. A health check that is rejected because the queue is full gets no answer.
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

// confirm confirms the acceptance of an offer.
func (n *Node) confirm(now placement.Millis, offer *pb.Offer) {
	n.answer(&pb.OfferReply{
		Bind:     offer.Bind,
		Accepted: true,
		Load:     n.load.at(now),
	})
}

// answer sends the answer to an offer, and caches it for duplicates of the offer.
func (n *Node) answer(reply *pb.OfferReply) {
	n.answers.add(reply)
	n.sendTo(reply.Bind.Allocator, offerReplyFrame(reply))
}

// accept adds a task for an offer and queues its start.
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

// scheduleLeaseEnd schedules the end of a gang part that its allocator does not confirm within the lease. The lease
// runs on the node's clock, as the allocator may have failed.
func (n *Node) scheduleLeaseEnd(now placement.Millis, t *Task) {
	n.timers.Schedule(now+placement.Millis(t.Offer.Gang.LeaseMs), func(now placement.Millis) {
		if !t.confirmed {
			n.endTask(now, t, pb.Reason_LEASE_EXPIRED)
		}
	})
}

// warmUpRate returns the node's start rate as a share of its full rate, and whether the node is warming up.
func (n *Node) warmUpRate(now placement.Millis) (rate float64, warmingUp bool) {
	up := now - n.startedAt
	if up >= n.model.WarmUpDuration {
		return 1, false
	}
	return n.model.InitialRate + (1-n.model.InitialRate)*float64(up/n.model.WarmUpDuration), true
}

// answerCache holds a node's answers to the last maxCachedAnswers binds.
type answerCache struct {
	replies map[observer.BindKey]*pb.OfferReply
	order   []observer.BindKey // keys of replies, oldest first
}

func newAnswerCache() answerCache {
	return answerCache{replies: map[observer.BindKey]*pb.OfferReply{}}
}

// add adds an answer, and drops the oldest one beyond maxCachedAnswers.
func (c *answerCache) add(reply *pb.OfferReply) {
	key := observer.KeyOf(reply.Bind)
	c.replies[key] = reply
	c.order = append(c.order, key)
	if len(c.order) > maxCachedAnswers {
		delete(c.replies, c.order[0])
		c.order = c.order[1:]
	}
}
