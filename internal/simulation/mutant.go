package simulation

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Mutant names a change of the allocators that breaks a rule on purpose, to show that the auditor detects it.
type Mutant string

// The mutants, by their names on the command line, with the rule that each breaks.
const (
	NoMutant              Mutant = ""
	NoAnswer              Mutant = "no-answer"     // rule 1: some requests get no answer
	TwoAnswers            Mutant = "two-answers"   // rule 1: some get two
	LateAnswer            Mutant = "late-answer"   // rule 1: rejections are sent after the pending timeout
	OffersAfterAnswer     Mutant = "offers-after"  // rule 1: a workload is offered after its answer
	TwoBinds              Mutant = "two-binds"     // rule 2: some offers go to two nodes
	RejectsUnknownOutcome Mutant = "rejects-maybe" // rule 2: workloads that may have run are rejected
	ExceedsMaxBinds       Mutant = "binds-more"    // rule 2: more binds are made than the settings permit
	IgnoresDrain          Mutant = "drain-deaf"    // rule 3: drains are ignored
	IgnoresWarmUp         Mutant = "cold-blind"    // rule 4: nodes are never treated as warming up
	IgnoresSpread         Mutant = "spread-blind"  // rule 5: spread limits are ignored
	StopsTwice            Mutant = "stops-twice"   // check 6: every stop is sent twice
	IgnoresStorage        Mutant = "forgets-state" // rule 2: durable binds are not recovered
	NeverSyncs            Mutant = "syncs-never"   // rule 2: offers are sent before binds are durable
	LeavesGangParts       Mutant = "leaves-parts"  // check 6: parts are confirmed at once and never stopped
)

// MutantRules holds the rule that each mutant breaks.
var MutantRules = map[Mutant]int{
	NoAnswer:              1,
	TwoAnswers:            1,
	LateAnswer:            1,
	OffersAfterAnswer:     1,
	TwoBinds:              2,
	RejectsUnknownOutcome: 2,
	IgnoresDrain:          3,
	IgnoresWarmUp:         4,
	IgnoresSpread:         5,
	LeavesGangParts:       6,
	StopsTwice:            6,
	IgnoresStorage:        2,
	NeverSyncs:            2,
	ExceedsMaxBinds:       2,
}

// mutationInterval is the number of frames of which one is changed.
const mutationInterval = 7

// mutantHandler changes what an allocator's handler sends and receives.
type mutantHandler struct {
	transport.FrameHandler
	net        transport.FrameNetwork
	mutant     Mutant
	count      int
	nodes      []transport.ConnID // open connections to nodes
	firstOffer *pb.Frame          // the first offer, until it is repeated
	delayed    []delayedFrame
}

// delayedFrame is a frame that is sent at a later time.
type delayedFrame struct {
	at placement.Millis
	c  transport.ConnID
	f  *pb.Frame
}

// wrap returns the handler changed as the mutant says, or the handler itself if the mutant changes only settings.
func (m Mutant) wrap(p transport.FrameHandler) transport.FrameHandler {
	if m == NoMutant || m == IgnoresSpread || m == IgnoresStorage || m == NeverSyncs || m == ExceedsMaxBinds {
		return p
	}
	return &mutantHandler{FrameHandler: p, mutant: m}
}

func (h *mutantHandler) Start(now placement.Millis, net transport.FrameNetwork) {
	h.net = net
	h.FrameHandler.Start(now, h)
}

func (h *mutantHandler) Dial(addr string) transport.ConnID { return h.net.Dial(addr) }
func (h *mutantHandler) Close(c transport.ConnID)          { h.net.Close(c) }
func (h *mutantHandler) WakeAt(t placement.Millis)         { h.net.WakeAt(t) }
func (h *mutantHandler) Now() placement.Millis             { return h.net.Now() }
func (h *mutantHandler) Wake(now placement.Millis)         { h.sendDelayed(now); h.FrameHandler.Wake(now) }

// mutateNext counts a frame, and reports whether it is one to change.
func (h *mutantHandler) mutateNext() bool {
	h.count++
	return h.count%mutationInterval == 0
}

func (h *mutantHandler) Closed(now placement.Millis, c transport.ConnID, reason error) {
	for i, n := range h.nodes {
		if n == c {
			h.nodes = append(h.nodes[:i], h.nodes[i+1:]...)
			break
		}
	}
	h.FrameHandler.Closed(now, c, reason)
}

// sendDelayed sends the delayed frames that are due.
func (h *mutantHandler) sendDelayed(now placement.Millis) {
	for len(h.delayed) > 0 && h.delayed[0].at <= now {
		h.net.Send(h.delayed[0].c, h.delayed[0].f)
		h.delayed = h.delayed[1:]
	}
}

func (h *mutantHandler) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_Hello:
		if b.Hello.Role == pb.Role_NODE {
			h.nodes = append(h.nodes, c)
			if h.mutant == IgnoresDrain || h.mutant == IgnoresWarmUp {
				changed := &pb.Hello{
					Role:             pb.Role_NODE,
					Name:             b.Hello.Name,
					Node:             b.Hello.Node,
					Incarnation:      b.Hello.Incarnation,
					RunningWorkloads: b.Hello.RunningWorkloads,
					Draining:         b.Hello.Draining && h.mutant != IgnoresDrain,
					UpForMs:          b.Hello.UpForMs,
				}
				if h.mutant == IgnoresWarmUp {
					changed.UpForMs = -1
				}
				f = transport.HelloFrame(changed)
			}
		}
	case *pb.Frame_Drain:
		if h.mutant == IgnoresDrain {
			return
		}
	case *pb.Frame_OfferReply:
		if h.mutant == LeavesGangParts && b.OfferReply.Accepted {
			h.net.Send(c, &pb.Frame{Body: &pb.Frame_ConfirmGang{ConfirmGang: &pb.ConfirmGang{Bind: b.OfferReply.Bind}}})
		}
	case *pb.Frame_NodeListUpdate:
		f = h.changeUpdate(b.NodeListUpdate)
	}
	h.FrameHandler.Received(now, c, f)
}

// changeUpdate returns a discovery update with other contents.
func (h *mutantHandler) changeUpdate(u *pb.NodeListUpdate) *pb.Frame {
	changed := &pb.NodeListUpdate{
		Kind:     u.Kind,
		Epoch:    u.Epoch,
		Revision: u.Revision,
		Reason:   u.Reason,
	}
	for _, e := range u.Entries {
		other := &pb.NodeEntry{
			Id:          e.Id,
			State:       e.State,
			Kind:        e.Kind,
			Zone:        e.Zone,
			Cell:        e.Cell,
			Incarnation: e.Incarnation,
			UpForMs:     e.UpForMs,
			FreeCores:   e.FreeCores,
			FreeMemory:  e.FreeMemory,
			Address:     e.Address,
		}
		if h.mutant == IgnoresDrain && e.State == pb.NodeEntry_DRAINING {
			other.State = pb.NodeEntry_READY
		}
		if h.mutant == IgnoresWarmUp {
			other.UpForMs = -1
		}
		changed.Entries = append(changed.Entries, other)
	}
	return &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: changed}}
}

func (h *mutantHandler) Send(c transport.ConnID, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_Answer:
		h.answer(c, f, b.Answer)
		return
	case *pb.Frame_Stop:
		switch h.mutant {
		case LeavesGangParts:
			return
		case StopsTwice:
			h.net.Send(c, f)
		}
	case *pb.Frame_Offer:
		h.net.Send(c, f)
		if h.mutant == TwoBinds && h.mutateNext() {
			second := &pb.Offer{
				Bind: &pb.BindID{
					Allocator:   b.Offer.Bind.Allocator,
					Incarnation: b.Offer.Bind.Incarnation,
					Workload:    b.Offer.Bind.Workload,
					Number:      b.Offer.Bind.Number + 1,
				},
				Client:         b.Offer.Client,
				Request:        b.Offer.Request,
				AcceptWithinMs: b.Offer.AcceptWithinMs,
				Gang:           b.Offer.Gang,
			}
			h.net.Send(h.nodes[h.count/mutationInterval%len(h.nodes)], &pb.Frame{Body: &pb.Frame_Offer{Offer: second}})
		}
		if h.mutant == OffersAfterAnswer && h.firstOffer == nil {
			h.firstOffer = f
		}
		return
	}
	h.net.Send(c, f)
}

// answer sends an answer as the mutant changes it.
func (h *mutantHandler) answer(c transport.ConnID, f *pb.Frame, a *pb.Answer) {
	switch {
	case h.mutant == NoAnswer && h.mutateNext():
		return
	case h.mutant == TwoAnswers && h.mutateNext():
		h.net.Send(c, f)
	case h.mutant == LateAnswer && a.Verdict != pb.Verdict_PLACED:
		h.delayed = append(h.delayed, delayedFrame{h.net.Now() + 15e3, c, f})
		return
	case h.mutant == RejectsUnknownOutcome && a.Verdict == pb.Verdict_UNSCHEDULABLE:
		f = &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{RequestId: a.RequestId, Verdict: pb.Verdict_REJECTED}}}
	case h.mutant == OffersAfterAnswer && h.firstOffer != nil && len(h.nodes) > 0:
		h.net.Send(c, f)
		if o := h.firstOffer.GetOffer(); o.Request.RequestId == a.RequestId {
			h.net.Send(h.nodes[0], h.firstOffer)
			h.firstOffer = nil
		}
		return
	}
	h.net.Send(c, f)
}
