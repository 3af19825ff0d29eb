package audit

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Connection IDs at the processes of a gangRun. The client and the node have one connection each, to the allocator.
const (
	connToAllocator = transport.ConnID(1)
	connToClient    = transport.ConnID(1)
	connToNode      = transport.ConnID(2)
)

const (
	testNode    = 7
	testGang    = 3 // request ID
	testLease   = placement.Millis(1000)
	offerWithin = placement.Millis(100)
)

// gangRun is a run with one client, which requests a gang of two parts, one allocator and one node. Frames arrive
// without delay.
type gangRun struct {
	*Auditor
	client    *observer.Process
	allocator *observer.Process
	node      *observer.Process
}

// newGangRun connects the processes and sends the gang request, at time 0.
func newGangRun(idempotency placement.Idempotency) *gangRun {
	run := &gangRun{
		Auditor: New(scenario.Terms{
			Model:  &scenario.NodeModel{},
			Groups: map[string]placement.Group{"batch": {Idempotency: idempotency}},
		}),
		client:    &observer.Process{Name: "client-0", Role: pb.Role_CLIENT},
		allocator: &observer.Process{Name: "allocator-0", Role: pb.Role_ALLOCATOR},
		node: &observer.Process{
			Name: "node-7",
			Role: pb.Role_NODE,
			ID:   testNode,
		},
	}
	fromClient := &pb.Frame{Body: &pb.Frame_Hello{Hello: &pb.Hello{Role: pb.Role_CLIENT, Name: run.client.Name}}}
	fromNode := &pb.Frame{Body: &pb.Frame_Hello{Hello: &pb.Hello{Role: pb.Role_NODE, Node: testNode}}}
	run.Frame(0, 0, run.allocator, connToClient, false, fromClient)
	run.Frame(0, 0, run.allocator, connToNode, false, fromNode)
	run.betweenClient(0, run.client, &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: &pb.GangRequest{
		RequestId:        testGang,
		Parts:            []*pb.PlaceRequest{{Key: 1, Group: "batch"}, {Key: 2, Group: "batch"}},
		PendingTimeoutMs: 1e6,
	}}})
	return run
}

// betweenClient delivers a frame between the client and the allocator, in the direction given by its sender.
func (r *gangRun) betweenClient(now placement.Millis, from *observer.Process, frame *pb.Frame) {
	r.Frame(now, now, r.client, connToAllocator, from == r.client, frame)
	r.Frame(now, now, r.allocator, connToClient, from == r.allocator, frame)
}

// betweenNode delivers a frame between the node and the allocator, in the direction given by its sender.
func (r *gangRun) betweenNode(now placement.Millis, from *observer.Process, frame *pb.Frame) {
	r.Frame(now, now, r.node, connToAllocator, from == r.node, frame)
	r.Frame(now, now, r.allocator, connToNode, from == r.allocator, frame)
}

// bindOf returns the ID of a bind of a part.
func (r *gangRun) bindOf(part, number uint32) *pb.BindID {
	return &pb.BindID{
		Allocator: r.allocator.Name,
		Workload:  uint64(part),
		Number:    number,
	}
}

// offer sends an offer of a part to the node.
func (r *gangRun) offer(now placement.Millis, part, number uint32) {
	r.betweenNode(now, r.allocator, &pb.Frame{Body: &pb.Frame_Offer{Offer: &pb.Offer{
		Bind:   r.bindOf(part, number),
		Client: r.client.Name,
		Request: &pb.PlaceRequest{
			RequestId: testGang,
			Key:       uint64(part) + 1,
			Group:     "batch",
			Cores:     2,
		},
		AcceptWithinMs: float64(offerWithin),
		Gang: &pb.GangPart{
			Part:     part,
			Of:       2,
			MinParts: 2,
			LeaseMs:  float64(testLease),
		},
	}}})
}

// reply sends the node's reply to a part's first bind.
func (r *gangRun) reply(now placement.Millis, part uint32, accepted bool) {
	reply := &pb.OfferReply{Bind: r.bindOf(part, 0), Accepted: accepted}
	r.betweenNode(now, r.node, &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: reply}})
}

// start offers a part, which the node accepts.
func (r *gangRun) start(now placement.Millis, part uint32) {
	r.offer(now, part, 0)
	r.reply(now, part, true)
}

// end ends a part on the node.
func (r *gangRun) end(now placement.Millis, part uint32, reason pb.Reason) {
	end := &pb.End{Bind: r.bindOf(part, 0), Reason: reason}
	r.betweenNode(now, r.node, &pb.Frame{Body: &pb.Frame_End{End: end}})
}

// answer sends the allocator's answer to the gang's request.
func (r *gangRun) answer(now placement.Millis, verdict pb.Verdict) {
	answer := &pb.Answer{RequestId: testGang, Verdict: verdict}
	r.betweenClient(now, r.allocator, &pb.Frame{Body: &pb.Frame_Answer{Answer: answer}})
}

// stop sends a stop of a part's first bind on a connection to the node.
func (r *gangRun) stop(now placement.Millis, conn transport.ConnID, part uint32) {
	stop := &pb.Stop{Bind: r.bindOf(part, 0)}
	r.Frame(now, now, r.allocator, conn, true, &pb.Frame{Body: &pb.Frame_Stop{Stop: stop}})
}

// allowedIncomplete is the time, in ms, for which the gang may be incomplete.
const allowedIncomplete = testLease + maxIncomplete

// startAndLosePart starts the whole gang, and ends one part as lost at 40 ms.
func startAndLosePart(run *gangRun) {
	run.start(10, 0)
	run.start(20, 1)
	run.answer(30, pb.Verdict_PLACED)
	run.end(40, 1, pb.Reason_LOST)
}

// A gang of which only some parts run holds cores without doing work.
func TestGang_IncompleteForTooLong_IsReported(t *testing.T) {
	for name, test := range map[string]struct {
		play  func(run *gangRun)
		since placement.Millis
	}{
		"one part has started": {
			play:  func(run *gangRun) { run.start(10, 0) },
			since: 10,
		},
		"one part is lost after the start": {
			play:  startAndLosePart,
			since: 40,
		},
	} {
		t.Run(name, func(t *testing.T) {
			run := newGangRun(placement.Idempotent)
			test.play(run)
			run.Finish(test.since + allowedIncomplete + 1)
			require.Len(t, run.Violations, 1)
			violation := run.Violations[0]
			assert.Equal(t, ruleGang, violation.Rule)
			assert.Equal(t, "group 3 of client-0 has 1 parts standing of 2 needed for 6001 ms", violation.Message)
			assert.Len(t, violation.Frames, 1, "the offer of the running part")
			assert.Equal(t, 1, run.IncompleteGangs())
		})
	}
}

func TestGang_CompleteEndedOrInTime_IsNotReported(t *testing.T) {
	for name, test := range map[string]struct {
		play  func(run *gangRun)
		until placement.Millis
	}{
		"one part runs for as long as allowed": {
			play:  func(run *gangRun) { run.start(10, 0) },
			until: 10 + allowedIncomplete,
		},
		"part is offered and not accepted": {
			play:  func(run *gangRun) { run.offer(10, 0, 0) },
			until: 1e5,
		},
		"all parts run": {
			play: func(run *gangRun) {
				run.start(10, 0)
				run.start(20, 1)
			},
			until: 1e5,
		},
		"one part has finished after the start": {
			play: func(run *gangRun) {
				run.start(10, 0)
				run.start(20, 1)
				run.answer(30, pb.Verdict_PLACED)
				run.end(40, 1, pb.Reason_FINISHED)
			},
			until: 1e5,
		},
		"allocator of a started gang is stopped": {
			play: func(run *gangRun) {
				startAndLosePart(run)
				run.Process(50, run.allocator, false)
			},
			until: 1e5,
		},
		"node is killed": {
			play: func(run *gangRun) {
				run.start(10, 0)
				run.Process(20, run.node, false)
			},
			until: 1e5,
		},
	} {
		t.Run(name, func(t *testing.T) {
			run := newGangRun(placement.Idempotent)
			test.play(run)
			run.Finish(test.until)
			assert.Empty(t, run.Violations)
			assert.Zero(t, run.IncompleteGangs())
		})
	}
}

// An allocator repeats an unanswered stop only after a delay, or on a new connection; other repeats waste messages.
func TestGang_StopOfAPartIsRepeated(t *testing.T) {
	const connAfterReconnect = connToNode + 1
	for name, test := range map[string]struct {
		conn     transport.ConnID
		after    placement.Millis
		reported bool
	}{
		"too early": {
			conn:     connToNode,
			after:    stopRetryDelay - 1,
			reported: true,
		},
		"after the retry delay":     {conn: connToNode, after: stopRetryDelay},
		"early on a new connection": {conn: connAfterReconnect, after: 1},
	} {
		t.Run(name, func(t *testing.T) {
			run := newGangRun(placement.Idempotent)
			run.start(10, 0)
			run.stop(20, connToNode, 0)
			run.stop(20+test.after, test.conn, 0)
			if !test.reported {
				assert.Empty(t, run.Violations)
				return
			}
			require.Len(t, run.Violations, 1)
			assert.Equal(t, ruleGang, run.Violations[0].Rule)
			assert.Equal(t, "a part stopped twice", run.Violations[0].Message)
			assert.Len(t, run.Violations[0].Frames, 2, "both stops")
		})
	}
}

// A client may retry a rejected gang, so an at-most-once part that may have run must not be rejected.
func TestGang_RejectedAfterAnOffer(t *testing.T) {
	for name, test := range map[string]struct {
		idempotency placement.Idempotency
		rejected    bool // node rejects offer
		reported    bool
	}{
		"at-most-once part may have run": {idempotency: placement.AtMostOnce, reported: true},
		"at-most-once part never ran":    {idempotency: placement.AtMostOnce, rejected: true},
		"idempotent part may have run":   {idempotency: placement.Idempotent},
	} {
		t.Run(name, func(t *testing.T) {
			run := newGangRun(test.idempotency)
			run.offer(10, 0, 0)
			if test.rejected {
				run.reply(20, 0, false)
			}
			run.answer(10+offerWithin, pb.Verdict_REJECTED)
			if !test.reported {
				assert.Empty(t, run.Violations)
				return
			}
			require.Len(t, run.Violations, 1)
			violation := run.Violations[0]
			assert.Equal(t, ruleIdempotency, violation.Rule)
			assert.Equal(t, "a group rejected although a part that must not run twice may have run", violation.Message)
			assert.EqualValues(t, testNode, violation.Node)
		})
	}
}

// Endless retries of a part show as binds beyond the limit.
func TestGang_PartHasTooManyBinds(t *testing.T) {
	for name, test := range map[string]struct {
		binds    uint32
		reported []string
	}{
		"as many as allowed": {binds: maxPartBinds},
		"one more": {
			binds:    maxPartBinds + 1,
			reported: []string{"a part of group 3 of client-0 has had 25 binds"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			run := newGangRun(placement.Idempotent)
			for number := range test.binds {
				run.offer(placement.Millis(number)*offerWithin, 0, number)
			}
			run.Finish(1e4)
			var reported []string
			for _, violation := range run.Violations {
				reported = append(reported, violation.Message)
			}
			assert.Equal(t, test.reported, reported)
		})
	}
}

func TestAuditor_WastedCoreShare(t *testing.T) {
	run := newGangRun(placement.Idempotent)
	assert.Zero(t, run.WastedCoreShare(), "no part has run")
	run.start(0, 0)
	run.end(1000, 0, pb.Reason_STOPPED)
	assert.InDelta(t, 1, run.WastedCoreShare(), 1e-9, "the gang has not started")
	run.start(1000, 1)
	run.answer(1000, pb.Verdict_PLACED)
	run.Finish(4000)
	assert.InDelta(t, 0.25, run.WastedCoreShare(), 1e-9, "part 0 ran for one of four seconds")
}
