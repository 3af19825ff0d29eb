package simulation

import (
	"slices"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Mutant is a change of the allocators that breaks a rule on purpose, to test that the auditor detects it.
type Mutant string

// The mutants, with their names on the command line and the rule that each breaks.
const (
	NoMutant              Mutant = ""
	NoAnswer              Mutant = "no-answer"     // rule 1: some requests get no answer
	TwoAnswers            Mutant = "two-answers"   // rule 1: some requests get two answers
	LateAnswer            Mutant = "late-answer"   // rule 1: answers other than placements are sent too late
	OffersAfterAnswer     Mutant = "offers-after"  // rule 1: a workload is offered after its answer
	TwoBinds              Mutant = "two-binds"     // rule 2: some offers are sent with two binds
	RejectsUnknownOutcome Mutant = "rejects-maybe" // rule 2: requests for workloads that may have run are rejected
	ExceedsMaxBinds       Mutant = "binds-more"    // rule 2: requests get more binds than the settings allow
	IgnoresDrain          Mutant = "drain-deaf"    // rule 3: drains are ignored
	IgnoresWarmUp         Mutant = "cold-blind"    // rule 4: nodes are never treated as warming up
	IgnoresSpread         Mutant = "spread-blind"  // rule 5: spread limits are ignored
	StopsTwice            Mutant = "stops-twice"   // rule 6: each stop is sent twice
	IgnoresStorage        Mutant = "forgets-state" // rule 2: durable binds are not recovered
	NeverSyncs            Mutant = "syncs-never"   // rule 2: offers are sent before binds are durable
	LeavesGangParts       Mutant = "leaves-parts"  // rule 6: parts are confirmed when accepted, and never stopped
)

// MutantRules holds the number of the rule that each mutant breaks.
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

const (
	mutationInterval = 7                      // frames per changed frame
	lateAnswerDelay  = placement.Millis(15e3) // added delay of late answers, in ms
	unknownUptime    = -1                     // value of UpForMs if the start of a node is unknown
)

// mutantHandler changes frames that an allocator's handler sends and receives. It wraps the handler of the allocator's
// process, and is in turn the network of the wrapped handler.
type mutantHandler struct {
	transport.FrameHandler
	transport.FrameNetwork
	mutant     Mutant
	count      int                // frames counted by mutateNext
	nodes      []transport.ConnID // open connections to nodes
	firstOffer *pb.Frame          // first offer since the last one was repeated; nil if none
	delayed    []delayedFrame     // sorted by time
}

// delayedFrame is a frame that is due to be sent at a later time.
type delayedFrame struct {
	at    placement.Millis
	conn  transport.ConnID
	frame *pb.Frame
}

// wrap returns a handler with the changes of the mutant, or the handler itself if the mutant changes no frames.
func (m Mutant) wrap(handler transport.FrameHandler) transport.FrameHandler {
	switch m {
	case NoMutant, IgnoresSpread, IgnoresStorage, NeverSyncs, ExceedsMaxBinds:
		return handler
	case NoAnswer, TwoAnswers, LateAnswer, OffersAfterAnswer, TwoBinds, RejectsUnknownOutcome, IgnoresDrain,
		IgnoresWarmUp, StopsTwice, LeavesGangParts:
		// These mutants change frames.
	}
	return &mutantHandler{FrameHandler: handler, mutant: m}
}

// Start implements transport.FrameHandler. The wrapped handler is started with the mutantHandler as its network.
func (h *mutantHandler) Start(now placement.Millis, network transport.FrameNetwork) {
	h.FrameNetwork = network
	h.FrameHandler.Start(now, h)
}

// Wake implements transport.FrameHandler.
func (h *mutantHandler) Wake(now placement.Millis) {
	h.sendDelayed(now)
	h.FrameHandler.Wake(now)
}

// mutateNext counts a frame, and reports whether it is to be changed: every mutationInterval-th is.
func (h *mutantHandler) mutateNext() bool {
	h.count++
	return h.count%mutationInterval == 0
}

// Closed implements transport.FrameHandler.
func (h *mutantHandler) Closed(now placement.Millis, conn transport.ConnID, reason error) {
	if i := slices.Index(h.nodes, conn); i >= 0 {
		h.nodes = slices.Delete(h.nodes, i, i+1)
	}
	h.FrameHandler.Closed(now, conn, reason)
}

// sendDelayed sends the delayed frames that are due.
func (h *mutantHandler) sendDelayed(now placement.Millis) {
	for len(h.delayed) > 0 && h.delayed[0].at <= now {
		h.FrameNetwork.Send(h.delayed[0].conn, h.delayed[0].frame)
		h.delayed = h.delayed[1:]
	}
}

// Received implements transport.FrameHandler.
func (h *mutantHandler) Received(now placement.Millis, conn transport.ConnID, f *pb.Frame) {
	switch body := f.Body.(type) {
	case *pb.Frame_Hello:
		if body.Hello.Role == pb.Role_NODE {
			h.nodes = append(h.nodes, conn)
			f = h.changeHello(f, body.Hello)
		}
	case *pb.Frame_Drain:
		if h.mutant == IgnoresDrain {
			return
		}
	case *pb.Frame_OfferReply:
		if h.mutant == LeavesGangParts && body.OfferReply.Accepted {
			confirm := &pb.ConfirmGang{Bind: body.OfferReply.Bind}
			h.FrameNetwork.Send(conn, &pb.Frame{Body: &pb.Frame_ConfirmGang{ConfirmGang: confirm}})
		}
	case *pb.Frame_NodeListUpdate:
		f = h.changeUpdate(body.NodeListUpdate)
	}
	h.FrameHandler.Received(now, conn, f)
}

// changeHello returns a node's hello without the properties that the mutant ignores.
func (h *mutantHandler) changeHello(f *pb.Frame, hello *pb.Hello) *pb.Frame {
	if h.mutant != IgnoresDrain && h.mutant != IgnoresWarmUp {
		return f
	}
	changed := &pb.Hello{
		Role:             pb.Role_NODE,
		Name:             hello.Name,
		Node:             hello.Node,
		Incarnation:      hello.Incarnation,
		RunningWorkloads: hello.RunningWorkloads,
		Draining:         hello.Draining && h.mutant != IgnoresDrain,
		UpForMs:          hello.UpForMs,
	}
	if h.mutant == IgnoresWarmUp {
		changed.UpForMs = unknownUptime
	}
	return transport.HelloFrame(changed)
}

// changeUpdate returns a discovery update without the properties that the mutant ignores.
func (h *mutantHandler) changeUpdate(update *pb.NodeListUpdate) *pb.Frame {
	changed := &pb.NodeListUpdate{
		Kind:     update.Kind,
		Epoch:    update.Epoch,
		Revision: update.Revision,
		Reason:   update.Reason,
	}
	for _, entry := range update.Entries {
		changed.Entries = append(changed.Entries, h.changeEntry(entry))
	}
	return &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: changed}}
}

// changeEntry returns a copy of an entry without the properties that the mutant ignores.
func (h *mutantHandler) changeEntry(entry *pb.NodeEntry) *pb.NodeEntry {
	changed := &pb.NodeEntry{
		Id:          entry.Id,
		State:       entry.State,
		Kind:        entry.Kind,
		Zone:        entry.Zone,
		Cell:        entry.Cell,
		Incarnation: entry.Incarnation,
		UpForMs:     entry.UpForMs,
		FreeCores:   entry.FreeCores,
		FreeMemory:  entry.FreeMemory,
		Address:     entry.Address,
	}
	if h.mutant == IgnoresDrain && entry.State == pb.NodeEntry_DRAINING {
		changed.State = pb.NodeEntry_READY
	}
	if h.mutant == IgnoresWarmUp {
		changed.UpForMs = unknownUptime
	}
	return changed
}

// Send implements transport.FrameNetwork.
func (h *mutantHandler) Send(conn transport.ConnID, f *pb.Frame) {
	switch body := f.Body.(type) {
	case *pb.Frame_Answer:
		h.sendAnswer(conn, f, body.Answer)
	case *pb.Frame_Stop:
		h.sendStop(conn, f)
	case *pb.Frame_Offer:
		h.sendOffer(conn, f, body.Offer)
	default:
		h.FrameNetwork.Send(conn, f)
	}
}

// sendStop sends a stop once, or as often as the mutant requires: twice, or not at all.
func (h *mutantHandler) sendStop(conn transport.ConnID, f *pb.Frame) {
	if h.mutant == LeavesGangParts {
		return
	}
	if h.mutant == StopsTwice {
		h.FrameNetwork.Send(conn, f)
	}
	h.FrameNetwork.Send(conn, f)
}

// sendOffer sends an offer. For TwoBinds, it also sends a second bind of some requests, to a node chosen in turn, which
// may be the same one.
func (h *mutantHandler) sendOffer(conn transport.ConnID, f *pb.Frame, offer *pb.Offer) {
	h.FrameNetwork.Send(conn, f)
	if h.mutant == TwoBinds && h.mutateNext() {
		second := &pb.Offer{
			Bind: &pb.BindID{
				Allocator:   offer.Bind.Allocator,
				Incarnation: offer.Bind.Incarnation,
				Workload:    offer.Bind.Workload,
				Number:      offer.Bind.Number + 1,
			},
			Client:         offer.Client,
			Request:        offer.Request,
			AcceptWithinMs: offer.AcceptWithinMs,
			Gang:           offer.Gang,
		}
		other := h.nodes[h.count/mutationInterval%len(h.nodes)]
		h.FrameNetwork.Send(other, &pb.Frame{Body: &pb.Frame_Offer{Offer: second}})
	}
	if h.mutant == OffersAfterAnswer && h.firstOffer == nil {
		h.firstOffer = f
	}
}

// sendAnswer sends an answer with the changes of the mutant.
func (h *mutantHandler) sendAnswer(conn transport.ConnID, f *pb.Frame, answer *pb.Answer) {
	switch h.mutant {
	case NoAnswer:
		if h.mutateNext() {
			return
		}
	case TwoAnswers:
		if h.mutateNext() {
			h.FrameNetwork.Send(conn, f)
		}
	case LateAnswer:
		if answer.Verdict != pb.Verdict_PLACED {
			h.delayed = append(h.delayed, delayedFrame{
				at:    h.Now() + lateAnswerDelay,
				conn:  conn,
				frame: f,
			})
			return
		}
	case RejectsUnknownOutcome:
		if answer.Verdict == pb.Verdict_UNSCHEDULABLE {
			rejection := &pb.Answer{RequestId: answer.RequestId, Verdict: pb.Verdict_REJECTED}
			f = &pb.Frame{Body: &pb.Frame_Answer{Answer: rejection}}
		}
	case OffersAfterAnswer:
		h.FrameNetwork.Send(conn, f)
		h.repeatFirstOffer(answer)
		return
	case NoMutant, TwoBinds, ExceedsMaxBinds, IgnoresDrain, IgnoresWarmUp, IgnoresSpread, StopsTwice, IgnoresStorage,
		NeverSyncs, LeavesGangParts:
		// These mutants do not change answers.
	}
	h.FrameNetwork.Send(conn, f)
}

// repeatFirstOffer sends firstOffer again, to the first of the connected nodes, if the given answer has its request ID.
func (h *mutantHandler) repeatFirstOffer(answer *pb.Answer) {
	if h.firstOffer == nil || len(h.nodes) == 0 {
		return
	}
	if h.firstOffer.GetOffer().Request.RequestId == answer.RequestId {
		h.FrameNetwork.Send(h.nodes[0], h.firstOffer)
		h.firstOffer = nil
	}
}
