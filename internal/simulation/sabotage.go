package simulation

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Sabotage names an allocator that breaks a rule on purpose, to show that the auditor sees it.
type Mutant string

const (
	NoMutant              Mutant = ""
	NoAnswer              Mutant = "no-answer"     // rule 1: some owners get no answer
	TwoAnswers            Mutant = "two-answers"   // rule 1: some get two
	LateAnswer            Mutant = "late-answer"   // rule 1: rejections come when the owner has given up
	OffersAfterAnswer     Mutant = "offers-after"  // rule 1: a workload is offered after its answer
	TwoBinds              Mutant = "two-binds"     // rule 2: some offers go to two nodes
	RejectsUnknownOutcome Mutant = "rejects-maybe" // rule 2: what may have run is rejected
	ExceedsMaxBinds       Mutant = "binds-more"    // rule 2: more binds are made than the settings permit
	IgnoresDrain          Mutant = "drain-deaf"    // rule 3: drains are not heard
	IgnoresWarmUp         Mutant = "cold-blind"    // rule 4: all nodes count as warm
	IgnoresSpread         Mutant = "spread-blind"  // rule 5: no group is spread
	StopsTwice            Mutant = "stops-twice"   // check 6: every stop is sent twice
	IgnoresStorage        Mutant = "forgets-state" // rule 2: what an earlier life wrote down is not read
	NeverSyncs            Mutant = "syncs-never"   // rule 2: offers leave before what is written down lasts
	LeavesGangParts       Mutant = "leaves-parts"  // check 6: parts are kept as they start, and never stopped
)

// Sabotages are all of them with the rule that each breaks.
var MutantRules = map[Mutant]int{
	NoAnswer: 1, TwoAnswers: 1, LateAnswer: 1, OffersAfterAnswer: 1, TwoBinds: 2, RejectsUnknownOutcome: 2, IgnoresDrain: 3,
	IgnoresWarmUp: 4, IgnoresSpread: 5, LeavesGangParts: 6, StopsTwice: 6, IgnoresStorage: 2, NeverSyncs: 2, ExceedsMaxBinds: 2,
}

// every is how many frames are left as they are for one that is tampered with.
const mutationInterval = 7

// saboteur stands between an allocator and its gate.
type mutantHandler struct {
	transport.FrameHandler
	net        transport.FrameNetwork
	mutant     Mutant
	count      int
	nodes      []transport.ConnID // connections that stand to nodes
	firstOffer *pb.Frame          // an offer that has been answered
	delayed    []delayedFrame
}

type delayedFrame struct {
	at placement.Millis
	c  transport.ConnID
	f  *pb.Frame
}

func (s Mutant) wrap(p transport.FrameHandler) transport.FrameHandler {
	if s == NoMutant || s == IgnoresSpread || s == IgnoresStorage || s == NeverSyncs || s == ExceedsMaxBinds {
		return p
	}
	return &mutantHandler{FrameHandler: p, mutant: s}
}

func (s *mutantHandler) Start(now placement.Millis, net transport.FrameNetwork) {
	s.net = net
	s.FrameHandler.Start(now, s)
}

func (s *mutantHandler) Dial(addr string) transport.ConnID { return s.net.Dial(addr) }
func (s *mutantHandler) Close(c transport.ConnID)          { s.net.Close(c) }
func (s *mutantHandler) WakeAt(t placement.Millis)         { s.net.WakeAt(t) }
func (s *mutantHandler) Now() placement.Millis             { return s.net.Now() }
func (s *mutantHandler) Wake(now placement.Millis)         { s.sendDelayed(now); s.FrameHandler.Wake(now) }

func (s *mutantHandler) mutateNext() bool { s.count++; return s.count%mutationInterval == 0 }

func (s *mutantHandler) Closed(now placement.Millis, c transport.ConnID, reason error) {
	for i, n := range s.nodes {
		if n == c {
			s.nodes = append(s.nodes[:i], s.nodes[i+1:]...)
			break
		}
	}
	s.FrameHandler.Closed(now, c, reason)
}

func (s *mutantHandler) sendDelayed(now placement.Millis) {
	for len(s.delayed) > 0 && s.delayed[0].at <= now {
		s.net.Send(s.delayed[0].c, s.delayed[0].f)
		s.delayed = s.delayed[1:]
	}
}

func (s *mutantHandler) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_Hello:
		if b.Hello.Role == pb.Role_NODE {
			s.nodes = append(s.nodes, c)
			if s.mutant == IgnoresDrain || s.mutant == IgnoresWarmUp {
				told := &pb.Hello{
					Role: pb.Role_NODE, Name: b.Hello.Name, Node: b.Hello.Node, Incarnation: b.Hello.Incarnation,
					Standing: b.Hello.Standing, Draining: b.Hello.Draining && s.mutant != IgnoresDrain, UpForMs: b.Hello.UpForMs,
				}
				if s.mutant == IgnoresWarmUp {
					told.UpForMs = -1
				}
				f = transport.HelloFrame(told)
			}
		}
	case *pb.Frame_Drain:
		if s.mutant == IgnoresDrain {
			return
		}
	case *pb.Frame_OfferAnswer:
		if s.mutant == LeavesGangParts && b.OfferAnswer.Accepted {
			s.net.Send(c, &pb.Frame{Body: &pb.Frame_Keep{Keep: &pb.Keep{Bind: b.OfferAnswer.Bind}}})
		}
	case *pb.Frame_ListUpdate:
		f = s.changeUpdate(b.ListUpdate)
	}
	s.FrameHandler.Received(now, c, f)
}

// mislead has the allocator hear something else of the list than it said.
func (s *mutantHandler) changeUpdate(u *pb.ListUpdate) *pb.Frame {
	told := &pb.ListUpdate{Kind: u.Kind, Epoch: u.Epoch, Revision: u.Revision, Reason: u.Reason}
	for _, e := range u.Entries {
		other := &pb.NodeEntry{
			Id: e.Id, State: e.State, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, Boot: e.Boot, UpForMs: e.UpForMs,
			FreeCores: e.FreeCores, FreeMemory: e.FreeMemory, Address: e.Address,
		}
		if s.mutant == IgnoresDrain && e.State == pb.NodeEntry_DRAINING {
			other.State = pb.NodeEntry_READY
		}
		if s.mutant == IgnoresWarmUp {
			other.UpForMs = -1
		}
		told.Entries = append(told.Entries, other)
	}
	return &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: told}}
}

func (s *mutantHandler) Send(c transport.ConnID, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_Answer:
		s.answer(c, f, b.Answer)
		return
	case *pb.Frame_Stop:
		switch s.mutant {
		case LeavesGangParts:
			return
		case StopsTwice:
			s.net.Send(c, f)
		}
	case *pb.Frame_Offer:
		s.net.Send(c, f)
		if s.mutant == TwoBinds && s.mutateNext() {
			second := &pb.Offer{Bind: &pb.BindID{
				Allocator: b.Offer.Bind.Allocator, Incarnation: b.Offer.Bind.Incarnation,
				Workload: b.Offer.Bind.Workload, Number: b.Offer.Bind.Number + 1,
			}, Owner: b.Offer.Owner, Ask: b.Offer.Ask, AcceptWithinMs: b.Offer.AcceptWithinMs, Gang: b.Offer.Gang}
			s.net.Send(s.nodes[s.count/mutationInterval%len(s.nodes)], &pb.Frame{Body: &pb.Frame_Offer{Offer: second}})
		}
		if s.mutant == OffersAfterAnswer && s.firstOffer == nil {
			s.firstOffer = f
		}
		return
	}
	s.net.Send(c, f)
}

func (s *mutantHandler) answer(c transport.ConnID, f *pb.Frame, a *pb.Answer) {
	switch {
	case s.mutant == NoAnswer && s.mutateNext():
		return
	case s.mutant == TwoAnswers && s.mutateNext():
		s.net.Send(c, f)
	case s.mutant == LateAnswer && a.Verdict != pb.Verdict_PLACED:
		s.delayed = append(s.delayed, delayedFrame{s.net.Now() + 15e3, c, f})
		return
	case s.mutant == RejectsUnknownOutcome && a.Verdict == pb.Verdict_UNSCHEDULABLE:
		f = &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{Ask: a.Ask, Verdict: pb.Verdict_REJECTED}}}
	case s.mutant == OffersAfterAnswer && s.firstOffer != nil && len(s.nodes) > 0:
		s.net.Send(c, f)
		if o := s.firstOffer.GetOffer(); o.Ask.Ask == a.Ask {
			s.net.Send(s.nodes[0], s.firstOffer)
			s.firstOffer = nil
		}
		return
	}
	s.net.Send(c, f)
}
