package simulation

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Sabotage names an allocator that breaks a rule on purpose, to show that the auditor sees it.
type Sabotage string

const (
	Honest       Sabotage = ""
	NoAnswer     Sabotage = "no-answer"     // rule 1: some owners get no answer
	TwoAnswers   Sabotage = "two-answers"   // rule 1: some get two
	LateAnswer   Sabotage = "late-answer"   // rule 1: rejections come when the owner has given up
	OffersAfter  Sabotage = "offers-after"  // rule 1: a workload is offered after its answer
	TwoBinds     Sabotage = "two-binds"     // rule 2: some offers go to two nodes
	RejectsMaybe Sabotage = "rejects-maybe" // rule 2: what may have run is rejected
	BindsMore    Sabotage = "binds-more"    // rule 2: more binds are made than the settings permit
	DrainDeaf    Sabotage = "drain-deaf"    // rule 3: drains are not heard
	ColdBlind    Sabotage = "cold-blind"    // rule 4: all nodes count as warm
	SpreadBlind  Sabotage = "spread-blind"  // rule 5: no group is spread
	StopsTwice   Sabotage = "stops-twice"   // check 6: every stop is sent twice
	ForgetsState Sabotage = "forgets-state" // rule 2: what an earlier life wrote down is not read
	SyncsNever   Sabotage = "syncs-never"   // rule 2: offers leave before what is written down lasts
	LeavesParts  Sabotage = "leaves-parts"  // check 6: parts are kept as they start, and never stopped
)

// Sabotages are all of them with the rule that each breaks.
var Sabotages = map[Sabotage]int{
	NoAnswer: 1, TwoAnswers: 1, LateAnswer: 1, OffersAfter: 1, TwoBinds: 2, RejectsMaybe: 2, DrainDeaf: 3,
	ColdBlind: 4, SpreadBlind: 5, LeavesParts: 6, StopsTwice: 6, ForgetsState: 2, SyncsNever: 2, BindsMore: 2,
}

// every is how many frames are left as they are for one that is tampered with.
const every = 7

// saboteur stands between an allocator and its gate.
type saboteur struct {
	transport.FrameHandler
	net   transport.FrameNetwork
	how   Sabotage
	count int
	nodes []transport.ConnID // connections that stand to nodes
	first *pb.Frame          // an offer that has been answered
	later []lateFrame
}

type lateFrame struct {
	at placement.Millis
	c  transport.ConnID
	f  *pb.Frame
}

func (s Sabotage) around(p transport.FrameHandler) transport.FrameHandler {
	if s == Honest || s == SpreadBlind || s == ForgetsState || s == SyncsNever || s == BindsMore {
		return p
	}
	return &saboteur{FrameHandler: p, how: s}
}

func (s *saboteur) Start(now placement.Millis, net transport.FrameNetwork) {
	s.net = net
	s.FrameHandler.Start(now, s)
}

func (s *saboteur) Dial(addr string) transport.ConnID { return s.net.Dial(addr) }
func (s *saboteur) Close(c transport.ConnID)          { s.net.Close(c) }
func (s *saboteur) WakeAt(t placement.Millis)         { s.net.WakeAt(t) }
func (s *saboteur) Now() placement.Millis             { return s.net.Now() }
func (s *saboteur) Wake(now placement.Millis)         { s.sendLate(now); s.FrameHandler.Wake(now) }
func (s *saboteur) tamper() bool                      { s.count++; return s.count%every == 0 }
func (s *saboteur) Closed(now placement.Millis, c transport.ConnID, reason error) {
	for i, n := range s.nodes {
		if n == c {
			s.nodes = append(s.nodes[:i], s.nodes[i+1:]...)
			break
		}
	}
	s.FrameHandler.Closed(now, c, reason)
}

func (s *saboteur) sendLate(now placement.Millis) {
	for len(s.later) > 0 && s.later[0].at <= now {
		s.net.Send(s.later[0].c, s.later[0].f)
		s.later = s.later[1:]
	}
}

func (s *saboteur) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_Hello:
		if b.Hello.Role == pb.Role_NODE {
			s.nodes = append(s.nodes, c)
			if s.how == DrainDeaf || s.how == ColdBlind {
				told := &pb.Hello{
					Role: pb.Role_NODE, Name: b.Hello.Name, Node: b.Hello.Node, Incarnation: b.Hello.Incarnation,
					Standing: b.Hello.Standing, Draining: b.Hello.Draining && s.how != DrainDeaf, UpForMs: b.Hello.UpForMs,
				}
				if s.how == ColdBlind {
					told.UpForMs = -1
				}
				f = transport.HelloFrame(told)
			}
		}
	case *pb.Frame_Drain:
		if s.how == DrainDeaf {
			return
		}
	case *pb.Frame_OfferAnswer:
		if s.how == LeavesParts && b.OfferAnswer.Accepted {
			s.net.Send(c, &pb.Frame{Body: &pb.Frame_Keep{Keep: &pb.Keep{Bind: b.OfferAnswer.Bind}}})
		}
	case *pb.Frame_ListUpdate:
		f = s.mislead(b.ListUpdate)
	}
	s.FrameHandler.Received(now, c, f)
}

// mislead has the allocator hear something else of the list than it said.
func (s *saboteur) mislead(u *pb.ListUpdate) *pb.Frame {
	told := &pb.ListUpdate{Kind: u.Kind, Epoch: u.Epoch, Revision: u.Revision, Reason: u.Reason}
	for _, e := range u.Entries {
		other := &pb.NodeEntry{
			Id: e.Id, State: e.State, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, Boot: e.Boot, UpForMs: e.UpForMs,
			FreeCores: e.FreeCores, FreeMemory: e.FreeMemory, Address: e.Address,
		}
		if s.how == DrainDeaf && e.State == pb.NodeEntry_DRAINING {
			other.State = pb.NodeEntry_READY
		}
		if s.how == ColdBlind {
			other.UpForMs = -1
		}
		told.Entries = append(told.Entries, other)
	}
	return &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: told}}
}

func (s *saboteur) Send(c transport.ConnID, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_Answer:
		s.answer(c, f, b.Answer)
		return
	case *pb.Frame_Stop:
		switch s.how {
		case LeavesParts:
			return
		case StopsTwice:
			s.net.Send(c, f)
		}
	case *pb.Frame_Offer:
		s.net.Send(c, f)
		if s.how == TwoBinds && s.tamper() {
			second := &pb.Offer{Bind: &pb.BindID{
				Allocator: b.Offer.Bind.Allocator, Incarnation: b.Offer.Bind.Incarnation,
				Workload: b.Offer.Bind.Workload, Number: b.Offer.Bind.Number + 1,
			}, Owner: b.Offer.Owner, Ask: b.Offer.Ask, AcceptWithinMs: b.Offer.AcceptWithinMs, Gang: b.Offer.Gang}
			s.net.Send(s.nodes[s.count/every%len(s.nodes)], &pb.Frame{Body: &pb.Frame_Offer{Offer: second}})
		}
		if s.how == OffersAfter && s.first == nil {
			s.first = f
		}
		return
	}
	s.net.Send(c, f)
}

func (s *saboteur) answer(c transport.ConnID, f *pb.Frame, a *pb.Answer) {
	switch {
	case s.how == NoAnswer && s.tamper():
		return
	case s.how == TwoAnswers && s.tamper():
		s.net.Send(c, f)
	case s.how == LateAnswer && a.Verdict != pb.Verdict_PLACED:
		s.later = append(s.later, lateFrame{s.net.Now() + 15e3, c, f})
		return
	case s.how == RejectsMaybe && a.Verdict == pb.Verdict_UNSCHEDULABLE:
		f = &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{Ask: a.Ask, Verdict: pb.Verdict_REJECTED}}}
	case s.how == OffersAfter && s.first != nil && len(s.nodes) > 0:
		s.net.Send(c, f)
		if o := s.first.GetOffer(); o.Ask.Ask == a.Ask {
			s.net.Send(s.nodes[0], s.first)
			s.first = nil
		}
		return
	}
	s.net.Send(c, f)
}
